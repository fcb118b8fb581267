/** Measures how an engine's memory grows with its workers, teams and jobs. */
import {runInNewContext} from 'node:vm';
import {FairShareEngine} from '@dragonflyward/policy';
import {
  newJob,
  SeededRandom,
  initEngine,
  TARGET_SIZE,
  type ShardSize,
} from './shard-load.js';

const SEED = 20_261_204;
const NOW_MS = 1_000_000;
const BYTES_PER_KB = 1_024;

/** Heap growth per item, and the memory of the whole process. */
export interface MemoryFigures {
  readonly bytesPerWorker: number;
  readonly bytesPerTeam: number;
  readonly bytesPerWaitingJob: number;
  readonly bytesPerRunningTask: number;
  readonly emptyProcessRssKb: number;
  readonly fullShardRssKb: number;
}

/**
 * Compares engines of different sizes. Needs `--expose-gc`, so that garbage is
 * collected before each reading.
 *
 * @example
 * const figures = measureMemory(console.log);
 */
export function measureMemory(print: (line: string) => void): MemoryFigures {
  const emptyProcessRssKb = Math.round(
    process.memoryUsage().rss / BYTES_PER_KB,
  );
  const base = {...TARGET_SIZE, workers: 1, teams: 1, organisations: 1};
  const bytesPerWorker = heapPerItem(base, {...base, workers: 3_401}, 3_400);
  const bytesPerTeam = heapPerItem(base, {...base, teams: 5_901}, 5_900);
  const bytesPerWaitingJob = heapPerJob({...TARGET_SIZE, workers: 0});
  const bytesPerRunningTask = heapPerJob({
    ...TARGET_SIZE,
    workers: 4 * TARGET_SIZE.workers,
  });
  const fullShardRssKb = Math.round(process.memoryUsage().rss / BYTES_PER_KB);
  const figures = {
    ...{bytesPerWorker, bytesPerTeam, bytesPerWaitingJob},
    ...{bytesPerRunningTask, emptyProcessRssKb, fullShardRssKb},
  };
  for (const [name, value] of Object.entries(figures)) {
    print(`memory   ${name.padEnd(24)} ${value}`);
  }
  return figures;
}

function heapPerItem(
  small: ShardSize,
  large: ShardSize,
  addedItems: number,
): number {
  const smallHeap = retainedHeap(() => newEngine(small));
  const largeHeap = retainedHeap(() => newEngine(large));
  return Math.round((largeHeap - smallHeap) / addedItems);
}

/** Returns the heap per job; without workers all wait, else all run. */
function heapPerJob(size: ShardSize): number {
  const heapWithoutJobs = retainedHeap(() => newEngine(size));
  const heapWithJobs = retainedHeap(() => newLoadedEngine(size));
  return Math.round((heapWithJobs - heapWithoutJobs) / size.waiting);
}

function newEngine(size: ShardSize): FairShareEngine {
  const engine = new FairShareEngine();
  initEngine(engine, size);
  return engine;
}

function newLoadedEngine(size: ShardSize): FairShareEngine {
  const engine = newEngine(size);
  const random = new SeededRandom(SEED);
  for (let i = 0; i < size.waiting; i += 1) {
    engine.submit({...newJob(size, random, i, NOW_MS), isGang: false});
  }
  for (const decision of engine.decide(NOW_MS)) void decision;
  return engine;
}

function retainedHeap(make: () => FairShareEngine): number {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const engine = make();
  collectGarbage();
  const after = process.memoryUsage().heapUsed;
  // Keeps the engine reachable until the heap has been read.
  engine.countWaitingTasks();
  return after - before;
}

/** Collects garbage if the process exposes `gc`. */
function collectGarbage(): void {
  runInNewContext('typeof gc === "function" && gc()');
}

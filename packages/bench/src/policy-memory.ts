/** Measures how the memory of an engine grows with what it keeps. */
import {runInNewContext} from 'node:vm';
import {FairShareEngine} from '@dragonflyward/policy';
import {newJob, Random, setUp, TARGET, type ShardSize} from './shard-load.js';

const SEED = 20_261_204;
const NOW_MS = 1_000_000;
const KB = 1_024;

/** Growth of the heap for one more of each, and what the process takes. */
export interface MemoryFigures {
  readonly bytesPerWorker: number;
  readonly bytesPerTeam: number;
  readonly bytesPerWaitingJob: number;
  readonly bytesPerRunningTask: number;
  readonly emptyProcessRssKb: number;
  readonly fullShardRssKb: number;
}

/**
 * Compares engines of different sizes; the process has to allow it to ask for collections.
 *
 * @example
 * const figures = measureMemory(console.log);
 */
export function measureMemory(print: (line: string) => void): MemoryFigures {
  const emptyProcessRssKb = Math.round(process.memoryUsage().rss / KB);
  const base = {...TARGET, workers: 1, teams: 1, organisations: 1};
  const bytesPerWorker = slope(base, {...base, workers: 3_401}, 3_400);
  const bytesPerTeam = slope(base, {...base, teams: 5_901}, 5_900);
  const bytesPerWaitingJob = jobSlope({...TARGET, workers: 0});
  const bytesPerRunningTask = jobSlope({
    ...TARGET,
    workers: 4 * TARGET.workers,
  });
  const fullShardRssKb = Math.round(process.memoryUsage().rss / KB);
  const figures = {
    ...{bytesPerWorker, bytesPerTeam, bytesPerWaitingJob},
    ...{bytesPerRunningTask, emptyProcessRssKb, fullShardRssKb},
  };
  for (const [name, value] of Object.entries(figures)) {
    print(`memory   ${name.padEnd(24)} ${value}`);
  }
  return figures;
}

function slope(small: ShardSize, large: ShardSize, more: number): number {
  const less = heapOf(() => newEngine(small));
  const most = heapOf(() => newEngine(large));
  return Math.round((most - less) / more);
}

/** The heap for each of many jobs, which all wait or all run. */
function jobSlope(size: ShardSize): number {
  const without = heapOf(() => newEngine(size));
  const withJobs = heapOf(() => newLoadedEngine(size));
  return Math.round((withJobs - without) / size.waiting);
}

function newEngine(size: ShardSize): FairShareEngine {
  const engine = new FairShareEngine();
  setUp(engine, size);
  return engine;
}

function newLoadedEngine(size: ShardSize): FairShareEngine {
  const engine = newEngine(size);
  const random = new Random(SEED);
  for (let i = 0; i < size.waiting; i += 1) {
    engine.submit({...newJob(size, random, i, NOW_MS), isGang: false});
  }
  for (const decision of engine.decide(NOW_MS)) void decision;
  return engine;
}

function heapOf(make: () => FairShareEngine): number {
  collect();
  const before = process.memoryUsage().heapUsed;
  const engine = make();
  collect();
  const after = process.memoryUsage().heapUsed;
  // Keeps the engine reachable until the heap was read.
  engine.countWaitingTasks();
  return after - before;
}

/** Collects what is unused, where the process may ask for that. */
function collect(): void {
  runInNewContext('typeof gc === "function" && gc()');
}

/** Measures the rate and cost of placement decisions on a full shard. */
import {FairShareEngine, type PlacedTask} from '@dragonflyward/policy';
import * as hdr from 'hdr-histogram-js';
import {
  newJob,
  SeededRandom,
  initEngine,
  type ShardSize,
} from './shard-load.js';

const SEED = 20_261_204;
const ROUNDS = 400;
const ROUND_PERIOD_MS = 100;
const CANCELLED_JOBS = 10_000;
const US_PER_MS = 1_000;

/** The results for one shard size. */
export interface LoadFigures {
  readonly size: string;
  readonly placements: number;
  readonly placementsPerSecond: number;
  readonly decisionP50Us: number;
  readonly decisionP99Us: number;
  readonly decisionMaxUs: number;
  readonly cpuUsPerPlacement: number;
  readonly heapBytesPerPlacement: number;
  readonly cancelWaveMaxUs: number;
  readonly decisionAfterWaveMaxUs: number;
}

interface LoadState {
  readonly engine: FairShareEngine;
  readonly size: ShardSize;
  readonly random: SeededRandom;
  readonly running: PlacedTask[];
  readonly times: hdr.Histogram;
  nextJob: number;
  nowMs: number;
  placements: number;
}

/**
 * Fills a shard, then ends and submits tasks for many rounds.
 *
 * @example
 * const figures = measureLoad(TARGET_SIZE, console.log);
 */
export function measureLoad(
  size: ShardSize,
  print: (line: string) => void,
): LoadFigures {
  const load = newLoad(size);
  fillShard(load);
  load.times.reset();
  load.placements = 0;
  const heapBefore = process.memoryUsage().heapUsed;
  const cpuBefore = process.cpuUsage();
  const startMs = performance.now();
  for (let round = 0; round < ROUNDS; round += 1) runRound(load);
  const tookMs = performance.now() - startMs;
  const cpu = process.cpuUsage(cpuBefore);
  const heap = process.memoryUsage().heapUsed - heapBefore;
  const {times, placements} = load;
  const wave = measureCancelWave(load);
  const figures: LoadFigures = {
    size: size.name,
    placements,
    placementsPerSecond: Math.round((placements / tookMs) * 1_000),
    decisionP50Us: times.getValueAtPercentile(50),
    decisionP99Us: times.getValueAtPercentile(99),
    decisionMaxUs: times.maxValue,
    cpuUsPerPlacement: Math.round((cpu.user + cpu.system) / placements),
    heapBytesPerPlacement: Math.round(heap / placements),
    ...wave,
  };
  for (const [name, value] of Object.entries(figures)) {
    print(`${size.name.padEnd(8)} ${name.padEnd(24)} ${value}`);
  }
  return figures;
}

function newLoad(size: ShardSize): LoadState {
  const engine = new FairShareEngine();
  initEngine(engine, size);
  const times = hdr.build({highestTrackableValue: 60_000_000});
  const random = new SeededRandom(SEED);
  const running: PlacedTask[] = [];
  return {
    ...{engine, size, random, running, times},
    ...{nextJob: 0, nowMs: 1_000_000, placements: 0},
  };
}

/** Submits jobs until as many tasks run or wait as the size states. */
function fillShard(load: LoadState): void {
  const wanted = load.size.running + load.size.waiting;
  while (load.running.length + load.engine.countWaitingTasks() < wanted) {
    for (let i = 0; i < load.size.teams; i += 1) submit(load);
    runDecisions(load);
  }
}

function submit(load: LoadState): void {
  const {engine, size, random, nextJob, nowMs} = load;
  engine.submit(newJob(size, random, nextJob, nowMs));
  load.nextJob += 1;
}

/** Ends some tasks, refills the queue and decides. */
function runRound(load: LoadState): void {
  load.nowMs += ROUND_PERIOD_MS;
  const ends = Math.ceil(load.size.running / 100);
  for (let i = 0; i < ends; i += 1) endRandomTask(load);
  while (load.engine.countWaitingTasks() < load.size.waiting) submit(load);
  runDecisions(load);
}

function endRandomTask(load: LoadState): void {
  const {running, random, engine, nowMs} = load;
  const index = random.nextBelow(running.length);
  const task = running[index];
  const lastTask = running.pop();
  if (task === undefined || lastTask === undefined) return;
  if (index < running.length) running[index] = lastTask;
  engine.ended(task.taskId, 'succeeded', nowMs);
}

/** Times each step of the decision generator, including the last one. */
function runDecisions(load: LoadState): number {
  let longestUs = 0;
  const decisions = load.engine.decide(load.nowMs);
  for (;;) {
    const startMs = performance.now();
    const next = decisions.next();
    const tookUs = (performance.now() - startMs) * US_PER_MS;
    load.times.recordValue(Math.round(tookUs));
    longestUs = Math.max(longestUs, tookUs);
    if (next.done === true) return Math.round(longestUs);
    const decision = next.value;
    if (decision.kind === 'preempt') endPreempted(load, decision.taskId);
    if (decision.kind !== 'start') continue;
    load.running.push(decision.task);
    load.placements += 1;
  }
}

/** Ends a preempted task at once; it isn't requeued. */
function endPreempted(load: LoadState, taskId: string): void {
  const index = load.running.findIndex(task => task.taskId === taskId);
  if (index >= 0) load.running.splice(index, 1);
  load.engine.ended(taskId, 'notRunning', load.nowMs);
}

/** Cancels many waiting jobs; times each and the decisions afterwards. */
function measureCancelWave(load: LoadState): {
  readonly cancelWaveMaxUs: number;
  readonly decisionAfterWaveMaxUs: number;
} {
  const first = load.nextJob;
  for (let i = 0; i < CANCELLED_JOBS; i += 1) submit(load);
  runDecisions(load);
  let longestUs = 0;
  for (let i = 0; i < CANCELLED_JOBS; i += 1) {
    const startMs = performance.now();
    load.engine.cancel(`job-${first + i}`);
    const tookUs = (performance.now() - startMs) * US_PER_MS;
    longestUs = Math.max(longestUs, tookUs);
  }
  load.nowMs += ROUND_PERIOD_MS;
  return {
    cancelWaveMaxUs: Math.round(longestUs),
    decisionAfterWaveMaxUs: runDecisions(load),
  };
}

/** Measures the rate and the cost of decisions on a full shard. */
import {FairShareEngine, type PlacedTask} from '@dragonflyward/policy';
import * as hdr from 'hdr-histogram-js';
import {newJob, Random, setUp, type ShardSize} from './shard-load.js';

const SEED = 20_261_204;
const ROUNDS = 400;
const ROUND_MS = 100;
const CANCELLED_JOBS = 10_000;
const US_PER_MS = 1_000;

/** What was measured at one size. */
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

interface Load {
  readonly engine: FairShareEngine;
  readonly size: ShardSize;
  readonly random: Random;
  readonly running: PlacedTask[];
  readonly times: hdr.Histogram;
  nextJob: number;
  nowMs: number;
  placements: number;
}

/**
 * Fills a shard, then ends and submits work for many rounds.
 *
 * @example
 * const figures = measureLoad(TARGET, console.log);
 */
export function measureLoad(
  size: ShardSize,
  print: (line: string) => void,
): LoadFigures {
  const load = newLoad(size);
  fill(load);
  load.times.reset();
  load.placements = 0;
  const heapBefore = process.memoryUsage().heapUsed;
  const cpuBefore = process.cpuUsage();
  const startMs = performance.now();
  for (let round = 0; round < ROUNDS; round += 1) turnOver(load);
  const tookMs = performance.now() - startMs;
  const cpu = process.cpuUsage(cpuBefore);
  const heap = process.memoryUsage().heapUsed - heapBefore;
  const {times, placements} = load;
  const wave = cancelWave(load);
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

function newLoad(size: ShardSize): Load {
  const engine = new FairShareEngine();
  setUp(engine, size);
  const times = hdr.build({highestTrackableValue: 60_000_000});
  const random = new Random(SEED);
  const running: PlacedTask[] = [];
  return {
    ...{engine, size, random, running, times},
    ...{nextJob: 0, nowMs: 1_000_000, placements: 0},
  };
}

/** Submits work until the stated number of tasks runs and waits. */
function fill(load: Load): void {
  const wanted = load.size.running + load.size.waiting;
  while (load.running.length + load.engine.countWaitingTasks() < wanted) {
    for (let i = 0; i < load.size.teams; i += 1) submit(load);
    decide(load);
  }
}

function submit(load: Load): void {
  const {engine, size, random, nextJob, nowMs} = load;
  engine.submit(newJob(size, random, nextJob, nowMs));
  load.nextJob += 1;
}

/** Ends some tasks, submits as many, and decides. */
function turnOver(load: Load): void {
  load.nowMs += ROUND_MS;
  const ends = Math.ceil(load.size.running / 100);
  for (let i = 0; i < ends; i += 1) endOne(load);
  while (load.engine.countWaitingTasks() < load.size.waiting) submit(load);
  decide(load);
}

function endOne(load: Load): void {
  const {running, random, engine, nowMs} = load;
  const at = random.below(running.length);
  const task = running[at];
  const last = running.pop();
  if (task === undefined || last === undefined) return;
  if (at < running.length) running[at] = last;
  engine.ended(task.taskId, 'succeeded', nowMs);
}

/** Times each step to the next decision, also the last one to the end. */
function decide(load: Load): number {
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
    if (decision.kind === 'preempt') stop(load, decision.taskId);
    if (decision.kind !== 'start') continue;
    load.running.push(decision.task);
    load.placements += 1;
  }
}

/** A stopped task ends at once and is not run again here. */
function stop(load: Load, taskId: string): void {
  const at = load.running.findIndex(task => task.taskId === taskId);
  if (at >= 0) load.running.splice(at, 1);
  load.engine.ended(taskId, 'notRunning', load.nowMs);
}

/** Cancels many waiting jobs at once; times each and the next decision. */
function cancelWave(load: Load): {
  readonly cancelWaveMaxUs: number;
  readonly decisionAfterWaveMaxUs: number;
} {
  const first = load.nextJob;
  for (let i = 0; i < CANCELLED_JOBS; i += 1) submit(load);
  decide(load);
  let longestUs = 0;
  for (let i = 0; i < CANCELLED_JOBS; i += 1) {
    const startMs = performance.now();
    load.engine.cancel(`job-${first + i}`);
    const tookUs = (performance.now() - startMs) * US_PER_MS;
    longestUs = Math.max(longestUs, tookUs);
  }
  load.nowMs += ROUND_MS;
  return {
    cancelWaveMaxUs: Math.round(longestUs),
    decisionAfterWaveMaxUs: decide(load),
  };
}

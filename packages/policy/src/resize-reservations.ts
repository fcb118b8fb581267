/** Resizes the reservations of running tasks to their measured use. */
import {fitsIn, subtractResources, type Resources} from '@dragonflyward/common';
import {isSameAmount} from './resource-math.js';
import type {EngineCore} from './core.js';
import type {Decision, UsageSample} from './engine.js';
import {queuePreemption} from './make-room.js';
import {flushDecisions} from './place-waiting.js';
import type {RunningTask} from './state.js';

/** Measurements needed to resize a reservation at all, and to lower it. */
const MIN_SAMPLES = 2;
const MIN_SAMPLES_TO_LOWER = 5;
/** Headroom over the peak use that was measured. */
const CPU_MARGIN_FACTOR = 1.05;
const MEM_MARGIN_FACTOR = 1.2;
/** A reservation is lowered only if less than this fraction is needed. */
const LOWER_BELOW_FRACTION = 0.85;
/** A task that uses this fraction of its CPU cap may be throttled by it. */
const THROTTLED_FRACTION = 0.95;
/** Factor by which the CPU cap of such a task is raised to probe its need. */
const PROBE_FACTOR = 1.5;
/** A task is probed again only if the last probe grew it by this much. */
const REPROBE_FACTOR = 1.4;
/** Minimum time between two resizes of a reservation. */
const RESIZE_COOLDOWN_MS = 5_000;

/**
 * Records measured use; reservations are resized by later stages.
 *
 * @example
 * recordUsage(core, samples);
 */
export function recordUsage(
  core: EngineCore,
  samples: readonly UsageSample[],
): void {
  if (!core.features.estimatesUsage) return;
  for (const sample of samples) {
    const running = core.workerTable.tasks.get(sample.taskId);
    if (running !== undefined) recordSample(core, running, sample);
  }
  core.estimates.refresh();
}

function recordSample(
  core: EngineCore,
  running: RunningTask,
  sample: UsageSample,
): void {
  const {job} = running.job;
  const {cpuMilli, memMb} = sample;
  running.peakCpuMilli = Math.max(running.peakCpuMilli, cpuMilli);
  running.peakMemMb = Math.max(running.peakMemMb, memMb);
  running.sampleCount += 1;
  const {queue, team, size: declared} = job;
  core.estimates.recordUsage({queue, team, declared, cpuMilli, memMb});
  core.tasksToReview.add(running);
  if (mayBeThrottled(running, cpuMilli)) core.tasksToProbe.add(running);
}

/** Whether a task may be throttled by its CPU cap and may be probed. */
function mayBeThrottled(running: RunningTask, cpuMilli: number): boolean {
  const reserved = running.task.size.cpuMilli;
  if (reserved === 0 || cpuMilli < reserved * THROTTLED_FRACTION) return false;
  return reserved >= running.cpuMilliBeforeProbe * REPROBE_FACTOR;
}

/**
 * Resizes the reservations of tasks that were measured since the last pass.
 *
 * @example
 * yield* adjustReservations(core);
 */
export function* adjustReservations(core: EngineCore): Generator<Decision> {
  for (const running of core.tasksToReview) {
    core.tasksToReview.delete(running);
    if (core.workerTable.tasks.get(running.task.taskId) !== running) continue;
    if (running.isStopping) continue;
    adjustReservation(core, running);
    yield* flushDecisions(core);
  }
}

/**
 * Raises the CPU cap of tasks that may be throttled by it, where room is left
 * after the placement of waiting work.
 *
 * @example
 * yield* probeReservations(core);
 */
export function* probeReservations(core: EngineCore): Generator<Decision> {
  for (const running of core.tasksToProbe) {
    core.tasksToProbe.delete(running);
    if (core.workerTable.tasks.get(running.task.taskId) !== running) continue;
    if (running.isStopping || isTooEarlyToResize(core, running)) continue;
    const {size} = running.task;
    const cpuMilli = Math.ceil(size.cpuMilli * PROBE_FACTOR);
    const wanted = {...size, cpuMilli};
    if (!mayRaise(core, running, wanted)) continue;
    running.cpuMilliBeforeProbe = size.cpuMilli;
    resize(core, running, wanted);
    yield* flushDecisions(core);
  }
}

/** Whether the last resize is too recent or there are too few samples. */
function isTooEarlyToResize(core: EngineCore, running: RunningTask): boolean {
  if (core.nowMs - running.lastResizeMs < RESIZE_COOLDOWN_MS) return true;
  return running.sampleCount < MIN_SAMPLES;
}

function adjustReservation(core: EngineCore, running: RunningTask): void {
  if (isTooEarlyToResize(core, running)) return;
  const wanted = wantedSize(running);
  const {size} = running.task;
  if (isSameAmount(wanted, size)) return;
  if (fitsIn(wanted, size)) {
    resize(core, running, wanted);
    return;
  }
  if (mayRaise(core, running, wanted)) {
    resize(core, running, wanted);
    return;
  }
  preemptIfShortOfMemory(core, running);
}

/** What the task should reserve; parts that fit well enough stay the same. */
function wantedSize(running: RunningTask): Resources {
  const {size} = running.task;
  const {peakCpuMilli, peakMemMb, sampleCount} = running;
  const mayLower = sampleCount >= MIN_SAMPLES_TO_LOWER;
  const wantedCpu = Math.ceil(peakCpuMilli * CPU_MARGIN_FACTOR);
  const wantedMem = Math.ceil(peakMemMb * MEM_MARGIN_FACTOR);
  const isShortOfMemory = peakMemMb > size.memMb;
  return {
    ...size,
    cpuMilli: lowerIfMuchLess(size.cpuMilli, wantedCpu, mayLower),
    memMb: isShortOfMemory
      ? wantedMem
      : lowerIfMuchLess(size.memMb, wantedMem, mayLower),
  };
}

function lowerIfMuchLess(
  reserved: number,
  wanted: number,
  mayLower: boolean,
): number {
  const isMuchLess = wanted < reserved * LOWER_BELOW_FRACTION;
  return mayLower && isMuchLess ? Math.max(1, wanted) : reserved;
}

function mayRaise(
  core: EngineCore,
  running: RunningTask,
  wanted: Resources,
): boolean {
  const increase = subtractResources(wanted, running.task.size);
  const worker = core.workerTable.getWorker(running.task.workerId);
  if (!fitsIn(increase, subtractResources(worker.free, worker.heldUrgent))) {
    return false;
  }
  return core.teams.isWithinAllowance(running.job.team, increase);
}

function resize(core: EngineCore, running: RunningTask, size: Resources): void {
  core.workerTable.resize(running, size);
  running.lastResizeMs = core.nowMs;
  running.sampleCount = 0;
  running.peakCpuMilli = 0;
  const {taskId, workerId} = running.task;
  core.pendingDecisions.push({kind: 'resize', taskId, workerId, size});
}

/** Memory cannot be throttled, so a task that lacks it restarts elsewhere. */
function preemptIfShortOfMemory(core: EngineCore, running: RunningTask): void {
  const {job} = running.job;
  if (running.peakMemMb <= running.task.size.memMb) return;
  if (!job.isIdempotent || job.isGang) return;
  core.workerTable.markStopping(running, core.nowMs);
  queuePreemption(
    core,
    running,
    'it needs more memory than the worker has free',
  );
}

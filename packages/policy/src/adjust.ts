/** Fits the reservations of running tasks to what they are seen to use. */
import {fitsIn, subtractResources, type Resources} from '@dragonflyward/common';
import {isSameSize} from './amounts.js';
import type {EngineCore} from './core.js';
import type {Decision, UsageSample} from './engine.js';
import {announce} from './make-room.js';
import {flush} from './place-waiting.js';
import type {RunningTask} from './state.js';

/** Measurements of a task before its reservation is raised or lowered. */
const RAISE_SAMPLES = 2;
const LOWER_SAMPLES = 5;
/** What is reserved beyond the largest use that was measured. */
const CPU_MARGIN = 1.05;
const MEM_MARGIN = 1.2;
/** A reservation is lowered only where this part of it would do. */
const LOWER_PART = 0.85;
/** Use at this part of the reservation may be held back by its cap. */
const CAPPED_PART = 0.95;
/** How much more a task that may be held back gets to try. */
const PROBE_FACTOR = 1.5;
/** It tries again only where it used this much more than before. */
const PROBE_AGAIN_FACTOR = 1.4;
/** How long a reservation stays as it was set. */
const RESIZE_PAUSE_MS = 5_000;

/**
 * Learns from measurements; what follows from them is decided later.
 *
 * @example
 * learnUsage(core, samples);
 */
export function learnUsage(
  core: EngineCore,
  samples: readonly UsageSample[],
): void {
  if (!core.features.learns) return;
  for (const sample of samples) {
    const running = core.cell.tasks.get(sample.taskId);
    if (running !== undefined) learnSample(core, running, sample);
  }
  core.estimates.refresh();
}

function learnSample(
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
  core.estimates.noteUse({queue, team, declared, cpuMilli, memMb});
  core.toReview.add(running);
  if (mayBeCapped(running, cpuMilli)) core.toProbe.add(running);
}

/** Whether a task uses all processor time that it may use. */
function mayBeCapped(running: RunningTask, cpuMilli: number): boolean {
  const reserved = running.task.size.cpuMilli;
  if (reserved === 0 || cpuMilli < reserved * CAPPED_PART) return false;
  return reserved >= running.probedCpuMilli * PROBE_AGAIN_FACTOR;
}

/**
 * Changes the reservations of the tasks that were measured.
 *
 * @example
 * yield* adjustReservations(core);
 */
export function* adjustReservations(core: EngineCore): Generator<Decision> {
  for (const running of core.toReview) {
    core.toReview.delete(running);
    if (core.cell.tasks.get(running.task.taskId) !== running) continue;
    if (running.isStopping) continue;
    adjust(core, running);
    yield* flush(core);
  }
}

/**
 * Lets tasks that may be held back by their cap use more, where room is free
 * that no waiting work could take.
 *
 * @example
 * yield* probeReservations(core);
 */
export function* probeReservations(core: EngineCore): Generator<Decision> {
  for (const running of core.toProbe) {
    core.toProbe.delete(running);
    if (core.cell.tasks.get(running.task.taskId) !== running) continue;
    if (running.isStopping || isSettled(core, running)) continue;
    const {size} = running.task;
    const cpuMilli = Math.ceil(size.cpuMilli * PROBE_FACTOR);
    const wanted = {...size, cpuMilli};
    if (!mayRaise(core, running, wanted)) continue;
    running.probedCpuMilli = size.cpuMilli;
    resize(core, running, wanted);
    yield* flush(core);
  }
}

/** Whether a reservation was changed too lately, or too little is known. */
function isSettled(core: EngineCore, running: RunningTask): boolean {
  if (core.nowMs - running.resizedMs < RESIZE_PAUSE_MS) return true;
  return running.sampleCount < RAISE_SAMPLES;
}

function adjust(core: EngineCore, running: RunningTask): void {
  if (isSettled(core, running)) return;
  const wanted = wantedSize(running);
  const {size} = running.task;
  if (isSameSize(wanted, size)) return;
  if (fitsIn(wanted, size)) {
    resize(core, running, wanted);
    return;
  }
  if (mayRaise(core, running, wanted)) {
    resize(core, running, wanted);
    return;
  }
  moveIfTooLarge(core, running);
}

/** What the task should reserve; unchanged parts stay as they are. */
function wantedSize(running: RunningTask): Resources {
  const {size} = running.task;
  const {peakCpuMilli, peakMemMb, sampleCount} = running;
  const mayLower = sampleCount >= LOWER_SAMPLES;
  const wantedCpu = Math.ceil(peakCpuMilli * CPU_MARGIN);
  const wantedMem = Math.ceil(peakMemMb * MEM_MARGIN);
  const isShort = peakMemMb > size.memMb;
  return {
    ...size,
    cpuMilli: lowerPart(size.cpuMilli, wantedCpu, mayLower),
    memMb: isShort ? wantedMem : lowerPart(size.memMb, wantedMem, mayLower),
  };
}

function lowerPart(
  reserved: number,
  wanted: number,
  mayLower: boolean,
): number {
  const isMuchLess = wanted < reserved * LOWER_PART;
  return mayLower && isMuchLess ? Math.max(1, wanted) : reserved;
}

function mayRaise(
  core: EngineCore,
  running: RunningTask,
  wanted: Resources,
): boolean {
  const more = subtractResources(wanted, running.task.size);
  const worker = core.cell.getWorker(running.task.workerId);
  if (!fitsIn(more, subtractResources(worker.free, worker.heldUrgent))) {
    return false;
  }
  return core.teams.isAllowed(running.job.team, more);
}

function resize(core: EngineCore, running: RunningTask, size: Resources): void {
  core.cell.resize(running, size);
  running.resizedMs = core.nowMs;
  running.sampleCount = 0;
  running.peakCpuMilli = 0;
  const {taskId, workerId} = running.task;
  core.outbox.push({kind: 'resize', taskId, workerId, size});
}

/** Memory cannot be throttled: a task that lacks it starts again elsewhere. */
function moveIfTooLarge(core: EngineCore, running: RunningTask): void {
  const {job} = running.job;
  if (running.peakMemMb <= running.task.size.memMb) return;
  if (!job.isIdempotent || job.isGang) return;
  core.cell.markStopping(running, core.nowMs);
  announce(core, running, 'it needs more memory than the worker has free');
}

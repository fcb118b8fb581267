/** The order in which waiting steps are considered. */
import {delayCost, NO_PRESSURE, type PressureTable} from './overload/index.js';
import type {RunTimeEstimates} from './run-time-estimates.js';
import type {JobState, OccurrenceState, StepState} from './job-state.js';

/** A job is too late after this many times its latency objective. */
const TOO_LATE_FACTOR = 3;

/** Share by which runs of one image may take longer than expected. */
const RUN_TIME_MARGIN = 0.3;

/** How late a job is against its latency objective; lower goes first. */
export type Lateness = 0 | 1 | 2;

/** The job can still meet its objective. */
export const ON_TIME: Lateness = 0;
/** The job misses its objective, but its result still has some value. */
export const LATE: Lateness = 1;
/** The job's result has no value any more. */
export const TOO_LATE: Lateness = 2;

/** Added to the priority of work that is too late. */
const TOO_LATE_PRECEDENCE = 1000;

/** Precedences of ticket requests; the most urgent queue has 0. */
const OVERDUE_LASTING_PRECEDENCE = -1;
export const LASTING_PRECEDENCE = 0.25;
const OVERDUE_PRECEDENCE = 0.5;

/** A waiting step and the keys by which it is ordered. */
export interface RankedStep {
  readonly step: StepState;
  readonly priority: number;
  readonly isOverRate: boolean;
  readonly lateness: Lateness;
  /** How long the start may still be delayed without missing the objective. */
  readonly slackMs: number;
  /**
   * What a delay costs callers, for each unit of work; Infinity where there is
   * room for all that waits, or the result has no value any more.
   */
  readonly delayCost: number;
  /** Whether it has had room for long without a start. */
  readonly isOverdue: boolean;
}

/**
 * The precedence of a step's ticket requests; lower goes first. Lasting tasks
 * are few, and a call that waits in the queue can't be moved up later.
 */
export function ticketPrecedence(ranked: RankedStep): number {
  const {step, isOverdue} = ranked;
  if (step.spec.isService) {
    return isOverdue ? OVERDUE_LASTING_PRECEDENCE : LASTING_PRECEDENCE;
  }
  const usual = precedence(ranked);
  return isOverdue ? Math.min(usual, OVERDUE_PRECEDENCE) : usual;
}

/** The queue's priority, with work that is too late last; lower goes first. */
export function precedence({priority, lateness}: RankedStep): number {
  return lateness === TOO_LATE ? TOO_LATE_PRECEDENCE + priority : priority;
}

/**
 * Orders waiting steps by precedence (priority of the queue, work that is too
 * late last), then steps of organisations within their submission rate, then
 * by lateness, then by what a delay costs where there is too little room, then
 * by slack. Under overload, work that is already late, or would be by the time
 * it starts, thus does not make other work late too.
 *
 * @param leadMs how long a start of the step takes from now on, in ms
 * @param pressure where there is too little room
 * @example
 * for (const {step} of orderSteps(ready, estimates, Date.now())) place(step);
 */
export function orderSteps(
  steps: Iterable<StepState>,
  estimates: RunTimeEstimates,
  wallMs: number,
  leadMs: (step: StepState) => number = () => 0,
  pressure: PressureTable = NO_PRESSURE,
): readonly RankedStep[] {
  const ranked: RankedStep[] = [];
  const pathTimes = new Map<OccurrenceState, PathTimes>();
  for (const step of steps) {
    const {occurrence} = step;
    const times = pathTimes.get(occurrence) ?? pathTimesOf(step, estimates);
    pathTimes.set(occurrence, times);
    ranked.push(rankStep(step, times, wallMs, leadMs(step), pressure));
  }
  return ranked.sort(compareRanked);
}

/** Expected times of an occurrence, which are those of each of its steps. */
interface PathTimes {
  /** Of the longest chain of unfinished steps, in ms. */
  readonly criticalMs: number;
  /** From the start until the job is late, in ms. */
  readonly allowedMs: number;
}

function pathTimesOf(step: StepState, estimates: RunTimeEstimates): PathTimes {
  const criticalMs = estimates.criticalPathMs(step);
  const allowedMs = allowedLatencyMs(step.occurrence.job, step, estimates);
  return {criticalMs, allowedMs};
}

function rankStep(
  step: StepState,
  {criticalMs, allowedMs}: PathTimes,
  wallMs: number,
  leadMs: number,
  pressure: PressureTable,
): RankedStep {
  const {job, dueMs} = step.occurrence;
  const {isOverRate} = job;
  const {priority} = job.queue;
  const sinceMs = Math.max(job.acceptedMs, dueMs);
  const slackMs = sinceMs + allowedMs - criticalMs - wallMs;
  const neededMs = leadMs + RUN_TIME_MARGIN * criticalMs;
  const isOnTime = step.spec.isService || slackMs >= neededMs;
  const isTooLate = wallMs - sinceMs > TOO_LATE_FACTOR * allowedMs;
  const latenessIfMissed = isTooLate ? TOO_LATE : LATE;
  const lateness = isOnTime ? ON_TIME : latenessIfMissed;
  const isOverdue = false;
  const usefulMs =
    lateness === ON_TIME
      ? slackMs - neededMs
      : slackMs + (TOO_LATE_FACTOR - 1) * allowedMs;
  return {
    step,
    priority,
    isOverRate,
    slackMs,
    lateness,
    delayCost:
      lateness === TOO_LATE ? Infinity : delayCostOf(step, usefulMs, pressure),
    isOverdue,
  };
}

/** @param slackMs until the result of the job loses value */
function delayCostOf(
  step: StepState,
  slackMs: number,
  table: PressureTable,
): number {
  const pressure = table.of(step);
  if (pressure === null || pressure.meanWork <= 0) return Infinity;
  return delayCost({slackMs, work: table.workOf(step)}, pressure);
}

function allowedLatencyMs(
  {queue}: JobState,
  step: StepState,
  estimates: RunTimeEstimates,
): number {
  const {steps} = step.occurrence;
  if (steps.length === 1) {
    return queue.objectiveMs + queue.stretch * estimates.expectedMs(step);
  }
  const finishMs: number[] = [];
  for (const each of steps) {
    const dependencyMs = each.spec.after.map(i => finishMs[i] ?? 0);
    finishMs.push(Math.max(0, ...dependencyMs) + estimates.expectedMs(each));
  }
  return queue.objectiveMs + queue.stretch * Math.max(0, ...finishMs);
}

/** Compares two steps; the one to consider first comes first. */
export function compareRanked(a: RankedStep, b: RankedStep): number {
  return (
    precedence(a) - precedence(b) ||
    Number(a.isOverRate) - Number(b.isOverRate) ||
    a.lateness - b.lateness ||
    compareCosts(a.delayCost, b.delayCost) ||
    a.slackMs - b.slackMs
  );
}

/** The higher cost comes first; costs may be infinite. */
function compareCosts(a: number, b: number): number {
  return Number(a < b) - Number(a > b);
}

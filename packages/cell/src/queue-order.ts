/** Which of the steps that wait goes first. */
import type {Estimates} from './estimates.js';
import type {JobState, StepState} from './job-state.js';

/** A job that is later than this many times its objective earns nothing. */
const WORTHLESS_FACTOR = 3;

/** How a job stands against its latency objective; lower goes first. */
export type Standing = 0 | 1 | 2;

/** The job can still meet its objective. */
export const IN_TIME: Standing = 0;
/** The job earns a part of its worth. */
export const LATE: Standing = 1;
/** The job earns nothing any more. */
export const WORTHLESS: Standing = 2;

/** Added to the priority of work that earns nothing any more. */
const WORTHLESS_PRECEDENCE = 1000;

/** A waiting step and the reasons for its place in the order. */
export interface RankedStep {
  readonly step: StepState;
  readonly priority: number;
  readonly isExcess: boolean;
  readonly standing: Standing;
  /** Time that may still pass before the start without being late. */
  readonly slackMs: number;
}

/** Which work goes first by its queue; lower goes first. */
export function precedence({priority, standing}: RankedStep): number {
  return standing === WORTHLESS ? WORTHLESS_PRECEDENCE + priority : priority;
}

/**
 * Orders waiting steps: those that still earn something, by priority of their
 * queue, then those within their organisation's weight, then those that can
 * still meet their objective, by slack. Answers a load of more work than room:
 * work that is late already does not make other work late too.
 *
 * @example
 * for (const {step} of orderSteps(ready, estimates, Date.now())) place(step);
 */
export function orderSteps(
  steps: Iterable<StepState>,
  estimates: Estimates,
  wallMs: number,
): readonly RankedStep[] {
  const ranked: RankedStep[] = [];
  for (const step of steps) ranked.push(rank(step, estimates, wallMs));
  return ranked.sort(compareRanked);
}

function rank(
  step: StepState,
  estimates: Estimates,
  wallMs: number,
): RankedStep {
  const {job, dueMs} = step.occurrence;
  const {isExcess} = job;
  const {priority} = job.queue;
  const sinceMs = Math.max(job.acceptedMs, dueMs);
  const chainMs = estimates.chainMs(step);
  const allowedMs = objectiveMs(job, step, estimates);
  const slackMs = sinceMs + allowedMs - chainMs - wallMs;
  const isInTime = step.spec.isService || slackMs >= 0;
  const isWorthless = wallMs - sinceMs > WORTHLESS_FACTOR * allowedMs;
  const late = isWorthless ? WORTHLESS : LATE;
  const standing = isInTime ? IN_TIME : late;
  return {step, priority, isExcess, slackMs, standing};
}

function objectiveMs(
  {queue}: JobState,
  step: StepState,
  estimates: Estimates,
): number {
  const {steps} = step.occurrence;
  const finish: number[] = [];
  for (const each of steps) {
    const before = each.spec.after.map(i => finish[i] ?? 0);
    finish.push(Math.max(0, ...before) + estimates.expectedMs(each));
  }
  return queue.objectiveMs + queue.stretch * Math.max(0, ...finish);
}

function compareRanked(a: RankedStep, b: RankedStep): number {
  return (
    precedence(a) - precedence(b) ||
    Number(a.isExcess) - Number(b.isExcess) ||
    a.standing - b.standing ||
    a.slackMs - b.slackMs
  );
}

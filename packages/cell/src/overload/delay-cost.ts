/**
 * What a delay of a step costs its caller, where there is too little room for
 * all that waits. Load: a burst, or one organisation far over its usual rate,
 * that needs more than a service, or the limit of the organisation, has free.
 */

/** How much work competes for the same resources. */
export interface Pressure {
  /** How long they need for all that waits, in ms. */
  readonly drainMs: number;
  /** Mean work of the jobs that wait, in the unit of the work of each. */
  readonly meanWork: number;
}

/** A waiting step and its job. */
export interface WaitingStep {
  /** How long the start may be delayed before the result loses value, in ms. */
  readonly slackMs: number;
  /** What is left of the job's work. */
  readonly work: number;
}

/**
 * Share of a job's value that does not depend on its work. With none, one large
 * job would delay many callers; with all of it, hardly any large job would
 * start under overload.
 */
const FIXED_VALUE_SHARE = 0.5;
/** Work counts between these multiples of the mean; beyond, slack decides. */
const MIN_RELATIVE_WORK = 2 / 3;
const MAX_RELATIVE_WORK = 3 / 2;
/**
 * The cost falls to 1/e where the slack is this many times the drain time: by
 * then, the step would have its turn without losing value.
 */
const LOOKAHEAD_DRAINS = 2;
/** Least lookahead, in ms: the order is updated about this often. */
const MIN_LOOKAHEAD_MS = 100;

/**
 * The cost of a delay for each unit of work, by the rule of apparent tardiness
 * cost: value over work, less for steps that can still wait. Higher goes first.
 *
 * @example
 * steps.sort((a, b) => delayCost(b, pressure) - delayCost(a, pressure));
 */
export function delayCost(
  {slackMs, work}: WaitingStep,
  {drainMs, meanWork}: Pressure,
): number {
  const relativeWork = Math.min(
    MAX_RELATIVE_WORK,
    Math.max(MIN_RELATIVE_WORK, work / meanWork),
  );
  const value = FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * relativeWork;
  const lookaheadMs = Math.max(MIN_LOOKAHEAD_MS, LOOKAHEAD_DRAINS * drainMs);
  const patience = Math.exp(-Math.max(0, slackMs) / lookaheadMs);
  return (value / relativeWork) * patience;
}

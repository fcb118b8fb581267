/**
 * Keeps the order of the waiting steps between scheduling rounds. With hundreds
 * of steps, ranking all of them in each round would take most of its time.
 */
import {
  isStepReady,
  type OccurrenceState,
  type StepState,
} from './job-state.js';
import {NO_PRESSURE, type PressureTable} from './overload/index.js';
import {compareRanked, orderSteps, type RankedStep} from './queue-order.js';
import type {RunTimeEstimates} from './run-time-estimates.js';

/** All steps are ranked this often, in ms; in between, only new ones. */
const RANKING_INTERVAL_MS = 100;

/** What the order is made of. */
export interface StepOrderSource {
  readonly nowMs: number;
  readonly wallMs: number;
  readonly pendingSteps: ReadonlySet<StepState>;
  readonly estimates: RunTimeEstimates;
  /** How long a start of the step takes from now on, in ms. */
  readonly leadMs: (step: StepState) => number;
  /** Whether a task of the step waits and may be started. */
  readonly isStartable: (step: StepState) => boolean;
  /** Measures where there is too little room for what waits. */
  readonly measurePressure?: (waiting: readonly StepState[]) => PressureTable;
  /** Called for a step of which nothing may be started. */
  readonly onIdle: (step: StepState) => void;
}

/** The waiting steps that are ready, in their order. */
export class StepOrder {
  private ranked: readonly RankedStep[] = [];
  /** Where there was too little room when all steps were ranked. */
  private pressure = NO_PRESSURE;
  private rankedMs = -Infinity;
  /** Steps that may have become ready, or wait again, since then. */
  private readonly changed = new Set<StepState>();

  /** Records that a step may have become ready, or has a task that waits. */
  markChanged(step: StepState): void {
    this.changed.add(step);
  }

  /** Records that steps of an occurrence may have become ready. */
  markOccurrenceChanged({steps}: OccurrenceState): void {
    for (const step of steps) this.markChanged(step);
  }

  /** Ranks all steps anew in the next round. */
  invalidate(): void {
    this.rankedMs = -Infinity;
    this.ranked = [];
  }

  /**
   * Returns the steps that are ready and have something to start.
   *
   * @example
   * for (const {step} of order.update(source)) place(step);
   */
  update(source: StepOrderSource): readonly RankedStep[] {
    const ageMs = source.nowMs - this.rankedMs;
    const isStale = !(ageMs >= 0 && ageMs < RANKING_INTERVAL_MS);
    this.ranked = isStale ? this.rankAll(source) : this.rankChanged(source);
    this.changed.clear();
    return this.ranked;
  }

  private rankAll(source: StepOrderSource): readonly RankedStep[] {
    this.rankedMs = source.nowMs;
    const waiting: StepState[] = [];
    for (const step of source.pendingSteps) {
      if (!isStepReady(step, source.wallMs)) continue;
      if (source.isStartable(step)) waiting.push(step);
      else source.onIdle(step);
    }
    this.pressure = source.measurePressure?.(waiting) ?? NO_PRESSURE;
    return rank(waiting, source, this.pressure);
  }

  private rankChanged(source: StepOrderSource): readonly RankedStep[] {
    const {changed} = this;
    const kept = this.ranked.filter(
      ({step}) =>
        !changed.has(step) &&
        source.pendingSteps.has(step) &&
        isWaiting(step, source),
    );
    const added = [...changed].filter(
      step =>
        source.pendingSteps.has(step) &&
        isStepReady(step, source.wallMs) &&
        isWaiting(step, source),
    );
    if (added.length === 0) return kept;
    return merge(kept, rank(added, source, this.pressure));
  }
}

function rank(
  steps: readonly StepState[],
  {estimates, wallMs, leadMs}: StepOrderSource,
  pressure: PressureTable,
): readonly RankedStep[] {
  return orderSteps(steps, estimates, wallMs, leadMs, pressure);
}

function isWaiting(step: StepState, source: StepOrderSource): boolean {
  if (source.isStartable(step)) return true;
  source.onIdle(step);
  return false;
}

/** Merges two lists in the order of the ranks. */
function merge(
  left: readonly RankedStep[],
  right: readonly RankedStep[],
): readonly RankedStep[] {
  const merged: RankedStep[] = [];
  let next = 0;
  for (const each of left) {
    for (; next < right.length; next += 1) {
      const other = right[next];
      if (other === undefined || compareRanked(each, other) <= 0) break;
      merged.push(other);
    }
    merged.push(each);
  }
  return [...merged, ...right.slice(next)];
}

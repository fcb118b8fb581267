/** Estimates run times from completed runs; declared times are far off. */
import type {StepState} from './job-state.js';

/** Weight of the newest run in the moving average of an image. */
const NEW_RUN_WEIGHT = 0.3;
/** The most images with a stored average. */
const MAX_IMAGES = 4096;

interface RunTime {
  readonly meanMs: number;
  readonly count: number;
}

/** Average run times by step, else by queue and image, else as declared. */
export class RunTimeEstimates {
  private readonly byImage = new Map<string, RunTime>();
  private readonly byStep = new WeakMap<StepState, RunTime>();

  /** Records the run time of a task that completed. */
  record(step: StepState, ranMs: number): void {
    this.byStep.set(step, average(this.byStep.get(step), ranMs));
    const {imageKey} = step;
    const known = this.byImage.get(imageKey);
    if (known === undefined && this.byImage.size >= MAX_IMAGES) return;
    this.byImage.set(imageKey, average(known, ranMs));
  }

  /** The expected run time of a task of the step. */
  expectedMs(step: StepState): number {
    const known = this.byStep.get(step) ?? this.byImage.get(step.imageKey);
    return known?.meanMs ?? step.spec.estimatedMs;
  }

  /** How many completed tasks of the step the estimate is based on. */
  completedCount(step: StepState): number {
    return this.byStep.get(step)?.count ?? 0;
  }

  /** Expected time of the longest chain of unfinished steps. */
  criticalPathMs(step: StepState): number {
    const {steps} = step.occurrence;
    if (steps.length === 1) return this.expectedMs(step);
    const finishMs: number[] = [];
    for (const each of steps) {
      const isDone = each.doneCount === each.tasks.length;
      const dependencyMs = each.spec.after.map(i => finishMs[i] ?? 0);
      const startMs = Math.max(0, ...dependencyMs);
      finishMs.push(startMs + (isDone ? 0 : this.expectedMs(each)));
    }
    return Math.max(0, ...finishMs);
  }
}

function average(known: RunTime | undefined, ranMs: number): RunTime {
  if (known === undefined) return {meanMs: ranMs, count: 1};
  const meanMs = known.meanMs + (ranMs - known.meanMs) * NEW_RUN_WEIGHT;
  return {meanMs, count: known.count + 1};
}

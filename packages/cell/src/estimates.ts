/** Learns how long tasks run, since declared times are far off. */
import type {StepState} from './job-state.js';

/** Weight of the newest run in the moving average of an image. */
const NEW_RUN_WEIGHT = 0.3;
/** The most images that are remembered. */
const MAX_IMAGES = 4096;

interface RunTime {
  readonly meanMs: number;
  readonly count: number;
}

/** Run times by step, else by image and queue, else as declared. */
export class Estimates {
  private readonly byImage = new Map<string, RunTime>();
  private readonly bySteps = new WeakMap<StepState, RunTime>();

  /** Takes in the run time of a task that ended well. */
  learn(step: StepState, ranMs: number): void {
    this.bySteps.set(step, average(this.bySteps.get(step), ranMs));
    const key = imageKey(step);
    const known = this.byImage.get(key);
    if (known === undefined && this.byImage.size >= MAX_IMAGES) return;
    this.byImage.set(key, average(known, ranMs));
  }

  /** The expected run time of a task of the step. */
  expectedMs(step: StepState): number {
    const known = this.bySteps.get(step) ?? this.byImage.get(imageKey(step));
    return known?.meanMs ?? step.spec.estimatedMs;
  }

  /** How many ended siblings the expectation rests on. */
  siblingCount(step: StepState): number {
    return this.bySteps.get(step)?.count ?? 0;
  }

  /** Expected time of the longest chain of steps that are not done yet. */
  chainMs(step: StepState): number {
    const {steps} = step.occurrence;
    const finish: number[] = [];
    for (const each of steps) {
      const isDone = each.doneCount === each.tasks.length;
      const before = each.spec.after.map(i => finish[i] ?? 0);
      const startMs = Math.max(0, ...before);
      finish.push(startMs + (isDone ? 0 : this.expectedMs(each)));
    }
    return Math.max(0, ...finish);
  }
}

function imageKey({spec, occurrence}: StepState): string {
  return `${occurrence.job.queue.name} ${spec.image}`;
}

function average(known: RunTime | undefined, ranMs: number): RunTime {
  if (known === undefined) return {meanMs: ranMs, count: 1};
  const meanMs = known.meanMs + (ranMs - known.meanMs) * NEW_RUN_WEIGHT;
  return {meanMs, count: known.count + 1};
}

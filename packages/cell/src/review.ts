/** What the owner looks at now and then: stragglers, leaving, disturbance. */
import type {Clock} from '@dragonflyward/common';
import type {CellState} from './cell-state.js';
import type {ExecutorState} from './executor-state.js';
import {taskName, type TaskState} from './job-state.js';
import {nextFillPercent} from './pacing.js';
import type {LogLine} from './platform.js';

/** A run that takes this many times what was expected stands still. */
const STRAGGLER_FACTOR = 2.5;
/** Added to that, in ms, for short tasks. */
const STRAGGLER_SLACK_MS = 600;
/** Each stop lets the next run take this many times longer. */
const STRAGGLER_GROWTH = 3;
/** Pause of an executor on which a run stood still, in ms. */
const STRAGGLER_PAUSE_MS = 2000;
/** Least time between two changes of the pace on an executor, in ms. */
const PACE_GAP_MS = 400;
/** Time that a task needs to stop before its executor leaves, in ms. */
const LEAVE_MARGIN_MS = 1200;

/** Looks over running work; called every tick. */
export class Review {
  private readonly pacedMs = new WeakMap<ExecutorState, number>();
  private readonly leaveMs = new WeakMap<ExecutorState, number>();

  constructor(
    private readonly state: CellState,
    private readonly clock: Clock,
    private readonly log: LogLine,
    private readonly setPace: (task: TaskState, percent: number) => void,
  ) {}

  /** One look at all executors. */
  run(): void {
    const nowMs = this.clock.monotonicMs();
    for (const executor of this.state.executors.values()) {
      if (executor.tasks.size === 0 || executor.missed > 0) continue;
      this.findStragglers(executor, nowMs);
      this.adjustPace(executor, nowMs);
      if (executor.info.isDraining) this.empty(executor, nowMs);
    }
  }

  /** An executor has said that it will leave. */
  leave(executor: ExecutorState): void {
    const nowMs = this.clock.monotonicMs();
    const remainingMs = Math.max(0, executor.info.drainRemainingMs);
    this.leaveMs.set(executor, nowMs + remainingMs);
    this.empty(executor, nowMs);
  }

  /** Stops what would be lost with the executor and can go on elsewhere. */
  private empty(executor: ExecutorState, nowMs: number): void {
    const leftMs = (this.leaveMs.get(executor) ?? Infinity) - nowMs;
    for (const task of [...executor.tasks]) {
      if (task.phase !== 'running') continue;
      const {isService, savesProgress, isGang} = task.step.spec;
      const isLast = savesProgress && !isGang && leftMs < LEAVE_MARGIN_MS;
      if (!isService && !isLast) continue;
      this.log('runMoved', {
        task: taskName(task),
        executorId: executor.info.id,
      });
      this.state.stopTask(task);
    }
  }

  private findStragglers(executor: ExecutorState, nowMs: number): void {
    for (const task of [...executor.tasks]) {
      if (!this.isStraggler(task, nowMs)) continue;
      this.log('runTooLong', {
        task: taskName(task),
        executorId: executor.info.id,
        ranMs: Math.round(nowMs - task.startedMs),
        expectedMs: Math.round(this.state.estimates.expectedMs(task.step)),
      });
      executor.avoidUntilMs = nowMs + STRAGGLER_PAUSE_MS;
      task.slowStops += 1;
      this.state.stopTask(task);
    }
  }

  private isStraggler(task: TaskState, nowMs: number): boolean {
    const {phase, step, percent, startedMs} = task;
    const {isService, isGang, isFiller} = step.spec;
    if (phase !== 'running' || isService || isGang || isFiller) return false;
    if (percent < 100 || task.checkpoint !== '') return false;
    if (this.state.estimates.siblingCount(step) === 0) return false;
    const expectedMs = this.state.estimates.expectedMs(step);
    const growth = STRAGGLER_GROWTH ** task.slowStops;
    const boundMs =
      growth * (STRAGGLER_FACTOR * expectedMs + STRAGGLER_SLACK_MS);
    return nowMs - startedMs > boundMs;
  }

  private adjustPace(executor: ExecutorState, nowMs: number): void {
    const ratio = worstRatio(executor);
    if (ratio === null && executor.fillPercent === 100) return;
    const lastMs = this.pacedMs.get(executor) ?? -Infinity;
    if (nowMs - lastMs >= PACE_GAP_MS) {
      this.pacedMs.set(executor, nowMs);
      executor.fillPercent = nextFillPercent(executor.fillPercent, ratio ?? 0);
    }
    for (const task of executor.tasks) {
      const {phase, step, percent} = task;
      if (phase !== 'running' || !step.spec.isFiller) continue;
      if (percent !== executor.fillPercent) {
        this.setPace(task, executor.fillPercent);
      }
    }
  }
}

/** The worst tail latency against its target; null without such tasks. */
function worstRatio({tasks}: ExecutorState): number | null {
  let worst: number | null = null;
  for (const {step, usage, phase} of tasks) {
    const {targetMs, isService} = step.spec;
    if (targetMs === 0 || !isService || phase !== 'running') continue;
    if (Number.isNaN(usage)) continue;
    worst = Math.max(worst ?? 0, usage / targetMs);
  }
  return worst;
}

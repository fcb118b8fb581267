/** Periodic checks of running work: stragglers, drains and interference. */
import type {Clock} from '@dragonflyward/common';
import type {CellState} from './cell-state.js';
import type {ExecutorState} from './executor-state.js';
import {taskName, type TaskState} from './job-state.js';
import {nextFillerPercent} from './filler-throttle.js';
import type {LogFunction} from './platform.js';

/** A run that takes this many times its expected time is a straggler. */
const STRAGGLER_FACTOR = 2.5;
/** Added to that bound, in ms, for the sake of short tasks. */
const STRAGGLER_SLACK_MS = 600;
/** Factor by which the bound grows after each straggler stop of a task. */
const STRAGGLER_GROWTH = 3;
/** How long an executor gets no new tasks after a straggler, in ms. */
const STRAGGLER_AVOID_MS = 2000;
/** Minimum time between two changes of the filler percentage, in ms. */
const THROTTLE_CHANGE_INTERVAL_MS = 400;
/** Time allowed for stopping a task before its executor shuts down, in ms. */
const SHUTDOWN_MARGIN_MS = 1200;

/** Checks running work and stops or throttles tasks where needed. */
export class RuntimeMonitor {
  private readonly lastThrottleChangeMs = new WeakMap<ExecutorState, number>();
  private readonly shutdownAtMs = new WeakMap<ExecutorState, number>();

  constructor(
    private readonly state: CellState,
    private readonly clock: Clock,
    private readonly log: LogFunction,
    private readonly limitCpu: (task: TaskState, percent: number) => void,
  ) {}

  /** Checks all executors; called on every tick. */
  checkExecutors(): void {
    const nowMs = this.clock.monotonicMs();
    for (const executor of this.state.executors.values()) {
      if (executor.tasks.size === 0 || executor.missedRenewals > 0) continue;
      this.stopStragglers(executor, nowMs);
      this.adjustFillerPercent(executor, nowMs);
      if (executor.info.isDraining) this.evacuate(executor, nowMs);
    }
  }

  /** Records that an executor is draining and moves its tasks away. */
  drainExecutor(executor: ExecutorState): void {
    const nowMs = this.clock.monotonicMs();
    const remainingMs = Math.max(0, executor.info.drainRemainingMs);
    this.shutdownAtMs.set(executor, nowMs + remainingMs);
    this.evacuate(executor, nowMs);
  }

  /**
   * Stops tasks that can go on elsewhere: service tasks at once, tasks that
   * save their progress shortly before the executor shuts down.
   */
  private evacuate(executor: ExecutorState, nowMs: number): void {
    const leftMs = (this.shutdownAtMs.get(executor) ?? Infinity) - nowMs;
    for (const task of [...executor.tasks]) {
      if (task.phase !== 'running') continue;
      const {isService, savesProgress, isGang} = task.step.spec;
      const isDueToStop =
        savesProgress && !isGang && leftMs < SHUTDOWN_MARGIN_MS;
      if (!isService && !isDueToStop) continue;
      this.log('runMoved', {
        task: taskName(task),
        executorId: executor.info.id,
      });
      this.state.stopTask(task);
    }
  }

  private stopStragglers(executor: ExecutorState, nowMs: number): void {
    for (const task of [...executor.tasks]) {
      if (!this.isStraggler(task, nowMs)) continue;
      this.log('runTooLong', {
        task: taskName(task),
        executorId: executor.info.id,
        ranMs: Math.round(nowMs - task.startedMs),
        expectedMs: Math.round(this.state.estimates.expectedMs(task.step)),
      });
      executor.avoidUntilMs = nowMs + STRAGGLER_AVOID_MS;
      task.stragglerStops += 1;
      this.state.stopTask(task);
    }
  }

  private isStraggler(task: TaskState, nowMs: number): boolean {
    const {phase, step, percent, startedMs} = task;
    const {isService, isGang, isFiller} = step.spec;
    if (phase !== 'running' || isService || isGang || isFiller) return false;
    if (percent < 100 || task.checkpoint !== '') return false;
    if (this.state.estimates.completedCount(step) === 0) return false;
    const expectedMs = this.state.estimates.expectedMs(step);
    const growth = STRAGGLER_GROWTH ** task.stragglerStops;
    const boundMs =
      growth * (STRAGGLER_FACTOR * expectedMs + STRAGGLER_SLACK_MS);
    return nowMs - startedMs > boundMs;
  }

  private adjustFillerPercent(executor: ExecutorState, nowMs: number): void {
    this.updateFillerPercent(executor, nowMs);
    for (const task of executor.tasks) {
      const {phase, step, percent} = task;
      if (phase !== 'running' || !step.spec.isFiller) continue;
      if (percent !== executor.fillerPercent) {
        this.limitCpu(task, executor.fillerPercent);
      }
    }
  }

  private updateFillerPercent(executor: ExecutorState, nowMs: number): void {
    const latencyRatio = worstLatencyRatio(executor);
    if (latencyRatio === null && executor.fillerPercent === 100) return;
    const lastMs = this.lastThrottleChangeMs.get(executor) ?? -Infinity;
    if (nowMs - lastMs < THROTTLE_CHANGE_INTERVAL_MS) return;
    this.lastThrottleChangeMs.set(executor, nowMs);
    executor.fillerPercent = nextFillerPercent(
      executor.fillerPercent,
      latencyRatio ?? 0,
    );
  }
}

/** The highest ratio of tail latency to target; null without such tasks. */
function worstLatencyRatio({tasks}: ExecutorState): number | null {
  let worst: number | null = null;
  for (const {step, usage, phase} of tasks) {
    const {targetMs, isService} = step.spec;
    if (targetMs === 0 || !isService || phase !== 'running') continue;
    if (Number.isNaN(usage)) continue;
    worst = Math.max(worst ?? 0, usage / targetMs);
  }
  return worst;
}

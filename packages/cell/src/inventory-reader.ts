/** Applies an executor's inventories to the owner's state. */
import {runsLostBy, type LostRun} from './crash-suspects.js';
import type {EndedRun, Inventory} from './executor-client.js';
import {
  hasClockBegunAnew,
  recordClock,
  type ExecutorState,
} from './executor-state.js';
import type {ExecutorHost} from './executor-loop.js';
import {taskName, type TaskState} from './job-state.js';
import {logEnds} from './run-lines.js';

/** Maximum number of ends in one inventory; set by the platform. */
const MAX_LISTED_ENDS = 500;

/** Applies the inventories of one executor. */
export class InventoryReader {
  constructor(
    private readonly executor: ExecutorState,
    private readonly host: ExecutorHost,
  ) {}

  /**
   * Applies the running and ended runs of an inventory.
   *
   * @param sentMs when the inventory was requested
   * @returns whether a run ended, or this is the executor's first inventory
   */
  apply(inventory: Inventory, sentMs: number): boolean {
    const {executor, host} = this;
    const nowMs = host.clock.monotonicMs();
    // An executor that does not report its start time counts as never
    // restarted.
    const bornMs = inventory.bornMs === 0 ? executor.bornMs : inventory.bornMs;
    const isOther =
      bornMs !== executor.bornMs ||
      hasClockBegunAnew(executor, inventory.clockMs, sentMs);
    const lost = this.takeLostRuns(bornMs, isOther, sentMs);
    if (isOther) {
      host.writeLog('executorRestarted', {
        executorId: executor.info.id,
        bornMs,
      });
      if (executor.isReached) {
        executor.endedProcesses.add(executor.bornMs, nowMs);
      }
      host.state.recordRestart(executor, bornMs, sentMs);
    }
    executor.endedProcesses.delete(bornMs);
    host.state.recordCrash(executor, lost, nowMs);
    if (executor.missedRenewals > 0) {
      host.writeLog('executorReachable', {executorId: executor.info.id});
    }
    executor.missedRenewals = 0;
    const wasReached = executor.isReached;
    executor.isReached = true;
    const formerLeaseMs = host.formerOwnerRuns.leaseLeftMs(executor, sentMs);
    executor.formerLeaseUntilMs = Math.max(
      executor.formerLeaseUntilMs,
      formerLeaseMs > 0 ? inventory.clockMs + formerLeaseMs : 0,
    );
    const wasAwaited = host.formerOwnerRuns.recordAnswer(executor, sentMs);
    recordClock(executor, inventory.clockMs, nowMs);
    const hasNewEnds = this.applyEnds(inventory, nowMs);
    this.applyRuns(inventory, sentMs, nowMs);
    if (hasNewEnds || !wasReached || wasAwaited) host.onChange(executor);
    return hasNewEnds || !wasReached;
  }

  /**
   * The runs that were lost.
   *
   * @param bornMs start time of the process that has answered
   * @param isOther whether it is another one than the known one
   */
  private takeLostRuns(
    bornMs: number,
    isOther: boolean,
    sentMs: number,
  ): readonly LostRun[] {
    const {executor} = this;
    const {expired, hasDrained, isReached} = executor;
    executor.expired = null;
    executor.hasRefused = false;
    const isExpired = expired !== null && expired.bornMs !== bornMs;
    const {crashes} = this.host.state;
    const gone = isReached ? [] : crashes.takeGone(executor, bornMs);
    const earlier = isExpired ? [...gone, ...expired.runs] : gone;
    if (!isOther || hasDrained) return earlier;
    return [...earlier, ...runsLostBy(executor, sentMs)];
  }

  private applyEnds({ended}: Inventory, nowMs: number): boolean {
    const {executor, host} = this;
    const newEnds: EndedRun[] = [];
    for (const end of ended) {
      if (end.number <= executor.processedThrough) continue;
      executor.processedThrough = end.number;
      newEnds.push(end);
    }
    logEnds(executor.info.id, newEnds, host.writeLog);
    for (const end of newEnds) host.state.recordEnd(executor, end, nowMs);
    return newEnds.length > 0;
  }

  private applyRuns(
    {running, ended}: Inventory,
    sentMs: number,
    nowMs: number,
  ): void {
    const {executor, host} = this;
    const listed = new Set<string>();
    for (const {task: name, run, checkpoint, percent, usage} of running) {
      listed.add(`${name}#${run}`);
      const task = host.state.findTaskByName(name);
      if (task?.executor === executor && isSameRun(task, run, sentMs)) {
        task.run = run;
        task.listedMs = sentMs;
        this.updateRun(task, checkpoint, percent, usage, nowMs);
      } else if (task !== undefined && mayAdopt(task, run)) {
        host.state.adoptRun(executor, task, run, nowMs);
        task.listedMs = sentMs;
        this.updateRun(task, checkpoint, percent, usage, nowMs);
        host.writeLog('runAdopted', {
          task: name,
          run,
          executorId: executor.info.id,
        });
      } else {
        if (task !== undefined && isUnwanted(task, run)) task.listedMs = sentMs;
        host.state.recordOrphan(executor, name, run);
      }
    }
    // If the list of ends is truncated, a missing run may have ended.
    if (ended.length >= MAX_LISTED_ENDS) return;
    this.handleMissingRuns(listed, sentMs);
  }

  private updateRun(
    task: TaskState,
    checkpoint: string,
    percent: number,
    usage: number,
    nowMs: number,
  ): void {
    this.host.state.recordTaskStarted(task, nowMs);
    task.percent = percent;
    task.usage = usage;
    this.host.state.recordCheckpoint(task, checkpoint);
  }

  private handleMissingRuns(listed: ReadonlySet<string>, sentMs: number): void {
    const {executor, host} = this;
    for (const {task, run} of [...executor.orphans.values()]) {
      if (!listed.has(`${task}#${run}`)) {
        host.state.dropOrphan(executor, task, run);
      }
    }
    for (const task of [...executor.tasks]) {
      if (listed.has(`${taskName(task)}#${task.run}`)) continue;
      if (task.answeredMs >= sentMs) continue;
      if (task.phase === 'starting') {
        host.state.stopTask(task);
        continue;
      }
      host.writeLog('runMissing', {
        task: taskName(task),
        run: task.run,
        phase: task.phase,
        executorId: executor.info.id,
      });
      host.state.requeue(task);
      host.onChange(executor);
    }
  }
}

/** Whether the run is the known one, or made the executor refuse that one. */
function isSameRun(task: TaskState, run: number, sentMs: number): boolean {
  if (task.run === run) return true;
  return task.phase === 'starting' && task.answeredMs < sentMs;
}

function mayAdopt(task: TaskState, run: number): boolean {
  const {job} = task.step.occurrence;
  const isOpen = job.phase === 'queued' || job.phase === 'running';
  return isOpen && task.phase === 'waiting' && run >= task.run;
}

/** Whether it is the newest run of a task that is not wanted any more. */
function isUnwanted(task: TaskState, run: number): boolean {
  return task.phase === 'waiting' && run >= task.run;
}

/** Takes the lists of an executor into the owner's state. */
import type {Inventory} from './executor-client.js';
import {noteClock, type ExecutorState} from './executor-state.js';
import type {ExecutorHost} from './executor-task.js';
import {taskName, type TaskState} from './job-state.js';

/** The longest lease that executors grant, in ms; stated by the platform. */
export const MAX_LEASE_MS = 10_000;
/** Ends that one answer lists at most; stated by the platform. */
const MAX_LISTED_ENDS = 500;

/** Reads the lists of one executor. */
export class InventoryReader {
  constructor(
    private readonly executor: ExecutorState,
    private readonly host: ExecutorHost,
  ) {}

  /**
   * Takes in what runs and what ended.
   *
   * @param sentMs when the list was asked for
   * @returns whether there was news
   */
  take(inventory: Inventory, sentMs: number): boolean {
    const {executor, host} = this;
    const nowMs = host.clock.monotonicMs();
    // An executor that does not say when it started has one life.
    const bornMs = inventory.bornMs === 0 ? executor.bornMs : inventory.bornMs;
    if (bornMs !== executor.bornMs) {
      host.onLine('executorReborn', {executorId: executor.info.id, bornMs});
      host.state.startNewLife(executor, bornMs, sentMs);
      // Orders that name the old life's clock are cut to the longest lease.
      executor.leaseUntilMs = inventory.clockMs + MAX_LEASE_MS;
    }
    if (executor.missed > 0) {
      host.onLine('executorBack', {executorId: executor.info.id});
    }
    executor.missed = 0;
    const wasReached = executor.isReached;
    executor.isReached = true;
    noteClock(executor, inventory.clockMs, nowMs);
    const hadEnds = this.takeEnds(inventory, nowMs);
    this.takeRuns(inventory, sentMs, nowMs);
    if (hadEnds || !wasReached) host.onChange(executor);
    return hadEnds || !wasReached;
  }

  private takeEnds({ended}: Inventory, nowMs: number): boolean {
    const {executor, host} = this;
    let hadEnds = false;
    for (const end of ended) {
      if (end.number <= executor.processedThrough) continue;
      executor.processedThrough = end.number;
      host.state.noteEnd(executor, end, nowMs);
      host.onLine('runEnded', {
        task: end.task,
        run: end.run,
        how: end.how,
        executorId: executor.info.id,
      });
      hadEnds = true;
    }
    return hadEnds;
  }

  private takeRuns(
    {running, ended}: Inventory,
    sentMs: number,
    nowMs: number,
  ): void {
    const {executor, host} = this;
    const listed = new Set<string>();
    for (const {task: name, run, checkpoint, percent, usage} of running) {
      listed.add(`${name}#${run}`);
      const task = host.state.taskNamed(name);
      if (task?.executor === executor && isSameRun(task, run, sentMs)) {
        task.run = run;
        this.noteRunning(task, checkpoint, percent, usage, nowMs);
      } else if (task !== undefined && mayAdopt(task, run)) {
        host.state.adoptRun(executor, task, run, nowMs);
        this.noteRunning(task, checkpoint, percent, usage, nowMs);
        host.onLine('runAdopted', {
          task: name,
          run,
          executorId: executor.info.id,
        });
      } else {
        host.state.noteStray(executor, name, run);
      }
    }
    // A list of ends that is cut off says nothing about what is missing.
    if (ended.length >= MAX_LISTED_ENDS) return;
    this.noteMissing(listed, sentMs);
  }

  private noteRunning(
    task: TaskState,
    checkpoint: string,
    percent: number,
    usage: number,
    nowMs: number,
  ): void {
    if (task.phase === 'starting') {
      task.phase = 'running';
      task.answeredMs = nowMs;
    }
    task.percent = percent;
    task.usage = usage;
    this.host.state.noteCheckpoint(task, checkpoint);
  }

  private noteMissing(listed: ReadonlySet<string>, sentMs: number): void {
    const {executor, host} = this;
    for (const {task, run} of [...executor.strays.values()]) {
      if (!listed.has(`${task}#${run}`)) {
        host.state.dropStray(executor, task, run);
      }
    }
    for (const task of [...executor.tasks]) {
      if (listed.has(`${taskName(task)}#${task.run}`)) continue;
      if (task.answeredMs >= sentMs) continue;
      if (task.phase === 'starting') {
        host.state.stopTask(task);
        continue;
      }
      host.onLine('runMissing', {
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

/** The run that is known, or one in whose favour the known was refused. */
function isSameRun(task: TaskState, run: number, sentMs: number): boolean {
  if (task.run === run) return true;
  return task.phase === 'starting' && task.answeredMs < sentMs;
}

function mayAdopt(task: TaskState, run: number): boolean {
  const {job} = task.step.occurrence;
  const isOpen = job.phase === 'queued' || job.phase === 'running';
  return isOpen && task.phase === 'waiting' && run >= task.run;
}

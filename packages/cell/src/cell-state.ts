/** The owner's in-memory state and its transitions; does no I/O. */
import {
  CrashSuspects,
  hasStartedWell,
  isSuspect,
  type Crash,
  type LostRun,
} from './crash-suspects.js';
import {coldUntilMs, type ClosedDomains} from './evacuation/index.js';
import type {EndedRun} from './executor-client.js';
import {
  addOrphan,
  newExecutorState,
  placeTask,
  removeOrphan,
  removeTask,
  type ExecutorState,
  type OrphanRun,
} from './executor-state.js';
import {
  recordCompletedRun,
  recordFailedRun,
} from './failing-executors/index.js';
import {setRecent} from './recent-entries.js';
import {maxAmounts} from './resource-amounts.js';
import {RunTimeEstimates} from './run-time-estimates.js';
import {
  findTask,
  hasTask,
  isOver,
  isServiceStored,
  isStepReady,
  markDone,
  newDoneTask,
  newJobState,
  parseTaskName,
  tasksOf,
  type JobState,
  type NewJob,
  type OccurrenceState,
  type StepState,
  type TaskState,
} from './job-state.js';
import {specBytes} from './job-size.js';
import {applyProgress} from './records.js';
import {OccurrenceWindow} from './occurrence-window.js';
import {OrganisationTable} from './organisations.js';
import type {ServiceCapacity} from './service-capacity.js';
import {StepOrder} from './step-order.js';
import {isFinal, type CellConfig, type ExecutorInfo} from './types.js';

/** Run numbers reserved for each term of ownership, per task. */
const RUNS_PER_TERM = 1000;
/** First delay before a failed service task is restarted, in ms. */
const SERVICE_BACKOFF_MS = 100;
/** Longest delay before a failed service task is restarted, in ms. */
const MAX_SERVICE_BACKOFF_MS = 1600;
/**
 * The failed runs of a service task that are kept, the newest ones. They have
 * no limit, and the record that stores them has.
 */
const MAX_SERVICE_FAILURES = 8;
/** Weight of the newest run in the moving average of slowness. */
const SLOWNESS_WEIGHT = 0.3;

/** Receives changes that have to be stored, published or sent. */
export interface CellListener {
  /** The job's progress has to be stored. */
  readonly onProgress: (job: JobState) => void;
  /** The job's visible phase changed, or changes once a final one is stored. */
  readonly onPhaseChange: (job: JobState) => void;
  /** A run has to be stopped. */
  readonly onStop: (task: TaskState) => void;
  /** An orphan run, one that belongs to no placed task, has to be stopped. */
  readonly onOrphan: (
    executor: ExecutorState,
    task: string,
    run: number,
  ) => void;
  /** An executor crashed with runs of tasks; called before any is given up. */
  readonly onCrash: (crash: Crash) => void;
}

/** Jobs, executors and the resource usage of organisations. */
export class CellState {
  readonly jobs = new Map<string, JobState>();
  readonly executors = new Map<string, ExecutorState>();
  readonly organisations = new OrganisationTable();
  readonly crashes = new CrashSuspects();
  readonly estimates = new RunTimeEstimates();
  /** Steps that may have waiting tasks. */
  readonly pendingSteps = new Set<StepState>();
  readonly order = new StepOrder();
  /** Of steps that will soon wait no more for runs of a former owner. */
  readonly endingOrder = new StepOrder();
  /** Free capacity of each service in the newest round, less later starts. */
  services: ReadonlyMap<string, ServiceCapacity> = new Map();
  private readonly window = new OccurrenceWindow();
  config: CellConfig | null = null;
  private closedDomains: Pick<ClosedDomains, 'has'> | null = null;
  /** Ids of jobs that were cancelled before they were added. */
  private readonly earlyCancels = new Set<string>();
  /** The newest of those that only a notice has named. */
  private readonly notifiedCancels = new Map<string, true>();

  constructor(
    readonly term: number,
    private readonly listener: CellListener,
  ) {}

  /** Applies a configuration; each job gets the new queue of the same name. */
  setConfig(config: CellConfig): void {
    this.config = config;
    this.order.invalidate();
    this.endingOrder.invalidate();
    this.organisations.setConfig(config);
    const byName = new Map(config.queues.map(queue => [queue.name, queue]));
    for (const job of this.jobs.values()) {
      job.queue = byName.get(job.queue.name) ?? job.queue;
      this.storeService(job);
    }
  }

  /** Tasks of the job start once its service is stored with its progress. */
  private storeService(job: JobState): void {
    if (isFinal(job.phase) || isServiceStored(job)) return;
    this.listener.onProgress(job);
  }

  /** Adds an accepted job; idempotent by job id. */
  addJob(job: NewJob): JobState {
    const known = this.jobs.get(job.id);
    if (known !== undefined) return known;
    const state = newJobState(job);
    const {queues} = this.config ?? {queues: []};
    const queue = queues.find(({name}) => name === job.queue.name);
    if (queue !== undefined) state.queue = queue;
    state.isOverRate = this.organisations.countJob(state);
    this.jobs.set(job.id, state);
    this.storeService(state);
    this.countEarlierOrphans(state);
    const isNotified = this.notifiedCancels.delete(job.id);
    const isCancelled = this.earlyCancels.delete(job.id) || isNotified;
    if (isCancelled) this.cancelJob(job.id);
    else this.openFirst(state);
    return state;
  }

  /** Takes the occurrences into memory that are due or nearly due. */
  openDue(wallMs: number): void {
    for (const each of this.window.openDue(wallMs)) this.addPendingSteps(each);
  }

  /** Opens what has no time. The others wait for the next round. */
  private openFirst(job: JobState): void {
    this.window.add(job);
    if (job.spec.repetition.firstMs > 0) return;
    for (const each of this.window.openDueOf(job, 0)) {
      this.addPendingSteps(each);
    }
  }

  /**
   * Applies stored progress, which may be for occurrences that are not in
   * memory; those that are over are dropped again.
   */
  restoreProgress(job: JobState, value: Uint8Array): void {
    if (isFinal(job.phase)) return;
    applyProgress(job, value, index => this.openOccurrence(job, index));
    this.crashes.isActive ||= [...tasksOf(job)].some(isSuspect);
    if (isFinal(job.phase)) {
      job.bytes = specBytes(job.spec);
      this.removePendingSteps(job);
    }
    for (const each of [...job.occurrences.values()]) this.closeIfOver(each);
  }

  private openOccurrence(job: JobState, index: number): OccurrenceState {
    const known = job.occurrences.get(index);
    if (known !== undefined) return known;
    const occurrence = this.window.open(job, index);
    this.addPendingSteps(occurrence);
    return occurrence;
  }

  /** Drops an occurrence that is over, with its steps. */
  private closeIfOver(occurrence: OccurrenceState): void {
    const {job, index, placedTasks} = occurrence;
    if (placedTasks > 0 || !isOver(job, index)) return;
    for (const step of occurrence.steps) this.pendingSteps.delete(step);
    this.window.close(occurrence);
  }

  /** Adds the unfinished steps of an occurrence to the pending steps. */
  private addPendingSteps(occurrence: OccurrenceState): void {
    if (isFinal(occurrence.job.phase)) return;
    for (const step of occurrence.steps) {
      if (step.doneCount < step.tasks.length) this.pendingSteps.add(step);
    }
    this.order.markOccurrenceChanged(occurrence);
  }

  /** Removes the steps of a job from the pending steps. */
  private removePendingSteps(job: JobState): void {
    for (const {steps} of job.occurrences.values()) {
      for (const step of steps) this.pendingSteps.delete(step);
    }
  }

  /** Cancels a job; one that is not known yet is cancelled when it is added. */
  cancelJob(id: string): void {
    const job = this.jobs.get(id);
    if (job === undefined) {
      this.earlyCancels.add(id);
      return;
    }
    if (!isFinal(job.phase)) this.finish(job, 'cancelled');
  }

  /**
   * Cancels a job that a notice names. Of those that are not known yet, only the
   * newest are remembered: each cancel is stored and read from there later.
   */
  cancelNotified(id: string): void {
    if (this.jobs.has(id)) return this.cancelJob(id);
    setRecent(this.notifiedCancels, id, true);
  }

  /** Removes a job that has ended and has no placed tasks. */
  removeJob(id: string): void {
    const job = this.jobs.get(id);
    if (job === undefined || !isFinal(job.phase)) return;
    for (const task of tasksOf(job)) if (task.executor !== null) return;
    this.window.remove(job);
    this.jobs.delete(id);
  }

  /** Yields the steps whose dependencies and start time allow a start. */
  *readySteps(wallMs: number): Generator<StepState> {
    for (const step of this.pendingSteps) {
      if (step.doneCount === step.tasks.length) this.pendingSteps.delete(step);
      else if (isStepReady(step, wallMs)) yield step;
    }
  }

  /** Sets the failure domains in which no task may start. */
  setClosedDomains(domains: Pick<ClosedDomains, 'has'>): void {
    this.closedDomains = domains;
    for (const executor of this.executors.values()) {
      executor.isDomainClosed = domains.has(executor.info.domain);
    }
  }

  /** Whether no task may start in the failure domain. */
  isDomainClosed(domain: string): boolean {
    return this.closedDomains?.has(domain) ?? false;
  }

  /**
   * Adds an executor or updates its description. Records come in the order of
   * the store; a late one of a process that has ended is passed over. A restart
   * is applied here only where the executor has no tasks; otherwise only its own
   * inventory shows whether they run in the old process or in the new one.
   *
   * @param nowMs when it described itself, on the owner's monotonic clock; if
   *     missing, long ago
   */
  setExecutor(info: ExecutorInfo, nowMs = -Infinity): ExecutorState {
    const known = this.executors.get(info.id);
    if (known === undefined) {
      const executor = newExecutorState(info);
      executor.coldUntilMs = coldUntilMs(info, nowMs);
      executor.isDomainClosed = this.isDomainClosed(info.domain);
      this.executors.set(info.id, executor);
      return executor;
    }
    const {bornMs} = info;
    const isOther = bornMs !== 0 && bornMs !== known.bornMs;
    if (isOther) known.otherRecordReadMs = nowMs;
    if (isOther && known.endedProcesses.has(bornMs, nowMs)) return known;
    if (bornMs !== known.info.bornMs) {
      known.endedProcesses.add(known.info.bornMs, nowMs);
    }
    if (bornMs === known.bornMs) known.hasDrained ||= info.isDraining;
    known.info = info;
    known.coldUntilMs = coldUntilMs(info, nowMs);
    known.isDomainClosed = this.isDomainClosed(info.domain);
    known.largestCapacity = maxAmounts(known.largestCapacity, info.capacity);
    known.isListed = true;
    const isIdle = known.tasks.size === 0 && known.orphans.size === 0;
    if (isIdle && isOther) this.recordRestart(known, bornMs, Infinity);
    return known;
  }

  /**
   * Resets the state of an executor that has restarted and lost all its runs.
   * Starts that were not answered before its inventory was requested may
   * belong to the new process; they stay until a later inventory shows it, and
   * those that will not be answered until they are stopped.
   *
   * @param requestedMs when the inventory that showed the restart was requested
   */
  recordRestart(
    executor: ExecutorState,
    bornMs: number,
    requestedMs: number,
  ): void {
    for (const task of [...executor.tasks]) {
      const mayStartLate = task.phase === 'starting' && task.isStartUnconfirmed;
      if (task.answeredMs < requestedMs && !mayStartLate) this.requeue(task);
    }
    this.dropOrphans(executor);
    // Without its clock no lease can be given there, and none counts as over.
    executor.isReached = false;
    executor.bornMs = bornMs;
    executor.hasDrained = executor.info.isDraining;
    executor.clockMs = Number.NaN;
    executor.leaseUntilMs = 0;
    executor.formerLeaseUntilMs = 0;
    executor.processedThrough = 0;
    executor.ackedThrough = 0;
    executor.fillerPercent = 100;
    executor.missedRenewals = 0;
    for (const step of this.pendingSteps) step.tickets.delete(executor.info.id);
  }

  /**
   * Records the crash of an executor that has started again and has lost runs,
   * and gives up the jobs of tasks that crash executor after executor.
   */
  recordCrash(
    executor: ExecutorState,
    runs: readonly LostRun[],
    nowMs: number,
  ): void {
    if (runs.length === 0) return;
    const crash = this.crashes.record(executor, runs, nowMs);
    this.listener.onCrash(crash);
    const jobs = new Set(crash.runs.map(({task}) => task.step.occurrence.job));
    for (const job of jobs) this.listener.onProgress(job);
    for (const {step} of crash.givenUp) {
      const {job} = step.occurrence;
      if (!isFinal(job.phase)) this.finish(job, 'failed');
    }
  }

  /** Requeues all tasks of an executor on which nothing runs any more. */
  requeueAll(executor: ExecutorState): void {
    for (const task of [...executor.tasks]) this.requeue(task);
    this.dropOrphans(executor);
  }

  private dropOrphans(executor: ExecutorState): void {
    for (const {task, run} of [...executor.orphans.values()]) {
      this.dropOrphan(executor, task, run);
    }
  }

  /** Marks a task as starting on an executor under a new run number. */
  startTask(
    task: TaskState,
    executor: ExecutorState,
    run: number,
    nowMs: number,
  ): void {
    task.phase = 'starting';
    task.run = run;
    task.isStartedHere = true;
    task.startedMs = nowMs;
    task.answeredMs = Infinity;
    task.isStartUnconfirmed = false;
    task.percent = 100;
    if (isSuspect(task)) this.crashes.watchStart(task);
    this.place(task, executor);
  }

  /**
   * Records that an executor has answered a start or lists the run. Where the
   * run is being stopped by now, the answer to the stop counts.
   */
  recordTaskStarted(task: TaskState, nowMs: number): void {
    this.recordJobStarted(task.step.occurrence.job);
    if (task.phase !== 'starting') return;
    task.phase = 'running';
    task.answeredMs = nowMs;
  }

  /**
   * Records that an executor has started a task of the job, whatever has become
   * of that run since. A start that was only decided may still be refused.
   */
  recordJobStarted(job: JobState): void {
    if (job.phase !== 'queued') return;
    job.phase = 'running';
    job.visiblePhase = 'running';
    this.listener.onPhaseChange(job);
  }

  /** The lowest run number that this owner gives. */
  private get firstRun(): number {
    return (this.term - 1) * RUNS_PER_TERM + 1;
  }

  /** Computes a run number above all that the tasks have used so far. */
  nextRun(tasks: readonly TaskState[]): number {
    return tasks.reduce((max, {run}) => Math.max(max, run + 1), this.firstRun);
  }

  /** Adopts a run that an executor lists and that was not known here. */
  adoptRun(
    executor: ExecutorState,
    task: TaskState,
    run: number,
    nowMs: number,
  ): void {
    task.run = run;
    task.phase = 'running';
    task.startedMs = Number.NaN;
    task.answeredMs = nowMs;
    if (isSuspect(task)) this.crashes.watchStart(task);
    this.place(task, executor);
    this.recordJobStarted(task.step.occurrence.job);
  }

  /**
   * Finds a task by the name that executors use for it, and takes its occurrence
   * into memory if something of it is left to do.
   *
   * @returns undefined if the job is not known or all of that is over
   */
  findTaskByName(name: string): TaskState | undefined {
    const address = parseTaskName(name);
    if (address === null) return undefined;
    const job = this.jobs.get(address.jobId);
    if (job === undefined || !hasTask(job, address)) return undefined;
    const {occurrence} = address;
    if (!isOver(job, occurrence)) this.openOccurrence(job, occurrence);
    return findTask(job, address);
  }

  /** Records an orphan run, which must be stopped and uses resources. */
  recordOrphan(executor: ExecutorState, name: string, run: number): void {
    if (executor.orphans.has(`${name}#${run}`)) return;
    this.countOrphan(executor, {task: name, run, isStopAnswered: false});
    this.listener.onOrphan(executor, name, run);
  }

  /** Removes an orphan run that has ended and frees its resources. */
  dropOrphan(executor: ExecutorState, name: string, run: number): void {
    const orphan = executor.orphans.get(`${name}#${run}`);
    if (orphan === undefined) return;
    removeOrphan(executor, orphan);
    if (orphan.countedFor !== null) this.addUsage(orphan.countedFor, -1);
  }

  /** Counts an orphan run for its task, where that is known. */
  private countOrphan(
    executor: ExecutorState,
    orphan: Omit<OrphanRun, 'countedFor'>,
  ): void {
    const countedFor = this.taskToCount(orphan.task);
    addOrphan(executor, {...orphan, countedFor});
    if (countedFor === null) return;
    this.addUsage(countedFor, 1);
    this.recordJobStarted(countedFor.step.occurrence.job);
  }

  /** Finds the task of a run that uses resources, also of one that is over. */
  private taskToCount(name: string): TaskState | null {
    const task = this.findTaskByName(name);
    if (task !== undefined) return task;
    const address = parseTaskName(name);
    const job = this.jobs.get(address?.jobId ?? '');
    if (address === null || job === undefined) return null;
    return hasTask(job, address) ? newDoneTask(job, address) : null;
  }

  /** Counts the orphan runs that were listed before their job was known. */
  private countEarlierOrphans(job: JobState): void {
    for (const executor of this.executors.values()) {
      for (const orphan of [...executor.orphans.values()]) {
        if (orphan.countedFor !== null) continue;
        if (parseTaskName(orphan.task)?.jobId !== job.id) continue;
        this.countOrphan(executor, orphan);
      }
    }
  }

  /** Stops a task that is starting or running. */
  stopTask(task: TaskState): void {
    if (task.phase !== 'running' && task.phase !== 'starting') return;
    task.phase = 'stopping';
    task.answeredMs = Infinity;
    this.listener.onStop(task);
  }

  /** Applies the end of a run that an executor lists. */
  recordEnd(executor: ExecutorState, end: EndedRun, nowMs: number): void {
    this.dropOrphan(executor, end.task, end.run);
    const task = this.findTaskByName(end.task);
    if (task === undefined) return;
    this.recordJobStarted(task.step.occurrence.job);
    const isCurrent = task.executor === executor && task.run === end.run;
    if (isCurrent) this.unplace(task);
    if (task.phase === 'done') return;
    if (end.how === 'done' || end.how === 'failed') this.crashes.clear(task);
    task.run = Math.max(task.run, end.run);
    if (end.how === 'done') {
      if (isCurrent) this.recordRunTime(executor, task, nowMs - task.startedMs);
      return this.recordCompletion(task);
    }
    this.recordCheckpoint(task, end.checkpoint);
    if (end.how === 'failed') this.recordFailure(executor, task, end, nowMs);
    if (!isCurrent) return;
    task.phase = 'waiting';
    this.markPending(task);
    if (task.step.spec.isGang) this.stopGang(task.step);
  }

  /** Requeues a task whose run is gone without a listed end. */
  requeue(task: TaskState): void {
    this.unplace(task);
    if (task.phase === 'done') return;
    task.phase = 'waiting';
    this.markPending(task);
    if (task.step.spec.isGang) this.stopGang(task.step);
  }

  /** Keeps the newest checkpoint; in a gang, one applies to all tasks. */
  recordCheckpoint(task: TaskState, checkpoint: string): void {
    if (checkpoint === '' || task.checkpoint === checkpoint) return;
    const {step} = task;
    if (!step.spec.isGang) task.checkpoint = checkpoint;
    else for (const each of step.tasks) each.checkpoint = checkpoint;
  }

  private recordCompletion(task: TaskState): void {
    const {step} = task;
    const {job} = step.occurrence;
    let isCompleted = false;
    const members = step.spec.isGang ? step.tasks : [task];
    // Another run of the task than the one that ended is needless.
    if (task.executor !== null) this.stopTask(task);
    for (const each of members) isCompleted = markDone(each) || isCompleted;
    if (isFinal(job.phase)) return;
    if (step.doneCount === step.tasks.length) {
      this.pendingSteps.delete(step);
      this.order.markOccurrenceChanged(step.occurrence);
    }
    this.listener.onProgress(job);
    if (isCompleted) this.finish(job, 'completed');
    else this.closeIfOver(step.occurrence);
  }

  /** Compares a run with completed tasks of its step to find slow executors. */
  private recordRunTime(
    executor: ExecutorState,
    task: TaskState,
    ranMs: number,
  ): void {
    const {step, percent, checkpoint} = task;
    recordCompletedRun(executor);
    if (Number.isNaN(ranMs) || step.spec.isService) return;
    if (percent < 100 || checkpoint !== '') return;
    if (this.estimates.completedCount(step) > 0) {
      const ratio = ranMs / Math.max(1, this.estimates.expectedMs(step));
      executor.slowness += (ratio - executor.slowness) * SLOWNESS_WEIGHT;
    }
    this.estimates.record(step, ranMs);
  }

  private recordFailure(
    executor: ExecutorState,
    task: TaskState,
    end: EndedRun,
    nowMs: number,
  ): void {
    const {step} = task;
    const {job} = step.occurrence;
    if (task.failedRuns.includes(end.run)) return;
    const failedRuns = [...task.failedRuns, end.run];
    task.failedRuns = step.spec.isService
      ? failedRuns.slice(-MAX_SERVICE_FAILURES)
      : failedRuns;
    task.lastFailedOn = executor.info.id;
    // A service task may fail at any time, also on a sound executor.
    const isExpected = step.spec.isService && hasStartedWell(task);
    if (!isExpected) recordFailedRun(executor, nowMs);
    if (step.spec.isGang && !step.failedGangRuns.includes(end.run)) {
      step.failedGangRuns = [...step.failedGangRuns, end.run];
    }
    if (step.spec.isService) {
      const delayMs = SERVICE_BACKOFF_MS * 2 ** (task.failedRuns.length - 1);
      task.notBeforeMs = nowMs + Math.min(MAX_SERVICE_BACKOFF_MS, delayMs);
    }
    if (isFinal(job.phase)) return;
    this.listener.onProgress(job);
    const failed = step.spec.isGang ? step.failedGangRuns : task.failedRuns;
    const isOutOfAttempts =
      failed.length >= job.queue.maxAttempts && !step.spec.isService;
    if (isOutOfAttempts) this.finish(job, 'failed');
  }

  private finish(
    job: JobState,
    phase: 'completed' | 'failed' | 'cancelled',
  ): void {
    job.phase = phase;
    job.bytes = specBytes(job.spec);
    this.removePendingSteps(job);
    for (const task of tasksOf(job)) this.stopTask(task);
    for (const each of [...job.occurrences.values()]) this.closeIfOver(each);
    this.listener.onProgress(job);
    this.listener.onPhaseChange(job);
  }

  private stopGang(step: StepState): void {
    if (step.doneCount === step.tasks.length) return;
    for (const task of step.tasks) this.stopTask(task);
  }

  private markPending({step}: TaskState): void {
    if (isFinal(step.occurrence.job.phase)) return;
    this.pendingSteps.add(step);
    this.order.markChanged(step);
  }

  private place(task: TaskState, executor: ExecutorState): void {
    placeTask(executor, task);
    task.step.occurrence.placedTasks += 1;
    this.addUsage(task, 1);
  }

  private unplace(task: TaskState): void {
    if (task.executor === null) return;
    removeTask(task);
    const {occurrence} = task.step;
    occurrence.placedTasks -= 1;
    this.addUsage(task, -1);
    this.closeIfOver(occurrence);
  }

  private addUsage({step}: TaskState, sign: 1 | -1): void {
    const {organisation} = step.occurrence.job;
    this.organisations.addUsage(organisation, step.spec.size, sign);
  }
}

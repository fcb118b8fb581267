/** All that the owner knows, and how it changes; nothing here does I/O. */
import type {ListedEnd} from './executor-client.js';
import {
  addStray,
  newExecutorState,
  placeTask,
  removeStray,
  removeTask,
  type ExecutorState,
} from './executor-state.js';
import {Estimates} from './estimates.js';
import {
  findTask,
  isStepReady,
  markDone,
  newJobState,
  parseTaskName,
  tasksOf,
  type JobState,
  type NewJob,
  type StepState,
  type TaskState,
} from './job-state.js';
import {OrganisationTable} from './organisations.js';
import {isFinal, type CellConfig, type ExecutorInfo} from './types.js';

/** Run numbers that one term may use for a task. */
const RUNS_PER_TERM = 1000;
/** Failures in a row after which an executor is left alone for a while. */
const BAD_EXECUTOR_FAILURES = 3;
/** First pause of an executor that fails what it starts, in ms. */
const BAD_EXECUTOR_PAUSE_MS = 2000;
/** First pause before a service task is started again, in ms. */
const SERVICE_BACKOFF_MS = 100;
/** Longest pause before a service task is started again, in ms. */
const MAX_SERVICE_BACKOFF_MS = 1600;
/** Weight of the newest run in an executor's slowness. */
const SLOWNESS_WEIGHT = 0.3;

/** Told of changes that others have to hear of. */
export interface CellListener {
  /** Progress that has to be stored. */
  readonly onDirty: (job: JobState) => void;
  /** The phase that callers see has changed, or has to be stored first. */
  readonly onPhase: (job: JobState) => void;
  /** A run has to be stopped. */
  readonly onStop: (task: TaskState) => void;
  /** A run that belongs to no placed task has to be stopped. */
  readonly onStray: (
    executor: ExecutorState,
    task: string,
    run: number,
  ) => void;
}

/** Jobs, executors and what the organisations use. */
export class CellState {
  readonly jobs = new Map<string, JobState>();
  readonly executors = new Map<string, ExecutorState>();
  readonly organisations = new OrganisationTable();
  readonly estimates = new Estimates();
  /** Steps that may have tasks to place. */
  readonly openSteps = new Set<StepState>();
  config: CellConfig | null = null;
  /** Cancels of jobs that are not known yet. */
  private readonly earlyCancels = new Set<string>();

  constructor(
    readonly term: number,
    private readonly listener: CellListener,
  ) {}

  /** Takes over a configuration; jobs follow their queue by its name. */
  setConfig(config: CellConfig): void {
    this.config = config;
    this.organisations.setConfig(config);
    const byName = new Map(config.queues.map(queue => [queue.name, queue]));
    for (const job of this.jobs.values()) {
      job.queue = byName.get(job.queue.name) ?? job.queue;
    }
  }

  /** Adds an accepted job; a repeat changes nothing. */
  addJob(job: NewJob): JobState {
    const known = this.jobs.get(job.id);
    if (known !== undefined) return known;
    const state = newJobState(job);
    const {queues} = this.config ?? {queues: []};
    const queue = queues.find(({name}) => name === job.queue.name);
    if (queue !== undefined) state.queue = queue;
    state.isExcess = this.organisations.noteJob(state);
    this.jobs.set(job.id, state);
    if (this.earlyCancels.delete(job.id)) this.cancelJob(job.id);
    else this.openJob(state);
    return state;
  }

  /** Puts the steps of a job whose turn may have come on the list. */
  openJob(job: JobState): void {
    if (isFinal(job.phase)) return;
    for (const {steps} of job.occurrences) {
      for (const step of steps) {
        if (step.doneCount < step.tasks.length) this.openSteps.add(step);
      }
    }
  }

  /** Takes the steps of a job off the list. */
  closeJob(job: JobState): void {
    for (const {steps} of job.occurrences) {
      for (const step of steps) this.openSteps.delete(step);
    }
  }

  /** Cancels a job; one that is not known yet is cancelled as it comes. */
  cancelJob(id: string): void {
    const job = this.jobs.get(id);
    if (job === undefined) {
      this.earlyCancels.add(id);
      return;
    }
    if (!isFinal(job.phase)) this.finish(job, 'cancelled');
  }

  /** Drops a job that ended long ago. */
  forgetJob(id: string): void {
    const job = this.jobs.get(id);
    if (job === undefined || !isFinal(job.phase)) return;
    for (const task of tasksOf(job)) if (task.executor !== null) return;
    this.jobs.delete(id);
  }

  /** The steps of which tasks may be placed now. */
  *readySteps(wallMs: number): Generator<StepState> {
    for (const step of this.openSteps) {
      if (step.doneCount === step.tasks.length) this.openSteps.delete(step);
      else if (isStepReady(step, wallMs)) yield step;
    }
  }

  /**
   * Adds an executor or takes in its newest description. That it has started
   * again is noted only where no task of it is known: with tasks, only its
   * own list tells which life they are in.
   */
  setExecutor(info: ExecutorInfo): ExecutorState {
    const known = this.executors.get(info.id);
    if (known === undefined) {
      const executor = newExecutorState(info);
      this.executors.set(info.id, executor);
      return executor;
    }
    if (info.bornMs !== 0 && info.bornMs < known.bornMs) return known;
    known.info = info;
    known.isListed = true;
    const isIdle = known.tasks.size === 0 && known.strays.size === 0;
    if (isIdle && info.bornMs > known.bornMs) {
      this.startNewLife(known, info.bornMs, Infinity);
    }
    return known;
  }

  /**
   * An executor started again: it holds and knows nothing of before. Starts
   * that were not answered before its list was asked for may belong to the
   * new life and stay until a later list tells.
   *
   * @param askedMs when the list was asked for that shows the new life
   */
  startNewLife(executor: ExecutorState, bornMs: number, askedMs: number): void {
    for (const task of [...executor.tasks]) {
      if (task.answeredMs < askedMs) this.requeue(task);
    }
    this.dropStrays(executor);
    executor.bornMs = bornMs;
    executor.clockMs = Number.NaN;
    executor.leaseUntilMs = 0;
    executor.processedThrough = 0;
    executor.ackedThrough = 0;
    executor.fillPercent = 100;
    executor.missed = 0;
    for (const step of this.openSteps) step.tickets.delete(executor.info.id);
  }

  /** Nothing runs on the executor any more: its tasks wait again. */
  loseRuns(executor: ExecutorState): void {
    for (const task of [...executor.tasks]) this.requeue(task);
    this.dropStrays(executor);
  }

  private dropStrays(executor: ExecutorState): void {
    for (const {task, run} of [...executor.strays.values()]) {
      this.dropStray(executor, task, run);
    }
  }

  /** Counts a task on an executor under its next run number. */
  startTask(
    task: TaskState,
    executor: ExecutorState,
    run: number,
    nowMs: number,
  ): void {
    task.phase = 'starting';
    task.run = run;
    task.startedMs = nowMs;
    task.answeredMs = Infinity;
    task.isDoubtful = false;
    task.percent = 100;
    this.place(task, executor);
    const {job} = task.step.occurrence;
    if (job.phase !== 'queued') return;
    job.phase = 'running';
    job.shownPhase = 'running';
    this.listener.onPhase(job);
  }

  /** The next run number of a task or gang: above all that were used. */
  nextRun(tasks: readonly TaskState[]): number {
    const first = (this.term - 1) * RUNS_PER_TERM + 1;
    return Math.max(first, ...tasks.map(({run}) => run + 1));
  }

  /** Takes in a run that an executor lists and that was not known here. */
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
    this.place(task, executor);
    const {job} = task.step.occurrence;
    if (job.phase === 'queued') {
      job.phase = 'running';
      job.shownPhase = 'running';
      this.listener.onPhase(job);
    }
  }

  /** Finds a task by the name under which executors know it. */
  taskNamed(name: string): TaskState | undefined {
    const address = parseTaskName(name);
    if (address === null) return undefined;
    const job = this.jobs.get(address.jobId);
    return job === undefined ? undefined : findTask(job, address);
  }

  /** Counts a run that has to go and belongs to no placed task. */
  noteStray(executor: ExecutorState, name: string, run: number): void {
    if (executor.strays.has(`${name}#${run}`)) return;
    const task = this.taskNamed(name);
    const size = task?.step.spec.size;
    const isFiller = task?.step.spec.isFiller ?? false;
    const organisation = task?.step.occurrence.job.organisation ?? '';
    const cpuMilli = isFiller ? 0 : (size?.cpuMilli ?? 0);
    const {memMb, accel} = size ?? {memMb: 0, accel: 0};
    addStray(executor, {task: name, run, cpuMilli, memMb, accel, organisation});
    if (size !== undefined) this.organisations.add(organisation, size, 1);
    if (task !== undefined) task.strays += 1;
    this.listener.onStray(executor, name, run);
  }

  /** Frees a stray run that is gone. */
  dropStray(executor: ExecutorState, name: string, run: number): void {
    if (!executor.strays.has(`${name}#${run}`)) return;
    removeStray(executor, name, run);
    const task = this.taskNamed(name);
    if (task === undefined) return;
    task.strays -= 1;
    const {spec, occurrence} = task.step;
    this.organisations.add(occurrence.job.organisation, spec.size, -1);
  }

  /** Tells a running task to stop. */
  stopTask(task: TaskState): void {
    if (task.phase !== 'running' && task.phase !== 'starting') return;
    task.phase = 'stopping';
    task.answeredMs = Infinity;
    this.listener.onStop(task);
  }

  /** Takes in an end that an executor lists. */
  noteEnd(executor: ExecutorState, end: ListedEnd, nowMs: number): void {
    this.dropStray(executor, end.task, end.run);
    const task = this.taskNamed(end.task);
    if (task === undefined) return;
    const isHere = task.executor === executor && task.run === end.run;
    if (isHere) this.unplace(task);
    if (task.phase === 'done') return;
    task.run = Math.max(task.run, end.run);
    if (end.how === 'done') {
      if (isHere) this.noteSpeed(executor, task, nowMs - task.startedMs);
      return this.noteDone(task);
    }
    this.noteCheckpoint(task, end.checkpoint);
    if (end.how === 'failed') this.noteFailure(executor, task, end, nowMs);
    if (!isHere) return;
    task.phase = 'waiting';
    this.reopen(task);
    if (task.step.spec.isGang) this.stopGang(task.step);
  }

  /** A run is known to be gone without an end that was listed. */
  requeue(task: TaskState): void {
    this.unplace(task);
    if (task.phase === 'done') return;
    task.phase = 'waiting';
    this.reopen(task);
    if (task.step.spec.isGang) this.stopGang(task.step);
  }

  /** Keeps the newest checkpoint; that of a gang's member is good for all. */
  noteCheckpoint(task: TaskState, checkpoint: string): void {
    if (checkpoint === '' || task.checkpoint === checkpoint) return;
    const {step} = task;
    if (!step.spec.isGang) task.checkpoint = checkpoint;
    else for (const each of step.tasks) each.checkpoint = checkpoint;
  }

  private noteDone(task: TaskState): void {
    const {step} = task;
    const {job} = step.occurrence;
    let isCompleted = false;
    const members = step.spec.isGang ? step.tasks : [task];
    for (const each of members) isCompleted = markDone(each) || isCompleted;
    if (task.executor !== null) this.listener.onStop(task);
    if (isFinal(job.phase)) return;
    this.listener.onDirty(job);
    if (isCompleted) this.finish(job, 'completed');
  }

  /** Compares a run with its siblings, to find slow executors. */
  private noteSpeed(
    executor: ExecutorState,
    task: TaskState,
    ranMs: number,
  ): void {
    const {step, percent, checkpoint} = task;
    executor.failuresInRow = 0;
    if (Number.isNaN(ranMs) || step.spec.isService) return;
    if (percent < 100 || checkpoint !== '') return;
    if (this.estimates.siblingCount(step) > 0) {
      const ratio = ranMs / Math.max(1, this.estimates.expectedMs(step));
      executor.slowness += (ratio - executor.slowness) * SLOWNESS_WEIGHT;
    }
    this.estimates.learn(step, ranMs);
  }

  private noteFailure(
    executor: ExecutorState,
    task: TaskState,
    end: ListedEnd,
    nowMs: number,
  ): void {
    const {step} = task;
    const {job} = step.occurrence;
    if (task.failedRuns.includes(end.run)) return;
    task.failedRuns = [...task.failedRuns, end.run];
    task.failedOn = executor.info.id;
    this.noteBadExecutor(executor, nowMs);
    if (step.spec.isGang && !step.failedGangRuns.includes(end.run)) {
      step.failedGangRuns = [...step.failedGangRuns, end.run];
    }
    if (step.spec.isService) {
      const delayMs =
        SERVICE_BACKOFF_MS * 2 ** Math.min(10, task.failedRuns.length - 1);
      task.notBeforeMs = nowMs + Math.min(MAX_SERVICE_BACKOFF_MS, delayMs);
    }
    if (isFinal(job.phase)) return;
    this.listener.onDirty(job);
    const failed = step.spec.isGang ? step.failedGangRuns : task.failedRuns;
    const isOut =
      failed.length >= job.queue.maxAttempts && !step.spec.isService;
    if (isOut) this.finish(job, 'failed');
  }

  private noteBadExecutor(executor: ExecutorState, nowMs: number): void {
    executor.failuresInRow += 1;
    const over = executor.failuresInRow - BAD_EXECUTOR_FAILURES;
    if (over < 0) return;
    const pauseMs = BAD_EXECUTOR_PAUSE_MS * 2 ** Math.min(2, over);
    executor.avoidUntilMs = nowMs + pauseMs;
  }

  private finish(
    job: JobState,
    phase: 'completed' | 'failed' | 'cancelled',
  ): void {
    job.phase = phase;
    this.closeJob(job);
    for (const task of tasksOf(job)) this.stopTask(task);
    this.listener.onDirty(job);
    this.listener.onPhase(job);
  }

  private stopGang(step: StepState): void {
    if (step.doneCount === step.tasks.length) return;
    for (const task of step.tasks) this.stopTask(task);
  }

  private reopen({step}: TaskState): void {
    if (!isFinal(step.occurrence.job.phase)) this.openSteps.add(step);
  }

  private place(task: TaskState, executor: ExecutorState): void {
    placeTask(executor, task);
    const {spec, occurrence} = task.step;
    this.organisations.add(occurrence.job.organisation, spec.size, 1);
  }

  private unplace(task: TaskState): void {
    if (task.executor === null) return;
    removeTask(task);
    const {spec, occurrence} = task.step;
    this.organisations.add(occurrence.job.organisation, spec.size, -1);
  }
}

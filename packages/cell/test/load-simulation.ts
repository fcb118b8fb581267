/** Scheduling rounds and ticket requests under load, on a manual clock. */
import {
  CellState,
  decideRound,
  isStepReady,
  startWithTickets,
  tasksOf,
  TicketRequester,
  type AdviceChannel,
  type CellConfig,
  type ExecutorInfo,
  type ExecutorState,
  type JobState,
  type Queue,
  type StartContext,
  type StepSpec,
  type StepState,
  type TaskState,
  type TicketRequest,
} from '@dragonflyward/cell';
import {CONFIG} from './rig.js';

/** Time between two scheduling rounds, in ms. */
export const ROUND_MS = 10;
/** How long a lost executor's tasks stay placed: lease and last renewal. */
export const LOSS_DETECTION_MS = 7300;
/** When a lost executor misses its first renewal, in ms after the loss. */
const FIRST_MISS_MS = 1000;
/** How long a stop of a run takes, in ms. */
const STOP_MS = 300;
/** A lasting task may be away this long after its last run, in ms. */
const LAST_RUN_GRACE_MS = 6000;
/** Longest time that a task may wait with capacity twice over, in ms. */
const MAX_WAIT_MS = 3000;

/** How a run of a task goes. */
export interface RunPlan {
  /** Infinity for a run that lasts. */
  readonly runMs: number;
  readonly how: 'done' | 'failed';
}

/** What a simulation is made of. */
export interface LoadOptions {
  readonly queues: readonly Queue[];
  readonly organisations?: CellConfig['organisations'];
  readonly vmCount: number;
  /** Time between two rounds, in ms; {@link ROUND_MS} by default. */
  readonly roundMs?: number;
  /** One way from the owner to the service through a VM, in ms; else 0. */
  readonly adviceOneWayMs?: ((vm: number) => number) | undefined;
  /** Whether the advice service permits the step on the executor. */
  readonly isPermitted: (step: string, executorId: string) => boolean;
  /** How a run that starts now goes; by default it is done as estimated. */
  readonly planRun?: (task: TaskState) => RunPlan;
}

/** A job that has ended, or not yet, and when it came. */
export interface JobTiming {
  readonly id: string;
  readonly queue: string;
  readonly acceptedMs: number;
  /** Infinity until the job has completed. */
  readonly completedMs: number;
  /** When a job without a delay of the scheduler's would have completed. */
  readonly objectiveMs: number;
}

/** A task that waited too long although there was room for it twice over. */
export interface Overdue {
  readonly task: string;
  readonly queue: string;
  readonly atMs: number;
}

interface Timed {
  readonly atMs: number;
  readonly act: () => void;
}

/** Simulates executors, runs and the advice service for one owner's state. */
export class LoadSimulation {
  nowMs = 1000;
  /** VMs whose calls of the advice service get no answer. */
  readonly failingVms = new Set<string>();
  /** Lasting tasks that were away too long. */
  readonly overdue: Overdue[] = [];
  /** Jobs with nothing running that waited too long after the traffic. */
  readonly stalled: Overdue[] = [];
  /** Calls that the advice service has answered, and its time for them. */
  readonly advice = {calls: 0, workMs: 0};
  /** From when on no job may stall. */
  trafficEndMs = Infinity;
  readonly state: CellState;
  readonly ticketRequester: TicketRequester;
  private readonly lost = new Set<ExecutorState>();
  private readonly endedMs = new Map<TaskState, number>();
  private readonly hadRoomMs = new Map<TaskState, number>();
  private readonly mayRunSinceMs = new Map<JobState, number>();
  private readonly completedMs = new Map<JobState, number>();
  private timed: Timed[] = [];
  private endNumber = 0;
  private decidedMs = -Infinity;

  constructor(private readonly options: LoadOptions) {
    this.state = new CellState(1, {
      onProgress: () => undefined,
      onPhaseChange: job => {
        if (job.phase === 'completed') this.completedMs.set(job, this.nowMs);
      },
      onStop: task => this.endLater(task),
      onOrphan: () => undefined,
      onCrash: () => undefined,
    });
    const {queues, organisations = [], vmCount} = options;
    this.state.setConfig({...CONFIG, queues, organisations});
    const channels = [...Array(vmCount).keys()].map(i => this.newChannel(i));
    this.ticketRequester = new TicketRequester(
      () => channels,
      () => this.nowMs,
      (step, _tickets, reservedIds) => this.startAtOnce(step, reservedIds),
      () => undefined,
    );
  }

  addExecutors(
    service: string,
    count: number,
    capacityOf: (index: number) => ExecutorInfo['capacity'],
    rackSize = 8,
  ): void {
    for (let i = 0; i < count; i += 1) {
      const executor = this.state.setExecutor({
        id: `${service}-${i}`,
        service,
        ip: '',
        port: 1,
        domain: 'd',
        rack: `${service}-rack-${Math.floor(i / rackSize)}`,
        labels: [],
        capacity: capacityOf(i),
        isDraining: false,
        drainRemainingMs: 0,
        coldRemainingMs: 0,
        bornMs: 1,
      });
      executor.isReached = true;
    }
  }

  addJob(
    id: string,
    queue: Queue,
    steps: readonly StepSpec[],
    organisation = '',
  ): void {
    const repetition = {times: 1, firstMs: 0, intervalMs: 0};
    const spec = {payload: '', steps, repetition};
    const acceptedMs = this.nowMs;
    this.state.addJob({id, queue, organisation, spec, acceptedMs});
  }

  /** Ends all runs of an executor at once; the owner notices it later. */
  loseExecutor(executor: ExecutorState): void {
    this.lost.add(executor);
    executor.clockMs = this.nowMs;
    executor.clockReadMs = this.nowMs;
    executor.leaseUntilMs = this.nowMs + 6000;
    for (const task of executor.tasks) this.endedMs.set(task, this.nowMs);
    this.at(this.nowMs + FIRST_MISS_MS, () => {
      executor.missedRenewals = 1;
    });
    this.at(this.nowMs + LOSS_DETECTION_MS, () => {
      this.state.requeueAll(executor);
      this.state.executors.delete(executor.info.id);
    });
  }

  at(atMs: number, act: () => void): void {
    this.timed.push({atMs, act});
  }

  async runUntil(endMs: number): Promise<void> {
    while (this.nowMs < endMs) {
      this.nowMs += ROUND_MS;
      this.actWhatIsDue();
      // Answers are processed in promise callbacks.
      for (let i = 0; i < 4; i += 1) await Promise.resolve();
      this.decideIfDue();
      this.checkLastingTasks();
      if (this.nowMs >= this.trafficEndMs) this.checkJobs();
    }
  }

  completed(prefix: string): number {
    const jobs = [...this.state.jobs.values()];
    return jobs.filter(
      ({id, phase}) => id.startsWith(prefix) && phase === 'completed',
    ).length;
  }

  /** Counts the tasks of a job that run. */
  running(id: string): number {
    const job = this.state.jobs.get(id);
    const tasks = job === undefined ? [] : [...tasksOf(job)];
    return tasks.filter(({phase}) => phase === 'running').length;
  }

  /** Whether the advice service permits the step on the executor. */
  isPermitted(step: StepState, executor: ExecutorState): boolean {
    const {job, index} = step.occurrence;
    const name = `${job.id}.${index}.${step.index}`;
    return this.options.isPermitted(name, executor.info.id);
  }

  /** Counts the tasks of the step that sound executors could take now. */
  countRoom(step: StepState): number {
    const {spec} = step;
    let room = 0;
    for (const executor of this.state.executors.values()) {
      const {info, usedCpuMilli, usedMemMb, usedAccel, tasks} = executor;
      if (info.service !== step.occurrence.job.queue.service) continue;
      if (this.lost.has(executor) || info.isDraining) continue;
      if (!this.isPermitted(step, executor)) continue;
      const {cpuMilli, memMb, accel} = info.capacity;
      const cpuOfTask = spec.isFiller ? 0 : spec.size.cpuMilli;
      let fits = Math.min(
        units(cpuMilli - usedCpuMilli, cpuOfTask),
        units(memMb - usedMemMb, spec.size.memMb),
        units(accel - usedAccel, spec.size.accel),
      );
      if (spec.maxPerExecutor > 0) {
        const count = [...tasks].filter(each => each.step === step).length;
        fits = Math.min(fits, spec.maxPerExecutor - count);
      }
      room += Math.max(0, fits);
    }
    return room;
  }

  /** Yields the jobs that came in a span of time. */
  *timings(fromMs: number, untilMs: number): Generator<JobTiming> {
    for (const job of this.state.jobs.values()) {
      const {id, acceptedMs, queue} = job;
      if (acceptedMs < fromMs || acceptedMs >= untilMs) continue;
      const completedMs = this.completedMs.get(job) ?? Infinity;
      const chainMs = job.spec.steps
        .map(({estimatedMs}) => estimatedMs + firstCallMs(queue))
        .reduce((sum, each) => sum + each, 0);
      const objectiveMs = queue.objectiveMs + queue.stretch * chainMs;
      yield {id, queue: queue.name, acceptedMs, completedMs, objectiveMs};
    }
  }

  /** The service takes one call of a VM at a time, in the order of arrival. */
  private newChannel(index: number): AdviceChannel {
    const vm = `vm-${index}`;
    const oneWayMs = this.options.adviceOneWayMs?.(index) ?? 0;
    let freeMs = 0;
    return {
      vm,
      isInOwnerDomain: index === 0,
      ask: (step, executorIds, timeoutMs) =>
        new Promise(resolve => {
          const atMs = this.nowMs;
          if (this.failingVms.has(vm)) {
            this.at(atMs + timeoutMs, () => resolve(null));
            return;
          }
          const workMs = this.decisionMs(step, executorIds.length);
          freeMs = Math.max(freeMs, atMs + oneWayMs) + workMs;
          const tickets = executorIds
            .filter(id => this.options.isPermitted(step, id))
            .map(executorId => ({executorId, ticket: 't'}));
          const doneMs = freeMs + oneWayMs;
          if (doneMs > atMs + timeoutMs) {
            this.at(atMs + timeoutMs, () => resolve(null));
            return;
          }
          this.at(doneMs, () => {
            this.advice.calls += 1;
            this.advice.workMs += workMs;
            resolve(tickets);
          });
        }),
    };
  }

  private decisionMs(step: string, executorCount: number): number {
    const job = this.state.jobs.get(step.split('.')[0] ?? '');
    const advice = job?.queue.advice;
    if (advice === null || advice === undefined) return 0;
    return advice.decisionMs + advice.perExecutorMs * executorCount;
  }

  private actWhatIsDue(): void {
    const due = this.timed.filter(({atMs}) => atMs <= this.nowMs);
    if (due.length === 0) return;
    this.timed = this.timed.filter(({atMs}) => atMs > this.nowMs);
    for (const {act} of due.sort((a, b) => a.atMs - b.atMs)) act();
  }

  private endLater(task: TaskState): void {
    const {executor, run} = task;
    this.at(this.nowMs + STOP_MS, () => {
      this.endRun(task, executor, run, 'stopped');
    });
  }

  private endRun(
    task: TaskState,
    executor: ExecutorState | null,
    run: number,
    how: 'done' | 'failed' | 'stopped',
  ): void {
    if (executor === null || this.lost.has(executor)) return;
    if (task.executor !== executor || task.run !== run) return;
    this.endNumber += 1;
    this.endedMs.set(task, this.nowMs);
    const {step, index} = task;
    const {job, index: occurrence} = step.occurrence;
    const end = {
      number: this.endNumber,
      task: `${job.id}.${occurrence}.${step.index}.${index}`,
      run,
      how,
      checkpoint: how === 'stopped' && step.spec.savesProgress ? 'c' : '',
    };
    this.state.recordEnd(executor, end, this.nowMs);
  }

  private get startContext(): StartContext {
    const {nowMs} = this;
    return {nowMs, wallMs: nowMs, mayHaveUnknownRuns: () => false};
  }

  private startAtOnce(step: StepState, reservedIds: readonly string[]): void {
    const {state, startContext} = this;
    const decisions = startWithTickets(state, step, reservedIds, startContext);
    for (const {tasks} of decisions) {
      for (const task of tasks) this.beginRun(task);
    }
  }

  private decideIfDue(): void {
    const {roundMs = ROUND_MS} = this.options;
    if (this.nowMs - this.decidedMs < roundMs) return;
    this.decidedMs = this.nowMs;
    this.decide();
  }

  private decide(): void {
    const context = {
      ...this.startContext,
      unknownRunsUntilMs: null,
      leadMs: (step: StepState) =>
        ROUND_MS + this.ticketRequester.expectedWaitMs(step),
      ticketBudget: this.ticketRequester.newBudget(),
    };
    const requests: TicketRequest[] = [];
    for (const decision of decideRound(this.state, context)) {
      if (decision.kind === 'advise') requests.push(decision);
      else for (const task of decision.tasks) this.beginRun(task);
    }
    this.ticketRequester.replaceRequests(requests);
    // As the owner does: a VM may be idle again by then.
    this.ticketRequester.dispatch();
  }

  private beginRun(task: TaskState): void {
    const {executor, run} = task;
    task.phase = 'running';
    const plan = this.options.planRun?.(task) ?? defaultPlan(task);
    if (executor === null || plan.runMs === Infinity) return;
    if (this.lost.has(executor)) return;
    this.at(this.nowMs + plan.runMs, () => {
      this.endRun(task, executor, run, plan.how);
    });
  }

  /** Records lasting tasks that are away although there is room for them. */
  private checkLastingTasks(): void {
    for (const step of this.state.pendingSteps) {
      if (!step.spec.isService || !isStepReady(step, this.nowMs)) continue;
      const away = step.tasks.filter(task => this.isAway(task));
      for (const task of step.tasks) {
        if (!away.includes(task)) this.hadRoomMs.delete(task);
      }
      if (away.length === 0) continue;
      const hasRoom = this.countRoom(step) >= 2;
      for (const task of away) this.checkTask(task, hasRoom);
    }
  }

  /** Records jobs with nothing running although there is room for a task. */
  private checkJobs(): void {
    const free = new Map<string, boolean>();
    for (const {queue} of this.state.jobs.values()) {
      const {service} = queue;
      if (!free.has(service)) free.set(service, this.isHalfFree(service));
    }
    for (const job of this.state.jobs.values()) {
      const mayRun =
        isOpen(job) && free.get(job.queue.service) === true && this.mayRun(job);
      const sinceMs = this.mayRunSinceMs.get(job);
      if (!mayRun) this.mayRunSinceMs.delete(job);
      else if (sinceMs === undefined) this.mayRunSinceMs.set(job, this.nowMs);
      else if (this.nowMs - sinceMs > MAX_WAIT_MS) {
        const queue = job.queue.name;
        this.stalled.push({task: job.id, queue, atMs: this.nowMs});
        this.mayRunSinceMs.set(job, Infinity);
      }
    }
  }

  private isHalfFree(service: string): boolean {
    const used = {cpu: 0, mem: 0, accel: 0};
    const total = {cpu: 0, mem: 0, accel: 0};
    for (const executor of this.state.executors.values()) {
      const {info, usedCpuMilli, usedMemMb, usedAccel} = executor;
      if (info.service !== service || this.lost.has(executor)) continue;
      used.cpu += usedCpuMilli;
      used.mem += usedMemMb;
      used.accel += usedAccel;
      total.cpu += info.capacity.cpuMilli;
      total.mem += info.capacity.memMb;
      total.accel += info.capacity.accel;
    }
    return (
      used.cpu <= total.cpu / 2 &&
      used.mem <= total.mem / 2 &&
      used.accel <= total.accel / 2
    );
  }

  /** Whether nothing of the job runs, and a step could start twice over. */
  private mayRun(job: JobState): boolean {
    const occurrences = [...job.occurrences.values()];
    const steps = occurrences.flatMap(each => each.steps);
    const tasks = steps.flatMap(each => each.tasks);
    if (tasks.some(({executor}) => executor !== null)) return false;
    return steps.some(step => {
      if (!isStepReady(step, this.nowMs)) return false;
      const wanted = step.spec.isGang ? step.tasks.length : 1;
      return this.countRoom(step) >= 2 * wanted;
    });
  }

  private isAway(task: TaskState): boolean {
    const {executor, phase, step} = task;
    if (phase === 'running' && executor !== null && !this.lost.has(executor)) {
      return false;
    }
    const {acceptedMs} = step.occurrence.job;
    const sinceMs = this.endedMs.get(task) ?? acceptedMs;
    return this.nowMs >= sinceMs + LAST_RUN_GRACE_MS;
  }

  private checkTask(task: TaskState, hasRoom: boolean): void {
    const sinceMs = this.hadRoomMs.get(task);
    if (!hasRoom) this.hadRoomMs.delete(task);
    else if (sinceMs === undefined) this.hadRoomMs.set(task, this.nowMs);
    else if (this.nowMs - sinceMs > MAX_WAIT_MS) {
      const {job} = task.step.occurrence;
      this.overdue.push({
        task: `${job.id}.${task.step.index}.${task.index}`,
        queue: job.queue.name,
        atMs: this.nowMs,
      });
      this.hadRoomMs.set(task, Infinity);
    }
  }
}

/** The time of the advice service for a first call. */
function firstCallMs({advice}: Queue): number {
  return advice === null ? 0 : advice.decisionMs + 30 * advice.perExecutorMs;
}

function isOpen({phase}: JobState): boolean {
  return phase === 'queued' || phase === 'running';
}

function defaultPlan({step}: TaskState): RunPlan {
  const {isService, estimatedMs} = step.spec;
  return {runMs: isService ? Infinity : estimatedMs, how: 'done'};
}

function units(free: number, perTask: number): number {
  return perTask === 0 ? Infinity : Math.max(0, Math.floor(free / perTask));
}

/** A number from 0 to 1 that depends on the text alone. */
export function hash(text: string): number {
  let value = 7;
  for (const char of text) {
    value = (value * 31 + char.charCodeAt(0)) % 1_000_003;
  }
  return ((value * 7919) % 1_000_003) / 1_000_003;
}

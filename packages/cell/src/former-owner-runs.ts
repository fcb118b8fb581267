/** Runs that a former owner may have started and that are not known here. */
import {leaseLeftMs, type ExecutorState} from './executor-state.js';
import {
  parseTaskName,
  servicesOf,
  taskName,
  type JobState,
  type StepState,
  type TaskAddress,
  type TaskState,
} from './job-state.js';
import {FormerLeases, LOCAL_LEASE_MS} from './former-leases.js';
import {CLOCK_RATE_FACTOR} from './former-owners.js';
import type {LastOrders} from './last-orders.js';
import type {Ownership} from './ownership.js';
import {
  addAmounts,
  allocatedAmounts,
  minAmounts,
  NOTHING_RESERVED,
  subtractAmounts,
  type ResourceAmounts,
} from './resource-amounts.js';
import {UnconfirmedExecutors} from './unconfirmed-executors.js';
import {
  UnreachedExecutors,
  type UnreachedExecutor,
} from './unreached-executors.js';
import type {StepSpec} from './types.js';

/** The most ids in one line of the log. */
const MAX_LOGGED_IDS = 5;

/** Orders of this owner up to now. */
const ORDERS_UNTIL_NOW: LastOrders = {agoMs: 0};

/** The takeover from a former owner. */
interface Takeover {
  /** When this owner claimed the cell, on its monotonic clock. */
  readonly claimedMs: number;
  readonly ownership: Ownership;
  /** When the newest read of the executors' records was sent. */
  readonly executorsReadMs: () => number;
}

/** Tracks executors and jobs from before this owner claimed the cell. */
export class FormerOwnerRuns {
  /** Executors that a former owner may have used and that have not answered. */
  private readonly executors = new Set<ExecutorState>();
  /** The services under which former owners have used executors, as stored. */
  private readonly formerServices = new Map<ExecutorState, string>();
  /** Jobs that may have been stored while a former owner could start tasks. */
  private readonly jobs = new Set<string>();
  /** Executors that have answered, but not after the last start. */
  private readonly unconfirmed: UnconfirmedExecutors;
  private readonly leases: FormerLeases;
  /** A former owner starts nothing after this time. */
  private readonly startsUntilMs: number;

  constructor(private readonly takeover: Takeover) {
    const {claimedMs, ownership, executorsReadMs} = takeover;
    this.startsUntilMs = Math.max(claimedMs, ownership.formerStartUntilMs);
    this.leases = new FormerLeases(ownership);
    this.unconfirmed = new UnconfirmedExecutors(
      this.startsUntilMs,
      executorsReadMs,
    );
  }

  /** Adds an executor that a former owner has used under that service. */
  addExecutor(executor: ExecutorState, service: string): void {
    this.executors.add(executor);
    this.formerServices.set(executor, service);
  }

  /** Whether the executor has not answered, and so has no order of this owner. */
  isAwaited(executor: ExecutorState): boolean {
    return this.executors.has(executor);
  }

  /**
   * How long the leases of former owners last on an executor that answers for
   * the first time, in ms on its clock; 0 for any other.
   */
  leaseLeftMs(executor: ExecutorState, nowMs: number): number {
    if (!this.executors.has(executor)) return 0;
    return this.leases.leftOnAnswerMs(executor, nowMs);
  }

  /** Removes an executor that is gone. */
  removeExecutor(executor: ExecutorState): void {
    this.executors.delete(executor);
    this.formerServices.delete(executor);
    this.unconfirmed.remove(executor);
  }

  /**
   * Records that an executor has reported its runs.
   *
   * @param sentMs when they were requested
   * @returns whether its runs were not known until now
   * @example
   * const wasAwaited = formerOwnerRuns.recordAnswer(executor, sentMs);
   */
  recordAnswer(executor: ExecutorState, sentMs: number): boolean {
    const wasUnconfirmed = this.unconfirmed.has(executor);
    if (!this.executors.delete(executor) && !wasUnconfirmed) return false;
    this.unconfirmed.recordAnswer(executor, sentMs);
    return !this.unconfirmed.has(executor);
  }

  /**
   * Records that another process answers at the executor's address: the one
   * there has ended with its runs, and owners store a new address before they
   * give orders there. While a former owner may still start tasks, it may yet
   * start one on a process that takes the address back. A record without a
   * start time may be older than the process that a former owner used.
   *
   * @param sentMs when the order was sent that the other process has answered
   * @returns whether runs there were unknown until now
   * @example
   * const wasUnknown = formerOwnerRuns.recordReplaced(executor, sentMs);
   */
  recordReplaced(executor: ExecutorState, sentMs: number): boolean {
    if (sentMs < this.startsUntilMs || executor.info.bornMs === 0) return false;
    const wasAwaited = this.executors.has(executor);
    const wasUnconfirmed = this.unconfirmed.has(executor);
    this.removeExecutor(executor);
    return wasAwaited || wasUnconfirmed;
  }

  /**
   * When the executor has to be asked for its runs again, on the monotonic
   * clock; Infinity for never.
   *
   * @example
   * const dueInMs = formerOwnerRuns.inventoryDueMs(executor) - nowMs;
   */
  inventoryDueMs(executor: ExecutorState): number {
    return this.unconfirmed.has(executor) ? this.startsUntilMs : Infinity;
  }

  /**
   * Adds a job unless it was stored after the last start of a former owner.
   *
   * @param freshMs all jobs stored before this time were known before this one
   */
  addJob(id: string, freshMs: number): void {
    if (freshMs < this.startsUntilMs) this.jobs.add(id);
  }

  /**
   * Whether an unknown run of the task may exist: on an executor that has not
   * answered yet, or may have restarted since it answered a moment before the
   * former owner's last start, until all leases that a former owner can have
   * granted there have expired. While the former owner may still start tasks,
   * any task may run on an executor that has restarted and thus knows no
   * fencing token.
   *
   * @param unreached the unreached executors at that time
   * @example
   * const unreached = formerOwnerRuns.unreachedExecutors(nowMs);
   * if (formerOwnerRuns.mayHaveUnknownRuns(task, nowMs, unreached)) return;
   */
  mayHaveUnknownRuns(
    task: TaskState,
    nowMs: number,
    unreached: UnreachedExecutors,
  ): boolean {
    if (nowMs < this.startsUntilMs) return true;
    if (unreached.isEmpty || unreached.untilMs(task) === null) return false;
    return this.mayHaveBeenStarted(task);
  }

  /**
   * By when unknown runs of the task, if it may have any, are expected to have
   * ended. An executor may answer before that, and a restart may be noticed
   * that makes the time longer.
   *
   * @param unreached the unreached executors now
   * @example
   * const waitMs = formerOwnerRuns.expectedUntilMs(task, unreached) - nowMs;
   */
  expectedUntilMs(task: TaskState, unreached: UnreachedExecutors): number {
    const untilMs = unreached.untilMs(task);
    if (untilMs === null || !this.mayHaveBeenStarted(task)) {
      return this.startsUntilMs;
    }
    return Math.max(this.startsUntilMs, untilMs);
  }

  /** Whether any task may wait for unknown runs. */
  mayAnyWait(nowMs: number, unreached: UnreachedExecutors): boolean {
    return nowMs < this.startsUntilMs || !unreached.isEmpty;
  }

  /** Finds the executors that may hold unknown runs. */
  unreachedExecutors(nowMs: number): UnreachedExecutors {
    return new UnreachedExecutors([...this.unreachedAt(nowMs)]);
  }

  /**
   * The most that unknown runs of the jobs can use, by organisation: all
   * tasks that may have such a run, as far as the executors hold them. Runs of
   * a job that was cancelled or has failed go on where nobody can stop them.
   */
  unknownUsage(
    jobs: Iterable<JobState>,
    nowMs: number,
    unreached: UnreachedExecutors,
  ): ReadonlyMap<string, ResourceAmounts> {
    const usage = new Map<string, ResourceAmounts>();
    if (unreached.isEmpty) return usage;
    const left = new Map<string, ResourceAmounts>();
    for (const {job, spec, count} of this.unknownRuns(jobs, nowMs, unreached)) {
      const {organisation} = job;
      const services = servicesOf(job);
      // Jobs that were sent to other services as well are bounded on their own.
      const key = `${[...services].sort().join()} ${organisation}`;
      const rest = left.get(key) ?? unreached.capacityOf(services);
      const allocated = allocatedAmounts(spec, count);
      const fitting = minAmounts(allocated, rest);
      left.set(key, subtractAmounts(rest, fitting));
      // A filler's cpu counts towards the limit, not towards the capacity.
      const cpuMilli = spec.isFiller
        ? count * spec.size.cpuMilli
        : fitting.cpuMilli;
      const sum = usage.get(organisation) ?? NOTHING_RESERVED;
      usage.set(organisation, addAmounts(sum, {...fitting, cpuMilli}));
    }
    return usage;
  }

  /**
   * The executors that may hold unknown runs, for the log: how many, the first
   * ids, and the most time that is left until their leases have expired.
   *
   * @returns null if there is none
   */
  describeWait(nowMs: number): Readonly<Record<string, unknown>> | null {
    const unreached = [...this.unreachedAt(nowMs)];
    if (unreached.length === 0) return null;
    const untilMs = unreached.map(({executor}) =>
      this.leases.untilMs(executor),
    );
    const ids = unreached.map(({executor}) => executor.info.id);
    return {
      executors: ids.length,
      executorIds: ids.slice(0, MAX_LOGGED_IDS),
      atMostMs: Math.round(Math.max(...untilMs) - nowMs),
    };
  }

  /**
   * Names the tasks that may run on the executor, or may have ended there
   * unknown to the next owner.
   *
   * @returns null if any task may
   */
  describeRuns(executor: ExecutorState): readonly string[] | null {
    if (this.executors.has(executor)) {
      return this.leases.toldRuns(executor) ?? null;
    }
    // Another process may run there, or one that a former owner has used.
    if (!executor.isReached) return null;
    if (this.unconfirmed.mayHaveRestarted(executor)) return null;
    // An end that is not stored will be listed to the next owner later.
    if (executor.processedThrough !== executor.ackedThrough) return null;
    const orphans = [...executor.orphans.values()].map(({task}) => task);
    return [...[...executor.tasks].map(taskName), ...orphans];
  }

  /** Whether the executor may have runs that it has not reported yet. */
  mayHoldUnknownRuns(executor: ExecutorState, nowMs: number): boolean {
    const isUnreached = this.executors.has(executor);
    if (!isUnreached && !this.unconfirmed.mayHaveRestarted(executor)) {
      return false;
    }
    return nowMs <= this.leases.untilMs(executor);
  }

  /**
   * The last orders to the executor, for the next owner.
   *
   * @returns null if it answers and has a lease that an order gives
   */
  describeOrders(executor: ExecutorState, nowMs: number): LastOrders | null {
    const {isReached, missedRenewals, clockMs, info} = executor;
    if (isReached) {
      // Without its clock, the end of its leases is not known.
      if (Number.isNaN(clockMs)) return ORDERS_UNTIL_NOW;
      const leftMs = leaseLeftMs(executor, nowMs);
      if (missedRenewals === 0 && leftMs <= LOCAL_LEASE_MS) return null;
      return {agoMs: LOCAL_LEASE_MS - leftMs * CLOCK_RATE_FACTOR};
    }
    // It has moved under this owner, which gave it orders before.
    if (!this.executors.has(executor)) return ORDERS_UNTIL_NOW;
    const {untilMs} = this.takeover.ownership.stoppedOrders(info.id);
    return {agoMs: nowMs - untilMs};
  }

  /** How many tasks of each step may have runs that are not known. */
  private *unknownRuns(
    jobs: Iterable<JobState>,
    nowMs: number,
    unreached: UnreachedExecutors,
  ): Generator<UnknownRuns> {
    for (const job of jobs) {
      if (job.phase === 'completed' || !this.jobs.has(job.id)) continue;
      if (!unreached.serveAny(servicesOf(job))) continue;
      for (const {steps} of job.occurrences.values()) {
        for (const step of steps) {
          const count = this.countUnknownRuns(step, nowMs, unreached);
          if (count > 0) yield {job, spec: step.spec, count};
        }
      }
      yield* this.unknownRunsElsewhere(job, nowMs, unreached);
    }
  }

  /** As {@link mayHaveUnknownRuns} of each waiting task of a known job. */
  private countUnknownRuns(
    step: StepState,
    nowMs: number,
    unreached: UnreachedExecutors,
  ): number {
    if (step.doneCount === step.tasks.length) return 0;
    const mayBeAll = nowMs < this.startsUntilMs;
    if (!mayBeAll && this.wasBlocked(step)) return 0;
    const waiting = step.tasks.filter(({phase}) => phase === 'waiting');
    if (mayBeAll) return waiting.length;
    const unknown = waiting.filter(
      task => !this.isAccountedFor(task) && unreached.untilMs(task) !== null,
    );
    return unknown.length;
  }

  /** The same for occurrences that are not in memory. */
  private *unknownRunsElsewhere(
    job: JobState,
    nowMs: number,
    unreached: UnreachedExecutors,
  ): Generator<UnknownRuns> {
    const count = countUnopened(job);
    if (count === 0) return;
    const mayBeAny =
      nowMs < this.startsUntilMs ||
      unreached.untilOnMs(servicesOf(job)) !== null;
    const named = mayBeAny ? [] : unopenedTasks(job, unreached.taskNames);
    for (const [i, spec] of job.spec.steps.entries()) {
      const runs = mayBeAny
        ? count * spec.count
        : named.filter(({step}) => step === i).length;
      yield {job, spec, count: runs};
    }
  }

  private *unreachedAt(nowMs: number): Generator<UnreachedExecutor> {
    const candidates = [...this.executors, ...this.unconfirmed.restartable()];
    for (const executor of candidates) {
      const leasesUntilMs = this.leases.untilMs(executor);
      if (nowMs > leasesUntilMs) continue;
      const untilMs = this.willBeConfirmed(executor)
        ? this.startsUntilMs
        : leasesUntilMs;
      const services = this.servicesOfExecutor(executor);
      yield {executor, services, runs: this.leases.toldRuns(executor), untilMs};
    }
  }

  /** It may have another one by now, which owners store before they use it. */
  private servicesOfExecutor(executor: ExecutorState): readonly string[] {
    const {service} = executor.info;
    const former = this.formerServices.get(executor) ?? service;
    return former === service ? [service] : [former, service];
  }

  /** Whether it answers, and so will again as soon as the start lease ends. */
  private willBeConfirmed(executor: ExecutorState): boolean {
    if (!executor.isReached || executor.missedRenewals > 0) return false;
    return this.unconfirmed.has(executor);
  }

  /** Whether a former owner may have started a run that is not known here. */
  private mayHaveBeenStarted(task: TaskState): boolean {
    const {step} = task;
    if (!this.jobs.has(step.occurrence.job.id)) return false;
    return !this.isAccountedFor(task) && !this.wasBlocked(step);
  }

  /**
   * Whether every run of the task is known: this owner has started it, or an
   * executor listed it when a former owner could start nothing any more. A
   * former owner starts a task only where no other run of it can exist.
   */
  private isAccountedFor({isStartedHere, listedMs}: TaskState): boolean {
    return isStartedHere || listedMs >= this.startsUntilMs;
  }

  /**
   * Whether a dependency of the step was still running when a former owner
   * could start nothing any more.
   */
  private wasBlocked({spec, occurrence}: StepState): boolean {
    return spec.after.some(i =>
      occurrence.steps[i]?.tasks.some(each => this.isAccountedFor(each)),
    );
  }
}

/** How many tasks of a step may have runs that are not known. */
interface UnknownRuns {
  readonly job: JobState;
  readonly spec: StepSpec;
  readonly count: number;
}

/** How many occurrences are not done and not in memory. */
function countUnopened({spec, occurrences, doneOccurrences}: JobState): number {
  let count = spec.repetition.times - doneOccurrences.size;
  for (const index of occurrences.keys()) {
    if (!doneOccurrences.has(index)) count -= 1;
  }
  return count;
}

/** Those of the named tasks that are of such occurrences of the job. */
function unopenedTasks(
  {id, occurrences, doneOccurrences}: JobState,
  names: Iterable<string>,
): readonly TaskAddress[] {
  const found: TaskAddress[] = [];
  for (const name of names) {
    // Most names are of other jobs.
    if (!name.startsWith(id)) continue;
    const address = parseTaskName(name);
    if (address === null || address.jobId !== id) continue;
    const {occurrence} = address;
    if (occurrences.has(occurrence)) continue;
    if (!doneOccurrences.has(occurrence)) found.push(address);
  }
  return found;
}

/** Tracks the leases of the tasks that an owner placed on one worker. */
import type {PlacedTask} from '@dragonflyward/policy';

/** Timeout of calls to a worker. */
export const WORKER_CALL_TIMEOUT_MS = 2_000;
/** How long a call may be delayed in the network beyond its timeout. */
export const NETWORK_DELAY_MARGIN_MS = 3_000;
/** Largest assumed relative difference between the rates of two clocks. */
const MAX_CLOCK_RATE_ERROR = 0.01;

interface LeaseEntry {
  readonly task: PlacedTask;
  /** When the newest start or renewal was sent. */
  sentMs: number;
  /** If a list requested after this time lacks the task, it is not running. */
  absentAfterMs: number;
  /** Whether the worker has answered the start or listed the task. */
  isConfirmed: boolean;
}

/**
 * Computes when a lease has certainly expired on the worker, whatever delay
 * the latest renewal had.
 *
 * @example
 * if (nowMs > leaseExpiryMs(sentMs, 20_000)) free(task);
 */
export function leaseExpiryMs(sentMs: number, leaseMs: number): number {
  const maxLeaseMs = leaseMs * (1 + MAX_CLOCK_RATE_ERROR);
  const maxDelayMs = WORKER_CALL_TIMEOUT_MS + NETWORK_DELAY_MARGIN_MS;
  return sentMs + maxLeaseMs + maxDelayMs;
}

/** The leases on one worker. */
export class LeaseTable {
  private readonly entries = new Map<string, LeaseEntry>();

  constructor(private readonly leaseMs: number) {}

  /** Records a start that is about to be sent. */
  recordStart(task: PlacedTask, nowMs: number, startWithinMs: number): void {
    const absentAfterMs = nowMs + startWithinMs + NETWORK_DELAY_MARGIN_MS;
    const times = {sentMs: nowMs, absentAfterMs};
    this.entries.set(task.taskId, {task, ...times, isConfirmed: false});
  }

  /** Records a task that a worker was found to run after a takeover. */
  recordAdopted(task: PlacedTask, nowMs: number): void {
    const times = {sentMs: nowMs, absentAfterMs: nowMs};
    this.entries.set(task.taskId, {task, ...times, isConfirmed: true});
  }

  /** Records that the worker reported the task as running. */
  recordConfirmed(taskId: string, nowMs: number): void {
    const entry = this.entries.get(taskId);
    if (entry === undefined) return;
    entry.absentAfterMs = Math.min(entry.absentAfterMs, nowMs);
    entry.isConfirmed = true;
  }

  /** Whether the worker is known to have started the task. */
  isConfirmed(taskId: string): boolean {
    return this.entries.get(taskId)?.isConfirmed ?? false;
  }

  /** Records a renewal that is about to be sent; returns its task ids. */
  recordRenewal(nowMs: number): readonly string[] {
    for (const entry of this.entries.values()) entry.sentMs = nowMs;
    return [...this.entries.keys()];
  }

  /** Forgets a task. */
  remove(taskId: string): void {
    this.entries.delete(taskId);
  }

  /** The task, if the worker has, or may have, a lease for it. */
  find(taskId: string): PlacedTask | undefined {
    return this.entries.get(taskId)?.task;
  }

  /** All tasks. */
  *tasks(): Generator<PlacedTask> {
    for (const {task} of this.entries.values()) yield task;
  }

  /** Number of tasks. */
  get size(): number {
    return this.entries.size;
  }

  /**
   * Yields the tasks that are not running, as they are absent from a list
   * that was requested at the given time.
   */
  *absent(listed: ReadonlySet<string>, askedMs: number): Generator<PlacedTask> {
    for (const {task, absentAfterMs} of this.entries.values()) {
      if (listed.has(task.taskId)) continue;
      if (askedMs > absentAfterMs) yield task;
    }
  }

  /** Yields the tasks whose leases have certainly expired. */
  *expired(nowMs: number): Generator<PlacedTask> {
    for (const {task, sentMs} of this.entries.values()) {
      if (nowMs > leaseExpiryMs(sentMs, this.leaseMs)) yield task;
    }
  }
}

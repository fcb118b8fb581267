/** The leases of the tasks that an owner placed on one worker. */
import type {PlacedTask} from '@dragonflyward/policy';

/** How long a call to a worker may take. */
export const WORKER_CALL_TIMEOUT_MS = 2_000;
/** Longest delay of bytes in the network, beyond a call's time-out. */
export const NETWORK_DELAY_MARGIN_MS = 3_000;
/** How far clock rates may differ. */
const MAX_CLOCK_RATE_ERROR = 0.01;

interface LeaseEntry {
  readonly task: PlacedTask;
  /** When the newest start or renewal was sent. */
  sentMs: number;
  /** A list without the task, asked for later, shows that it does not run. */
  decidedMs: number;
}

/**
 * Computes when a lease must have run out on the worker, whatever delays the
 * newest renewal had.
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

  /** Notes a start that is about to be sent. */
  noteStart(task: PlacedTask, nowMs: number, startWithinMs: number): void {
    const decidedMs = nowMs + startWithinMs + NETWORK_DELAY_MARGIN_MS;
    this.entries.set(task.taskId, {task, sentMs: nowMs, decidedMs});
  }

  /** Notes a task that was found running. */
  noteAdopted(task: PlacedTask, nowMs: number): void {
    const entry = {task, sentMs: nowMs, decidedMs: nowMs};
    this.entries.set(task.taskId, entry);
  }

  /** Notes that the worker was seen to run the task. */
  noteConfirmed(taskId: string, nowMs: number): void {
    const entry = this.entries.get(taskId);
    if (entry === undefined) return;
    entry.decidedMs = Math.min(entry.decidedMs, nowMs);
  }

  /** Notes a renewal of all tasks that is about to be sent. */
  noteRenewal(nowMs: number): readonly string[] {
    for (const entry of this.entries.values()) entry.sentMs = nowMs;
    return [...this.entries.keys()];
  }

  /** Forgets a task. */
  remove(taskId: string): void {
    this.entries.delete(taskId);
  }

  /** The task, where the worker holds, or may hold, a lease for it. */
  find(taskId: string): PlacedTask | undefined {
    return this.entries.get(taskId)?.task;
  }

  /** All tasks. */
  *tasks(): Generator<PlacedTask> {
    for (const {task} of this.entries.values()) yield task;
  }

  /** How many tasks there are. */
  get size(): number {
    return this.entries.size;
  }

  /**
   * Lists the tasks that a list without them, asked for at the given time,
   * shows not to run.
   */
  *absent(listed: ReadonlySet<string>, askedMs: number): Generator<PlacedTask> {
    for (const {task, decidedMs} of this.entries.values()) {
      if (listed.has(task.taskId)) continue;
      if (askedMs > decidedMs) yield task;
    }
  }

  /** Lists the tasks whose leases must have run out. */
  *expired(nowMs: number): Generator<PlacedTask> {
    for (const {task, sentMs} of this.entries.values()) {
      if (nowMs > leaseExpiryMs(sentMs, this.leaseMs)) yield task;
    }
  }
}

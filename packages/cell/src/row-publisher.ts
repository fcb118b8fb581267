/**
 * Tells the other VMs of jobs whose phase has changed, in batches. The VM that
 * took a job, whose caller asks for it, is told of its end at once. The pause
 * between two batches grows with the number of VMs, so that their cost does not.
 */
import type {Clock} from '@dragonflyward/common';
import type {JobRow, JobsNotice} from './messages.js';
import {isFinal} from './types.js';

/** Pause between two batches for each VM that gets them, in ms. */
const BATCH_PAUSE_PER_VM_MS = 2;
const MIN_BATCH_PAUSE_MS = 50;
const MAX_BATCH_PAUSE_MS = 250;
/** The most jobs whose taker is remembered. */
const MAX_TAKEN_JOBS = 20_000;

/** A connected VM. */
export interface RowReceiver<Connection> {
  readonly vm: string;
  readonly connection: Connection;
}

/** Dependencies of the publisher. */
export interface RowPublisherDeps<Connection> {
  readonly clock: Clock;
  readonly term: number;
  readonly receivers: () => Iterable<RowReceiver<Connection>>;
  /** The rows that a VM needs which has just connected. */
  readonly currentRows: () => readonly JobRow[];
  readonly send: (
    connections: readonly Connection[],
    notice: JobsNotice,
  ) => void;
  /** Called before a batch if VMs have connected since the last one. */
  readonly onNewReceivers: () => void;
}

/** Publishes the rows of one owner. */
export class RowPublisher<Connection> {
  private readonly pending = new Map<string, JobRow>();
  private readonly takers = new Map<string, string>();
  /** Connections that have been sent the current rows. */
  private informed = new Set<Connection>();
  private isClosed = false;

  constructor(private readonly deps: RowPublisherDeps<Connection>) {}

  /** Sends batches until it is closed. */
  async run(): Promise<void> {
    while (!this.isClosed) {
      const count = this.flush();
      const pauseMs = Math.max(
        MIN_BATCH_PAUSE_MS,
        Math.min(MAX_BATCH_PAUSE_MS, count * BATCH_PAUSE_PER_VM_MS),
      );
      await this.deps.clock.sleep(pauseMs);
    }
  }

  /** Stops publishing. */
  close(): void {
    this.isClosed = true;
  }

  /** Records which VM took a job from its caller. */
  recordTaker(jobId: string, vm: string): void {
    this.takers.set(jobId, vm);
    if (this.takers.size <= MAX_TAKEN_JOBS) return;
    const [oldest] = this.takers.keys();
    if (oldest !== undefined) this.takers.delete(oldest);
  }

  /** Publishes rows that have changed. */
  publish(rows: readonly JobRow[]): void {
    if (this.isClosed) return;
    const byTaker = new Map<string, JobRow[]>();
    for (const row of rows) {
      this.pending.set(row.id, row);
      const taker = this.takers.get(row.id);
      if (taker === undefined || !isFinal(row.phase)) continue;
      this.takers.delete(row.id);
      const taken = byTaker.get(taker);
      if (taken === undefined) byTaker.set(taker, [row]);
      else taken.push(row);
    }
    if (byTaker.size === 0) return;
    for (const {vm, connection} of this.deps.receivers()) {
      const taken = byTaker.get(vm);
      if (taken === undefined || !this.informed.has(connection)) continue;
      this.send([connection], taken, false);
    }
  }

  /**
   * Sends what has changed, and all rows to VMs that have just connected.
   *
   * @returns the number of connected VMs
   */
  private flush(): number {
    const connections = [...this.deps.receivers()].map(each => each.connection);
    const old = connections.filter(each => this.informed.has(each));
    const added = connections.filter(each => !this.informed.has(each));
    const changed = [...this.pending.values()];
    if (changed.length > 0) this.send(old, changed, false);
    this.pending.clear();
    if (added.length > 0) {
      this.deps.onNewReceivers();
      this.send(added, this.deps.currentRows(), true);
    }
    this.informed = new Set(connections);
    return connections.length;
  }

  private send(
    connections: readonly Connection[],
    rows: readonly JobRow[],
    isFull: boolean,
  ): void {
    if (connections.length === 0) return;
    const {term} = this.deps;
    this.deps.send(connections, {type: 'jobs', term, isFull, rows});
  }
}

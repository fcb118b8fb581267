/** The tasks that keep the table of allowances: one plans, one per shard. */
import {
  fitsIn,
  type Clock,
  type EventRing,
  type Resources,
} from '@dragonflyward/common';
import type {StreamTail, StreamWriter} from '@dragonflyward/log';
import {planAllowances, type AllowanceInput} from './allowance-plan.js';
import type {AllowanceState} from './allowance-state.js';
import {
  RECORD_VERSION,
  type AllowanceAckRecord,
  type AllowanceRecord,
} from './records.js';

const PLAN_INTERVAL_MS = 1_000;
const ACK_CHECK_INTERVAL_MS = 200;
const MAX_CHANGES_PER_RECORD = 2_000;

/**
 * Names the shard whose owner keeps the table of allowances.
 *
 * @example
 * if (budgetShard(domains) === shard) void budget.run(isWanted);
 */
export function budgetShard(shards: readonly string[]): string | undefined {
  return [...shards].sort()[0];
}

/** What both tasks need. */
export interface AllowanceTaskOptions {
  readonly table: AllowanceState;
  /** Follows the allowance stream into `table`. */
  readonly tail: StreamTail;
  readonly writer: StreamWriter;
  readonly clock: Clock;
  readonly events: EventRing;
}

/** What the planning task needs. */
export interface BudgetOptions extends AllowanceTaskOptions {
  /** The term in the budget shard; undefined while it may not act. */
  readonly term: () => number | undefined;
  /** Limits, shards and demands as they are known now. */
  readonly input: () => Omit<AllowanceInput, 'table'>;
}

/** Plans the table; run by the owner of the budget shard. */
export class BudgetTask {
  constructor(private readonly options: BudgetOptions) {}

  /** Plans once a second, for as long as it is wanted. */
  async run(shouldRun: () => boolean): Promise<void> {
    while (shouldRun()) {
      await this.plan();
      await this.options.clock.sleep(PLAN_INTERVAL_MS);
    }
  }

  /** Plans and writes one change of the table, where one is due. */
  async plan(): Promise<void> {
    const {
      table,
      term: currentTerm,
      input,
      writer,
      events,
      tail,
    } = this.options;
    const term = currentTerm();
    if (term === undefined || !table.isComplete || !tail.isUp) return;
    const changes = planAllowances({...input(), table});
    if (changes.length === 0) return;
    const record: AllowanceRecord = {
      v: RECORD_VERSION,
      type: 'allowances',
      prevVersion: table.version,
      term,
      changes: changes.slice(0, MAX_CHANGES_PER_RECORD),
    };
    const result = await writer.write(record).catch(() => undefined);
    if (result !== 'applied') return;
    events.add('allowanceChanged', {term}, `${record.changes.length} changes`);
  }
}

/** What a shard's task needs. */
export interface KeeperOptions extends AllowanceTaskOptions {
  readonly shard: string;
  /** The shard's term; undefined while this process may not act for it. */
  readonly term: () => number | undefined;
  /** All that counts against the team here, unconfirmed stops included. */
  readonly running: (team: string) => Resources;
}

/** Keeps a shard to the table and acknowledges what it was made to give up. */
export class AllowanceKeeper {
  constructor(private readonly options: KeeperOptions) {}

  /**
   * Whether the table was read to its end after the given monotonic time. A
   * new owner starts nothing before, as its predecessor may have
   * acknowledged what it has not read yet.
   *
   * @example
   * if (!keeper.isReadSince(tookOverMs)) return;
   */
  isReadSince(sinceMs: number): boolean {
    const {table, tail} = this.options;
    return table.isComplete && tail.lastProofMs >= sinceMs;
  }

  /** What the team may have running in this shard. */
  amount(team: string): Resources {
    return this.options.table.amount(team, this.options.shard);
  }

  /** Acknowledges when it can, for as long as it is wanted. */
  async run(shouldRun: () => boolean): Promise<void> {
    while (shouldRun()) {
      const ack = this.dueAck();
      if (ack !== undefined) await this.tryWrite(ack);
      await this.options.clock.sleep(ACK_CHECK_INTERVAL_MS);
    }
  }

  /** The acknowledgement that is due, if all that runs keeps to the table. */
  dueAck(): AllowanceAckRecord | undefined {
    const {table, shard, term: currentTerm} = this.options;
    const term = currentTerm();
    if (term === undefined || !table.isComplete) return undefined;
    if (!this.isAckNeeded() || !this.isWithinAllowances()) return undefined;
    const {version} = table;
    return {v: RECORD_VERSION, type: 'allowanceAck', shard, term, version};
  }

  private isAckNeeded(): boolean {
    const {table, shard} = this.options;
    return table.teams().some(team => {
      const charge = table.charge(team, shard);
      return !fitsIn(charge, table.amount(team, shard));
    });
  }

  private isWithinAllowances(): boolean {
    const {table, running} = this.options;
    return table.teams().every(t => fitsIn(running(t), this.amount(t)));
  }

  private async tryWrite(ack: AllowanceAckRecord): Promise<void> {
    try {
      await this.options.writer.write(ack);
    } catch {
      // The next round finds the acknowledgement still due.
    }
  }
}

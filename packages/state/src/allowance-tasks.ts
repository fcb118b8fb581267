/**
 * Tasks for the table of allowances: one plans it, one per shard applies it.
 */
import {
  fitsIn,
  type Clock,
  type EventRing,
  type Resources,
} from '@dragonflyward/common';
import type {StreamTail, StreamWriter} from '@dragonflyward/log';
import {planAllowances, type AllowancePlanInput} from './allowance-plan.js';
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
 * Returns the shard whose owner plans the table of allowances.
 *
 * @example
 * if (plannerShard(domains) === shard) void planner.run(shouldRun);
 */
export function plannerShard(shards: readonly string[]): string | undefined {
  return [...shards].sort()[0];
}

/** Options of both tasks. */
export interface AllowanceTaskOptions {
  readonly table: AllowanceState;
  /** Follows the allowance stream into `table`. */
  readonly tail: StreamTail;
  readonly writer: StreamWriter;
  readonly clock: Clock;
  readonly events: EventRing;
}

/** Options of the planning task. */
export interface AllowancePlannerOptions extends AllowanceTaskOptions {
  /**
   * The term of the planner's shard; undefined while this process may not act
   * for it.
   */
  readonly term: () => number | undefined;
  /** Returns the current limits, shards and demands. */
  readonly input: () => Omit<AllowancePlanInput, 'table'>;
}

/** Plans the table; run by the owner of the planner's shard. */
export class AllowancePlanner {
  constructor(private readonly options: AllowancePlannerOptions) {}

  /** Plans once a second until told to stop. */
  async run(shouldRun: () => boolean): Promise<void> {
    while (shouldRun()) {
      await this.plan();
      await this.options.clock.sleep(PLAN_INTERVAL_MS);
    }
  }

  /** Plans and writes one change of the table, if there is one to make. */
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

/** Options of a shard's task. */
export interface ShardAllowancesOptions extends AllowanceTaskOptions {
  readonly shard: string;
  /** The shard's term; undefined while this process may not act for it. */
  readonly term: () => number | undefined;
  /**
   * Everything that counts against the team here, including tasks whose stop is
   * not confirmed.
   */
  readonly running: (team: string) => Resources;
}

/** Provides the allowances of a shard and acknowledges reductions of them. */
export class ShardAllowances {
  constructor(private readonly options: ShardAllowancesOptions) {}

  /**
   * Whether the table was read to its end after the given monotonic time. A new
   * owner starts nothing before that, because its predecessor may have
   * acknowledged a reduction that it has not read yet.
   *
   * @example
   * if (!allowances.isReadSince(tookOverMs)) return;
   */
  isReadSince(sinceMs: number): boolean {
    const {table, tail} = this.options;
    return table.isComplete && tail.lastCaughtUpMs >= sinceMs;
  }

  /** What the team may have running in this shard. */
  amount(team: string): Resources {
    return this.options.table.amount(team, this.options.shard);
  }

  /** Writes acknowledgements that are due until told to stop. */
  async run(shouldRun: () => boolean): Promise<void> {
    while (shouldRun()) {
      const ack = this.dueAck();
      if (ack !== undefined) await this.tryWrite(ack);
      await this.options.clock.sleep(ACK_CHECK_INTERVAL_MS);
    }
  }

  /**
   * Returns the acknowledgement that is due, provided that all running work
   * fits the table.
   */
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
      // The acknowledgement is still due at the next check, which retries it.
    }
  }
}

/** Read access to what each team may have running in each shard. */
import type {StreamTail, StreamWriter} from '@dragonflyward/log';
import type {Allowance, AllowanceState} from '@dragonflyward/state';

/** The allowances as a shard's owner reads them. */
export abstract class AllowanceView {
  abstract readonly table: AllowanceState;
  abstract readonly tail: StreamTail;
  abstract readonly writer: StreamWriter;

  /** The amounts that the latest table gives to a shard. */
  abstract amountsOf(shard: string): readonly Allowance[];

  /**
   * Whether the table was read to its end since a monotonic time, and was
   * planned before.
   */
  abstract isReadSince(sinceMs: number): boolean;
}

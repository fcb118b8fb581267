/** What each team may have running in each shard. */
import type {Allowance} from '@dragonflyward/state';

/** The allowances as a shard's owner reads them. */
export abstract class AllowanceView {
  /** The amounts that hold in a shard at this instant. */
  abstract amountsOf(shard: string): readonly Allowance[];
}

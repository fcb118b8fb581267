/** Follows the allowance table; divides limits while this process owns it. */
import {
  scaleResources,
  type Clock,
  type EventRing,
  type Metrics,
} from '@dragonflyward/common';
import type {LogClient} from '@dragonflyward/log';
import type {Allowance, ConfigState} from '@dragonflyward/state';
import {AllowanceView} from './allowance-view.js';
import type {Membership} from './membership.js';
import type {ShardTask} from './shard-task.js';

/** The parts that the task needs. */
export interface AllowanceTaskParts {
  readonly log: LogClient;
  readonly config: ConfigState;
  readonly membership: Membership;
  readonly shards: ReadonlyMap<string, ShardTask>;
  readonly clock: Clock;
  readonly events: EventRing;
  readonly metrics: Metrics;
}

/** Divides each team's limit evenly among the shards. */
export class AllowanceTask extends AllowanceView {
  constructor(private readonly parts: AllowanceTaskParts) {
    super();
  }

  /** Starts to follow the table. */
  start(): void {
    this.parts.metrics.gauge('allowance_shards', () => this.shardCount());
  }

  /** Ends all loops. */
  stop(): void {
    // Nothing runs yet.
  }

  override amountsOf(shard: string): readonly Allowance[] {
    const share = 1 / Math.max(1, this.shardCount());
    return [...this.parts.config.teams()].map(([team, {limit}]) => ({
      team,
      shard,
      amount: scaleResources(limit, share),
    }));
  }

  private shardCount(): number {
    return this.parts.membership.domains().length;
  }
}

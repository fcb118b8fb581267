/** The executors that do not answer an owner, for the next one. */
import type {Clock} from '@dragonflyward/common';
import type {CellState} from './cell-state.js';
import type {FormerOwnerRuns} from './former-owner-runs.js';
import type {NamedOrders} from './last-orders.js';

/** Dependencies of the description. */
export interface SilentExecutorsDeps {
  readonly state: CellState;
  readonly formerOwnerRuns: FormerOwnerRuns;
  readonly clock: Clock;
}

/** Describes the last orders to executors that do not answer. */
export class SilentExecutors {
  constructor(private readonly deps: SilentExecutorsDeps) {}

  /** The last orders to those that do not answer. */
  describe(): readonly NamedOrders[] {
    const {state, formerOwnerRuns, clock} = this.deps;
    const nowMs = clock.monotonicMs();
    const named: NamedOrders[] = [];
    for (const executor of state.executors.values()) {
      const orders = formerOwnerRuns.describeOrders(executor, nowMs);
      if (orders !== null) named.push({id: executor.info.id, ...orders});
    }
    return named;
  }
}

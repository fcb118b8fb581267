/** The executors that do not answer an owner, for the next one. */
import type {Clock} from '@dragonflyward/common';
import type {CellState} from './cell-state.js';
import type {ExecutorState} from './executor-state.js';
import type {FormerOwnerRuns} from './former-owner-runs.js';
import {JUST_NOW, type LastOrders, type NamedOrders} from './last-orders.js';
import {chooseHeld} from './order-holds.js';

/** By then, it is stored that an executor is gone, in ms. */
const STORED_AFTER_MS = 5000;

/** Dependencies of the description. */
export interface SilentExecutorsDeps {
  readonly state: CellState;
  readonly formerOwnerRuns: FormerOwnerRuns;
  readonly clock: Clock;
}

interface GoneExecutor {
  readonly orders: LastOrders;
  readonly goneMs: number;
}

/** Describes the last orders to executors that do not answer. */
export class SilentExecutors {
  /** Those that the owner has dropped; the store may still name them. */
  private readonly gone = new Map<string, GoneExecutor>();

  constructor(private readonly deps: SilentExecutorsDeps) {}

  /** Records an executor that the owner drops now. */
  recordGone(executor: ExecutorState): void {
    const {formerOwnerRuns, clock} = this.deps;
    const goneMs = clock.monotonicMs();
    const orders = formerOwnerRuns.describeOrders(executor, goneMs) ?? JUST_NOW;
    this.gone.set(executor.info.id, {orders, goneMs});
  }

  /** Records that an executor is used, perhaps again. */
  recordUsed({info}: ExecutorState): void {
    this.gone.delete(info.id);
  }

  /** The last orders to those that do not answer or were just dropped. */
  describe(): readonly NamedOrders[] {
    const {state, formerOwnerRuns, clock} = this.deps;
    const nowMs = clock.monotonicMs();
    const named = [...this.describeGone(nowMs)];
    for (const executor of state.executors.values()) {
      const orders = formerOwnerRuns.describeOrders(executor, nowMs);
      if (orders !== null) named.push({id: executor.info.id, ...orders});
    }
    return named;
  }

  /**
   * The last orders to those that get none while a heartbeat names them.
   *
   * @param areAnswersDue whether one that has not answered by now gets none
   * @param toldIds those that a former owner named, which get none before
   */
  describeHeld(
    areAnswersDue: boolean,
    toldIds: ReadonlySet<string>,
  ): readonly NamedOrders[] {
    const {state, formerOwnerRuns} = this.deps;
    const isAwaited = (id: string): boolean => {
      const executor = state.executors.get(id);
      return executor !== undefined && formerOwnerRuns.isAwaited(executor);
    };
    const named = this.describe().filter(
      ({id}) => areAnswersDue || toldIds.has(id) || !isAwaited(id),
    );
    return chooseHeld(named, id => areAnswersDue && isAwaited(id));
  }

  private *describeGone(nowMs: number): Generator<NamedOrders> {
    for (const [id, {orders, goneMs}] of this.gone) {
      const passedMs = nowMs - goneMs;
      if (passedMs > STORED_AFTER_MS) this.gone.delete(id);
      else yield {id, ...ageOrders(orders, passedMs)};
    }
  }
}

function ageOrders(orders: LastOrders, passedMs: number): LastOrders {
  return {...orders, agoMs: orders.agoMs + passedMs};
}

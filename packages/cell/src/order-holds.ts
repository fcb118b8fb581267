/** Executors that get no orders until a record says so no more. */
import type {ExecutorState} from './executor-state.js';
import type {NamedOrders} from './last-orders.js';

/**
 * The most executors that one heartbeat of an owner names: more than a failure
 * domain holds.
 */
const MAX_HELD_EXECUTORS = 400;
/** An executor that was silent for less time may just be slow, in ms. */
const HELD_AFTER_MS = 1000;

/** Executors that get no orders from an owner. */
export interface HeldOrders {
  readonly executors: readonly NamedOrders[];
  /** Whether no others get any either. */
  readonly isAll: boolean;
}

/**
 * Chooses the executors that a heartbeat names: those that have had no order
 * for longest, for which a claimant would wait in vain.
 *
 * @param isUntouched whether an executor has had no order of this owner
 * @example
 * const held = chooseHeld(executors, id => !reachedIds.has(id));
 */
export function chooseHeld(
  executors: readonly NamedOrders[],
  isUntouched: (id: string) => boolean = () => false,
): readonly NamedOrders[] {
  return executors
    .filter(({runs}) => !isIdle(runs))
    .filter(({id, agoMs}) => agoMs >= HELD_AFTER_MS || isUntouched(id))
    .sort((a, b) => b.agoMs - a.agoMs)
    .slice(0, MAX_HELD_EXECUTORS)
    .map(withoutRuns);
}

/** No task waits for an executor of which it was told that it runs nothing. */
function isIdle(runs: readonly string[] | undefined): boolean {
  return runs?.length === 0;
}

/** An owner in office may not tell what runs; see `stopNotice`. */
function withoutRuns({id, agoMs}: NamedOrders): NamedOrders {
  return {id, agoMs};
}

/**
 * Follows which executors a record of this owner may name. A claimant counts
 * on it that the owner starts nothing there and extends no lease.
 */
export class OrderHolds {
  private ids: ReadonlySet<string>;
  private isAll: boolean;

  /**
   * @param held what the stored record says
   */
  constructor({executors, isAll}: HeldOrders) {
    this.ids = toIds(executors);
    this.isAll = isAll;
  }

  /** Whether the executor may get no orders. */
  isHeld(id: string): boolean {
    return this.isAll || this.ids.has(id);
  }

  /** Whether it gets none even where a record does not say so of all. */
  isNamed(id: string): boolean {
    return this.ids.has(id);
  }

  /** Call it before a record is sent: it may be stored without an answer. */
  recordSent({executors, isAll}: HeldOrders): void {
    this.ids = new Set([...this.ids, ...toIds(executors)]);
    this.isAll ||= isAll;
  }

  /**
   * Call it when a record is confirmed: of those before it, none is stored
   * later, since all are appended at fixed offsets.
   */
  recordConfirmed({executors, isAll}: HeldOrders): void {
    this.ids = toIds(executors);
    this.isAll = isAll;
  }
}

/**
 * Marks the executors that get no orders, before a scheduling round.
 *
 * @param isEnding whether the next record names only some executors
 * @example
 * markHeld(state.executors.values(), ownership, true);
 */
export function markHeld(
  executors: Iterable<ExecutorState>,
  holds: Pick<OrderHolds, 'isHeld' | 'isNamed'>,
  isEnding: boolean,
): void {
  for (const executor of executors) {
    const {id} = executor.info;
    executor.isHeld = holds.isHeld(id);
    executor.isHeldBriefly = executor.isHeld && isEnding && !holds.isNamed(id);
  }
}

function toIds(executors: readonly NamedOrders[]): ReadonlySet<string> {
  return new Set(executors.map(({id}) => id));
}

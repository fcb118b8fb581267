/** The owners of earlier terms that were not seen to stop. */
import type {Clock} from '@dragonflyward/common';
import type {OwnerAddress} from './ownership.js';

/** The most by which the clocks of two VMs differ in rate, with a margin. */
export const CLOCK_RATE_FACTOR = 1.03;
/** The most owners that are named; the others are kept as one. */
const MAX_NAMED_OWNERS = 8;
/** An owner that stopped this long ago has no lease left, in ms. */
const FORGET_AFTER_MS = 20_000;

/**
 * An owner that was not seen to stop. Times are in ms from when this was
 * written, and negative if they have passed.
 */
export interface FormerOwner {
  /** Empty for one whose VM is not known. */
  readonly vm: string;
  readonly incarnation: number;
  /** How long it may start tasks at most. */
  readonly startMs: number;
  /** How long it may act at most. */
  readonly actMs: number;
  /** Executors that surely get no more orders from it; none if missing. */
  readonly heldIds?: readonly string[];
}

interface Deadline {
  readonly vm: string;
  readonly incarnation: number;
  readonly heldIds: ReadonlySet<string>;
  startUntilMs: number;
  actUntilMs: number;
}

/**
 * A time to come, or one that has passed if negative, as it may at most be on
 * the clock of another VM.
 *
 * @example
 * const untilMs = nowMs + stretchTime(leftMs);
 */
export function stretchTime(ms: number): number {
  return ms > 0 ? ms * CLOCK_RATE_FACTOR : ms / CLOCK_RATE_FACTOR;
}

/**
 * Takes in that earlier processes and terms of a VM have ended by now. They
 * stay in the list: what they ordered until then counts.
 *
 * @example
 * const formerOwners = endOwnersOf(self.vm, notice.formerOwners);
 */
export function endOwnersOf(
  vm: string,
  owners: readonly FormerOwner[],
): readonly FormerOwner[] {
  return owners.map(owner =>
    owner.vm === vm
      ? {
          ...owner,
          startMs: Math.min(0, owner.startMs),
          actMs: Math.min(0, owner.actMs),
        }
      : owner,
  );
}

/** Follows until when former owners may act, on this VM's clock. */
export class FormerOwners {
  private readonly deadlines: Deadline[] = [];

  /**
   * @param readMs when the times in `owners` began to count, or later
   */
  constructor(
    owners: readonly FormerOwner[],
    readMs: number,
    private readonly clock: Clock,
  ) {
    this.add(owners, readMs);
  }

  /**
   * Adds owners whose times began to count at another moment.
   *
   * @param sinceMs when they did, or later
   */
  add(owners: readonly FormerOwner[], sinceMs: number): void {
    const added = owners.map(({vm, incarnation, startMs, actMs, heldIds}) => ({
      vm,
      incarnation,
      heldIds: new Set(heldIds),
      startUntilMs: sinceMs + stretchTime(startMs),
      actUntilMs: sinceMs + stretchTime(actMs),
    }));
    this.deadlines.push(...added);
  }

  /** Takes in that all owners of a VM have ended by now. */
  endAll(vm: string): void {
    const nowMs = this.clock.monotonicMs();
    for (const each of this.deadlines.filter(owner => owner.vm === vm)) {
      each.startUntilMs = Math.min(each.startUntilMs, nowMs);
      each.actUntilMs = Math.min(each.actUntilMs, nowMs);
    }
  }

  /** By when all have surely stopped to start tasks; -Infinity for none. */
  get startUntilMs(): number {
    return Math.max(...this.deadlines.map(each => each.startUntilMs));
  }

  /** By when all have surely stopped acting; -Infinity for none. */
  get actUntilMs(): number {
    return Math.max(...this.deadlines.map(each => each.actUntilMs));
  }

  /** By when all have surely stopped to give orders to the executor. */
  ordersUntilMs(executorId: string): number {
    const owners = this.deadlines.filter(
      ({heldIds}) => !heldIds.has(executorId),
    );
    return Math.max(...owners.map(each => each.actUntilMs));
  }

  /**
   * Records that a VM runs a new process: its earlier ones have ended.
   *
   * @returns whether one of the owners could still act until now
   */
  recordProcess({vm, incarnation}: OwnerAddress): boolean {
    const nowMs = this.clock.monotonicMs();
    const ended = this.deadlines.filter(
      each =>
        each.vm === vm &&
        each.incarnation < incarnation &&
        each.actUntilMs > nowMs,
    );
    for (const each of ended) {
      each.startUntilMs = Math.min(each.startUntilMs, nowMs);
      each.actUntilMs = nowMs;
    }
    return ended.length > 0;
  }

  /** What the next owner has to know of them. */
  describe(): readonly FormerOwner[] {
    const nowMs = this.clock.monotonicMs();
    const owners = this.deadlines
      .filter(({actUntilMs}) => actUntilMs + FORGET_AFTER_MS > nowMs)
      .map(({vm, incarnation, startUntilMs, actUntilMs, heldIds}) => ({
        vm,
        incarnation,
        startMs: startUntilMs - nowMs,
        actMs: actUntilMs - nowMs,
        ...(heldIds.size === 0 ? {} : {heldIds: [...heldIds]}),
      }));
    if (owners.length <= MAX_NAMED_OWNERS) return owners;
    const unnamed = owners.slice(MAX_NAMED_OWNERS);
    return [...owners.slice(0, MAX_NAMED_OWNERS), mergeOwners(unnamed)];
  }
}

function mergeOwners(owners: readonly FormerOwner[]): FormerOwner {
  return {
    vm: '',
    incarnation: 0,
    startMs: Math.max(...owners.map(({startMs}) => startMs)),
    actMs: Math.max(...owners.map(({actMs}) => actMs)),
  };
}

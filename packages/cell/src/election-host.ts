/** What an election needs of its VM. */
import type {Clock, Metrics} from '@dragonflyward/common';
import type {OrdersNotice} from './last-orders.js';
import type {Members} from './members.js';
import type {OwnerAddress, Ownership} from './ownership.js';
import type {LogFunction} from './platform.js';
import type {Store} from './store.js';
import type {ExecutorSilence} from './tenure.js';

/** Callbacks of the VM for changes of the owner. */
export interface ElectionHost {
  /**
   * Starts to act as the owner.
   *
   * @returns false if the ownership was lost in the meantime
   */
  readonly becomeOwner: (ownership: Ownership) => Promise<boolean>;
  /** When the load of `becomeOwner` last made progress; monotonic clock. */
  readonly loadProgressMs: () => number;
  /** How many executors with work do not answer the owner on this VM. */
  readonly executorSilence: () => ExecutorSilence;
  /** Whether the VM has a configuration, without which an owner starts nothing. */
  readonly hasConfig: () => boolean;
  /** Stops sending orders; does nothing on a VM that is not the owner. */
  readonly stopActing: () => void;
  /**
   * The last orders that were sent to executors, after `stopActing`; null on a
   * VM whose owner has not started to act.
   */
  readonly describeOrders: () => OrdersNotice | null;
  /** Discards the owner's state. */
  readonly discardOwner: () => void;
  /** Called when the VM has had no owner for a while, or has one again. */
  readonly setDetached: (isDetached: boolean) => void;
  /** Sends the owner known here, and the VM's state, to the other VMs. */
  readonly announce: () => void;
}

/** Dependencies of an election. */
export interface ElectionDeps {
  readonly self: OwnerAddress;
  readonly domain: string;
  /** Cores that the VM may use. */
  readonly cores: number;
  readonly members: Members;
  readonly store: Store;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: LogFunction;
}

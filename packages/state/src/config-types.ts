/** What operators publish: defaults, exceptions and keys. */
import type {Resources} from '@dragonflyward/common';

/** How a queue's work ranks against other work. */
export type Priority = 'urgent' | 'normal' | 'batch';

/** A queue: where requests or jobs of one sort wait. */
export interface QueueConfig {
  readonly priority: Priority;
  /** The service whose executors serve requests; empty for job queues. */
  readonly service: string;
  /** Whether work is taken without a key. */
  readonly isOpen: boolean;
  readonly maxBodyBytes: number;
  /** The longest deadline that a request may ask for. */
  readonly maxDeadlineMs: number;
  /** How many requests or jobs may wait in one shard. */
  readonly maxWaiting: number;
  /** Name of the placement policy of this queue. */
  readonly policy: 'pack' | 'spread' | 'gang';
}

/** An organisation; its share is divided among its teams. */
export interface OrganisationConfig {
  readonly share: number;
}

/** A team: its share when the fleet is full and its upper limit. */
export interface TeamConfig {
  readonly organisation: string;
  readonly share: number;
  /** What the team may have running fleet-wide. */
  readonly limit: Resources;
}

/** The defaults that govern the whole fleet. */
export interface Defaults {
  readonly queues: Readonly<Record<string, QueueConfig>>;
  readonly organisations: Readonly<Record<string, OrganisationConfig>>;
  readonly teams: Readonly<Record<string, TeamConfig>>;
}

/** What an exception applies to; one of the parts is set. */
export interface ExceptionScope {
  readonly queue?: string;
  readonly team?: string;
}

/** A departure from the defaults with its written reason. */
export interface Exception {
  readonly id: string;
  readonly scope: ExceptionScope;
  readonly set: Readonly<Partial<QueueConfig & TeamConfig>>;
  readonly reason: string;
}

/** All of the configuration that one revision holds. */
export interface Configuration {
  readonly defaults: Defaults;
  readonly exceptions: readonly Exception[];
}

/** A key as it is kept: never the key itself. */
export interface KeyEntry {
  readonly keyId: string;
  readonly team: string;
  /** SHA-256 of the key, in hex. */
  readonly digest: string;
}

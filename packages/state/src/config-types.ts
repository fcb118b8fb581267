/** Configuration that operators publish: defaults, exceptions and keys. */
import type {Resources} from '@dragonflyward/common';

/** Priority of a queue's work. */
export type Priority = 'urgent' | 'normal' | 'batch';

/** A queue of requests or jobs. */
export interface QueueConfig {
  readonly priority: Priority;
  /** The service whose executors serve requests; empty for job queues. */
  readonly service: string;
  /** Whether work is accepted without a key. */
  readonly isOpen: boolean;
  readonly maxBodyBytes: number;
  /** The longest deadline that a request may set. */
  readonly maxDeadlineMs: number;
  /** How many requests or jobs may wait in one shard. */
  readonly maxWaiting: number;
  /** The placement policy of this queue. */
  readonly policy: 'pack' | 'spread' | 'gang';
}

/** An organisation; its share is divided among its teams. */
export interface OrganisationConfig {
  readonly share: number;
}

/** A team: its share of a fully used fleet, and its upper limit. */
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

/** What an exception applies to; exactly one member is set. */
export interface ExceptionScope {
  readonly queue?: string;
  readonly team?: string;
}

/** An override of defaults, with the reason for it. */
export interface Exception {
  readonly id: string;
  readonly scope: ExceptionScope;
  readonly set: Readonly<Partial<QueueConfig & TeamConfig>>;
  readonly reason: string;
}

/** A failure domain on whose workers no task may start, with the reason. */
export interface ClosedDomain {
  readonly domain: string;
  readonly reason: string;
}

/** The complete configuration of one revision. */
export interface Configuration {
  readonly defaults: Defaults;
  readonly exceptions: readonly Exception[];
  /** Absent if no failure domain is closed, as in older configurations. */
  readonly closedDomains?: readonly ClosedDomain[];
}

/** A key as it is stored: its digest, never the secret. */
export interface KeyEntry {
  readonly keyId: string;
  readonly team: string;
  /** SHA-256 of the key's secret, in hex. */
  readonly digest: string;
}

/** Records of the log streams. */
import type {ProcessRef, Resources} from '@dragonflyward/common';
import type {Configuration, KeyEntry} from './config-types.js';
import type {JobEnd, JobSpec} from './job-types.js';

/** Format version of every record. */
export const RECORD_VERSION = 1;

/** The stream of configuration and keys. */
export const CONFIG_STREAM = 'config';

/** The stream of the teams' allowances in each shard. */
export const ALLOWANCE_STREAM = 'allowances';

const SHARD_STREAM_PREFIX = 'shard-';

/**
 * Returns the name of the stream of a shard's ownership and jobs.
 *
 * @example
 * shardStream('north-1'); // 'shard-north-1'
 */
export function shardStream(shard: string): string {
  return SHARD_STREAM_PREFIX + shard;
}

interface Versioned {
  readonly v: typeof RECORD_VERSION;
}

interface UnderTerm extends Versioned {
  /** The record is void unless this is the shard's term at its offset. */
  readonly term: number;
}

/** Claims a shard. Void unless `prevTerm` and `prevListVersion` are current. */
export interface ClaimRecord extends Versioned {
  readonly type: 'claim';
  readonly prevTerm: number;
  readonly prevListVersion: number;
  readonly owner: ProcessRef;
  readonly successors: readonly ProcessRef[];
}

/** Replaces the successor list. */
export interface SuccessorsRecord extends UnderTerm {
  readonly type: 'successors';
  readonly prevListVersion: number;
  readonly successors: readonly ProcessRef[];
}

/** Hands the shard over to a process that is ready. */
export interface HandoverRecord extends UnderTerm {
  readonly type: 'handover';
  readonly owner: ProcessRef;
  readonly successors: readonly ProcessRef[];
}

/** Accepts a job. */
export interface JobAcceptedRecord extends UnderTerm {
  readonly type: 'jobAccepted';
  readonly acceptedMs: number;
  readonly job: JobSpec;
}

/** States that a non-idempotent task is about to be started. */
export interface TaskStartingRecord extends UnderTerm {
  readonly type: 'taskStarting';
  readonly jobId: string;
  readonly taskIndex: number;
  readonly taskId: string;
  readonly workerId: string;
}

/** States the result of one ended task of a job. */
export interface TaskEndedRecord extends UnderTerm {
  readonly type: 'taskEnded';
  readonly jobId: string;
  readonly taskIndex: number;
  readonly result: string;
}

/** Ends a job. */
export interface JobEndedRecord extends UnderTerm {
  readonly type: 'jobEnded';
  readonly jobId: string;
  readonly end: JobEnd;
  readonly reason: string;
}

/** One part of a snapshot of the state of any stream. */
export interface SnapshotRecord extends Versioned {
  readonly type: 'snapshot';
  readonly snapshotId: string;
  /** The snapshot covers all records before this offset. */
  readonly covers: number;
  readonly part: number;
  readonly parts: number;
  /** JSON of the entries of this part. */
  readonly body: string;
}

/** A record of a shard's stream. */
export type ShardRecord =
  | ClaimRecord
  | SuccessorsRecord
  | HandoverRecord
  | JobAcceptedRecord
  | TaskStartingRecord
  | TaskEndedRecord
  | JobEndedRecord
  | SnapshotRecord;

/** Publishes a complete configuration that is based on a given revision. */
export interface ConfigRecord extends Versioned {
  readonly type: 'config';
  /**
   * The revision that the change is based on. The record is void unless it is
   * the current one.
   */
  readonly base: number;
  readonly author: string;
  readonly reason: string;
  readonly configuration: Configuration;
}

/** Makes a key valid. */
export interface KeyGrantedRecord extends Versioned {
  readonly type: 'keyGranted';
  readonly author: string;
  readonly key: KeyEntry;
}

/** Makes a key permanently invalid. */
export interface KeyWithdrawnRecord extends Versioned {
  readonly type: 'keyWithdrawn';
  readonly author: string;
  readonly keyId: string;
  readonly reason: string;
}

/** A record of the configuration stream. */
export type ConfigStreamRecord =
  ConfigRecord | KeyGrantedRecord | KeyWithdrawnRecord | SnapshotRecord;

/** What one team may have running in one shard. */
export interface Allowance {
  readonly team: string;
  readonly shard: string;
  readonly amount: Resources;
}

/** Changes allowances. Void unless `prevVersion` is the current version. */
export interface AllowanceRecord extends Versioned {
  readonly type: 'allowances';
  readonly prevVersion: number;
  /** The planner's term in its own shard. */
  readonly term: number;
  readonly changes: readonly Allowance[];
}

/** Confirms that a shard complies with the table up to this version. */
export interface AllowanceAckRecord extends Versioned {
  readonly type: 'allowanceAck';
  readonly shard: string;
  readonly term: number;
  readonly version: number;
}

/** A record of the allowance stream. */
export type AllowanceStreamRecord =
  AllowanceRecord | AllowanceAckRecord | SnapshotRecord;

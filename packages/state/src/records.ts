/** The records that the system keeps in log streams. */
import type {ProcessRef, Resources} from '@dragonflyward/common';
import type {Configuration, KeyEntry} from './config-types.js';
import type {JobEnd, JobSpec} from './job-types.js';

/** The version that every record carries. */
export const RECORD_VERSION = 1;

/** The stream of configuration and keys. */
export const CONFIG_STREAM = 'config';

/** The stream of the teams' allowances per shard. */
export const ALLOWANCE_STREAM = 'allowances';

const SHARD_STREAM_PREFIX = 'shard-';

/**
 * Names the stream that holds a shard's ownership and jobs.
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
  /** Void unless it is the shard's term at this point of the stream. */
  readonly term: number;
}

/** Takes a shard; void unless both citations are current. */
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

/** Gives the shard to a prepared successor. */
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

/** Says that a non-idempotent task is about to be started. */
export interface TaskStartingRecord extends UnderTerm {
  readonly type: 'taskStarting';
  readonly jobId: string;
  readonly taskIndex: number;
  readonly taskId: string;
  readonly workerId: string;
}

/** Says how one task of a job ended. */
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

/** One part of the carried-forward state of any of the streams. */
export interface SnapshotRecord extends Versioned {
  readonly type: 'snapshot';
  readonly snapshotId: string;
  /** The state covers all records before this offset. */
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

/** Publishes a whole configuration on a stated base. */
export interface ConfigRecord extends Versioned {
  readonly type: 'config';
  /** Revision that the author had seen; void unless it is the current one. */
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

/** Makes a key invalid for good. */
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

/** Changes allowances; void unless the version is the current one. */
export interface AllowanceRecord extends Versioned {
  readonly type: 'allowances';
  readonly prevVersion: number;
  /** The budget owner's term in its own shard. */
  readonly term: number;
  readonly changes: readonly Allowance[];
}

/** Confirms that a shard keeps to the table up to this version. */
export interface AllowanceAckRecord extends Versioned {
  readonly type: 'allowanceAck';
  readonly shard: string;
  readonly term: number;
  readonly version: number;
}

/** A record of the allowance stream. */
export type AllowanceStreamRecord =
  AllowanceRecord | AllowanceAckRecord | SnapshotRecord;

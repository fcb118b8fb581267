/** The messages between gateways and schedulers. */
import type {
  Failure,
  HybridTime,
  ProcessRef,
  Resources,
} from '@dragonflyward/common';

/** The role of a process. */
export type PeerRole = 'gateway' | 'scheduler';

/** First message on each connection, in both directions. */
export interface Hello {
  readonly type: 'hello';
  readonly role: PeerRole;
  readonly process: ProcessRef;
}

/** Periodic message that shows that the sender is alive. */
export interface Heartbeat {
  readonly type: 'heartbeat';
  readonly at: HybridTime;
  /** Shards that the sender currently owns, with their terms. */
  readonly owns: readonly OwnedShard[];
  /** Offset of the next configuration record that the sender will apply. */
  readonly configOffset: number;
  /** Time since the sender last read the end of the configuration stream. */
  readonly configAgeMs: number;
  readonly isDraining: boolean;
}

/** A shard and its owner's term. */
export interface OwnedShard {
  readonly shard: string;
  readonly term: number;
}

/** Asks a shard's owner for an executor for one request. */
export interface TicketAsk {
  readonly type: 'ticketAsk';
  readonly shard: string;
  readonly requestId: string;
  readonly team: string;
  readonly queue: string;
  readonly service: string;
  readonly deadlineMs: number;
  /** Executors on which this request has already failed. */
  readonly avoid: readonly string[];
}

/** Permits the gateway to send one request to one executor. */
export interface Ticket {
  readonly type: 'ticket';
  readonly ticketId: string;
  readonly shard: string;
  readonly term: number;
  readonly executorId: string;
  readonly ip: string;
  readonly port: number;
  /** The first byte must be sent within this time of the ask, or not at all. */
  readonly startByMs: number;
  /** The connection must be closed within this time of the ask. */
  readonly runByMs: number;
}

/** How the request of a ticket ended. */
export type TicketUse = 'done' | 'notSent' | 'failed' | 'unknown' | 'abandoned';

/** Releases a ticket's slot. */
export interface TicketClose {
  readonly type: 'ticketClose';
  readonly ticketId: string;
  readonly shard: string;
  readonly executorId: string;
  readonly use: TicketUse;
  /** Whether the executor reported that it is draining. */
  readonly isDraining: boolean;
}

/** A ticket that a gateway has not closed yet. */
export interface OpenTicket {
  readonly ticketId: string;
  readonly executorId: string;
  readonly team: string;
  readonly runByMs: number;
}

/**
 * Claims a request id at a replica, one of the two shards that record its
 * claims, before a non-idempotent request is sent. Detects duplicate ids.
 */
export interface RequestClaim {
  readonly type: 'requestClaim';
  readonly shard: string;
  /** Team, queue and the caller's request id in one string. */
  readonly key: string;
  /** Identifies this attempt; a release must carry the same id. */
  readonly claimId: string;
  /** Wall time encoded in the request id; 0 if the id has none. */
  readonly issuedMs: number;
}

/** The replica has recorded the claim. */
export interface RequestClaimed {
  readonly type: 'requestClaimed';
  /** Whether the replica can rule out that the id was used before. */
  readonly isVouched: boolean;
}

/** A claim as it is sent to the next owner of a shard that records it. */
export interface PassedClaim {
  readonly key: string;
  readonly claimId: string;
  readonly ageMs: number;
}

/** Hands the claims of a shard over to its next owner. */
export interface RequestClaims {
  readonly type: 'requestClaims';
  readonly shard: string;
  /** The term under which the claims were made. */
  readonly term: number;
  readonly claims: readonly PassedClaim[];
  /** Whether the claims are complete: the sender knew of all used ids. */
  readonly isWhole: boolean;
}

/** Releases a claim because the request certainly did not run. */
export interface RequestRelease {
  readonly type: 'requestRelease';
  readonly shard: string;
  readonly key: string;
  readonly claimId: string;
}

/** Asks a gateway for its open tickets of a shard, after a takeover. */
export interface OpenTicketsAsk {
  readonly type: 'openTicketsAsk';
  readonly shard: string;
  readonly term: number;
}

/** The open tickets; the gateway refuses tickets of older terms from now on. */
export interface OpenTicketsReply {
  readonly type: 'openTickets';
  readonly tickets: readonly OpenTicket[];
  /** The request ids that the gateway has claimed at this shard. */
  readonly claims: readonly PassedClaim[];
  /** Uptime of the gateway. */
  readonly upMs: number;
}

/** Submits a job to the shard's owner. */
export interface JobSubmit {
  readonly type: 'jobSubmit';
  readonly shard: string;
  readonly jobId: string;
  readonly team: string;
  readonly queue: string;
  readonly tasks: number;
  readonly isGang: boolean;
  readonly isService: boolean;
  readonly isIdempotent: boolean;
  readonly size: Resources;
  readonly runMs: number;
  readonly payload: unknown;
}

/** The job is stored in the log. */
export interface JobAccepted {
  readonly type: 'jobAccepted';
  readonly jobId: string;
  readonly shard: string;
}

/** Asks for a job's status. */
export interface JobAsk {
  readonly type: 'jobAsk';
  readonly shard: string;
  readonly jobId: string;
}

/** Asks for the jobs of a team, or of all teams if the name is empty. */
export interface JobListAsk {
  readonly type: 'jobListAsk';
  readonly shard: string;
  readonly team: string;
  readonly maxJobs: number;
}

/** Cancels a job. */
export interface JobCancel {
  readonly type: 'jobCancel';
  readonly shard: string;
  readonly jobId: string;
}

/** A job's status, with the members of JobStatus of the state package. */
export interface JobReply<S = unknown> {
  readonly type: 'job';
  readonly status: S;
}

/** The status of several jobs. */
export interface JobListReply<S = unknown> {
  readonly type: 'jobs';
  readonly jobs: readonly S[];
}

/** Asks a successor not to claim the shard for a while. */
export interface PromiseAsk {
  readonly type: 'promiseAsk';
  readonly shard: string;
  readonly term: number;
  readonly listVersion: number;
  readonly forMs: number;
}

/** Whether the successor promises not to claim within the given time. */
export interface PromiseReply {
  readonly type: 'promise';
  readonly isGiven: boolean;
}

/** Asks a peer for configuration records from an offset on. */
export interface ConfigTailAsk {
  readonly type: 'configTailAsk';
  readonly from: number;
}

/** Records of the configuration stream, as read by the sender. */
export interface ConfigTailReply {
  readonly type: 'configTail';
  readonly records: readonly unknown[];
  /** Time since the sender last read the end of the stream. */
  readonly ageMs: number;
  readonly end: number;
}

/** Reply that carries no data. */
export interface Done {
  readonly type: 'done';
}

/** Reply that the ask failed. */
export interface FailureReply {
  readonly type: 'failure';
  readonly failure: Failure;
}

/** A message that expects a reply. */
export type PeerAsk =
  | TicketAsk
  | RequestClaim
  | RequestClaims
  | OpenTicketsAsk
  | JobSubmit
  | JobAsk
  | JobListAsk
  | JobCancel
  | PromiseAsk
  | ConfigTailAsk;

/** The resources that one team's running and waiting work in a shard needs. */
export interface TeamWants {
  readonly team: string;
  readonly wanted: Resources;
}

/** Reports the demand of a shard's teams to the owner of the budget. */
export interface DemandReport {
  readonly type: 'demandReport';
  readonly shard: string;
  readonly demands: readonly TeamWants[];
}

/** A message that expects no reply. */
export type PeerNotice =
  Heartbeat | TicketClose | RequestRelease | DemandReport;

/** A reply to an ask. */
export type PeerReply =
  | Ticket
  | RequestClaimed
  | OpenTicketsReply
  | JobAccepted
  | JobReply
  | JobListReply
  | PromiseReply
  | ConfigTailReply
  | Done
  | FailureReply;

/** The message types of a protocol between peers. */
export interface PeerProtocol {
  readonly hello: Readonly<object>;
  readonly ask: {readonly type: string};
  readonly reply: {readonly type: string};
  readonly notice: {readonly type: string};
}

/** The messages between gateways and schedulers. */
export interface GatewayProtocol {
  readonly hello: Hello;
  readonly ask: PeerAsk;
  readonly reply: PeerReply;
  readonly notice: PeerNotice;
}

/** A part of an encoded reply; a peer that takes parts gets long ones so. */
export interface ReplyPart {
  readonly kind: 'part';
  /** The id of the ask. */
  readonly id: number;
  readonly isLast: boolean;
  readonly bytes: Buffer;
}

/** The content of one frame. */
export type Frame<P extends PeerProtocol = GatewayProtocol> =
  | {
      readonly kind: 'hello';
      readonly hello: P['hello'];
      /** Whether the sender takes parts and cancels; not in earlier versions. */
      readonly takesParts?: boolean;
    }
  | ReplyPart
  /** The sender no longer waits for the reply to its ask. */
  | {readonly kind: 'cancel'; readonly id: number}
  | {readonly kind: 'ask'; readonly id: number; readonly ask: P['ask']}
  | {
      readonly kind: 'reply';
      readonly id: number;
      readonly reply: P['reply'] | FailureReply;
    }
  | {readonly kind: 'notice'; readonly notice: P['notice']};

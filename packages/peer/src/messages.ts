/** The messages between gateways and schedulers. */
import type {
  Failure,
  HybridTime,
  ProcessRef,
  Resources,
} from '@dragonflyward/common';

/** What a process does. */
export type PeerRole = 'gateway' | 'scheduler';

/** First message on each connection, both ways. */
export interface Hello {
  readonly type: 'hello';
  readonly role: PeerRole;
  readonly process: ProcessRef;
}

/** Shows that the sender is alive. */
export interface Heartbeat {
  readonly type: 'heartbeat';
  readonly at: HybridTime;
  /** Shards that the sender owns and may act for, with their terms. */
  readonly owns: readonly OwnedShard[];
  /** Offset of the next configuration record that the sender will apply. */
  readonly configOffset: number;
  /** How long ago the sender read the end of the configuration stream. */
  readonly configAgeMs: number;
  readonly isDraining: boolean;
}

/** A shard and the term of its owner. */
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
  /** Executors that failed this request before. */
  readonly avoid: readonly string[];
}

/** Lets the gateway send one request to one executor. */
export interface Ticket {
  readonly type: 'ticket';
  readonly ticketId: string;
  readonly shard: string;
  readonly term: number;
  readonly executorId: string;
  readonly ip: string;
  readonly port: number;
  /** Send the first byte within this time from the ask, or not at all. */
  readonly startByMs: number;
  /** Close the connection within this time from the ask. */
  readonly runByMs: number;
}

/** How the use of a ticket went. */
export type TicketUse = 'done' | 'notSent' | 'failed' | 'unknown' | 'abandoned';

/** Gives a ticket's slot back. */
export interface TicketClose {
  readonly type: 'ticketClose';
  readonly ticketId: string;
  readonly shard: string;
  readonly executorId: string;
  readonly use: TicketUse;
  /** Whether the executor said that it is draining. */
  readonly isDraining: boolean;
}

/** A ticket that a gateway still holds. */
export interface OpenTicket {
  readonly ticketId: string;
  readonly executorId: string;
  readonly team: string;
  readonly runByMs: number;
}

/**
 * Claims a request id at its home shard before a request that is not
 * idempotent is sent, so that a repeat of the id is found.
 */
export interface RequestClaim {
  readonly type: 'requestClaim';
  readonly shard: string;
  /** Team, queue and the caller's request id as one text. */
  readonly key: string;
  /** Names this attempt; only its own claim may be given back. */
  readonly claimId: string;
  /** Wall time at which the id was made, where the id tells it; else 0. */
  readonly issuedMs: number;
}

/** The claim stands at this home. */
export interface RequestClaimed {
  readonly type: 'requestClaimed';
  /** Whether the home surely has not seen the id before. */
  readonly isVouched: boolean;
}

/** One claim as a home passes it on. */
export interface PassedClaim {
  readonly key: string;
  readonly claimId: string;
  readonly ageMs: number;
}

/** Passes the claims of a shard to its next owner. */
export interface RequestClaims {
  readonly type: 'requestClaims';
  readonly shard: string;
  /** The term under which they were made. */
  readonly term: number;
  readonly claims: readonly PassedClaim[];
  /** Whether the home vouched for all ids. */
  readonly isWhole: boolean;
}

/** Gives a claim back: the request surely did not run. */
export interface RequestRelease {
  readonly type: 'requestRelease';
  readonly shard: string;
  readonly key: string;
  readonly claimId: string;
}

/** Asks a gateway for its open tickets of a shard, at a takeover. */
export interface OpenTicketsAsk {
  readonly type: 'openTicketsAsk';
  readonly shard: string;
  readonly term: number;
}

/** The open tickets; older terms' tickets are refused from now on. */
export interface OpenTicketsReply {
  readonly type: 'openTickets';
  readonly tickets: readonly OpenTicket[];
  /** The claims of request ids that the gateway made at this shard. */
  readonly claims: readonly PassedClaim[];
  /** For how long the gateway has been running. */
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

/** The job stands in the log. */
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

/** Asks for the jobs of a team, or of all with an empty name. */
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

/** A job's status, shaped as state's JobStatus. */
export interface JobReply<S = unknown> {
  readonly type: 'job';
  readonly status: S;
}

/** Several jobs' status. */
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

/** The successor will not claim before the asked time has run out. */
export interface PromiseReply {
  readonly type: 'promise';
  readonly isGiven: boolean;
}

/** Asks a peer for its configuration tail. */
export interface ConfigTailAsk {
  readonly type: 'configTailAsk';
  readonly from: number;
}

/** Log records of the configuration stream, as read by the sender. */
export interface ConfigTailReply {
  readonly type: 'configTail';
  readonly records: readonly unknown[];
  /** How long ago the sender last read the end of the stream. */
  readonly ageMs: number;
  readonly end: number;
}

/** Answers where nothing else is to be said. */
export interface Done {
  readonly type: 'done';
}

/** Answers that the ask failed. */
export interface FailureReply {
  readonly type: 'failure';
  readonly failure: Failure;
}

/** A message that wants an answer. */
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

/** What one team has running and waiting in a shard. */
export interface TeamWants {
  readonly team: string;
  readonly wanted: Resources;
}

/** Tells the owner of the budget what a shard's teams want. */
export interface DemandReport {
  readonly type: 'demandReport';
  readonly shard: string;
  readonly demands: readonly TeamWants[];
}

/** A message that wants none. */
export type PeerNotice =
  Heartbeat | TicketClose | RequestRelease | DemandReport;

/** An answer. */
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

/** The messages that two kinds of processes exchange. */
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

/** What one frame holds. */
export type Frame<P extends PeerProtocol = GatewayProtocol> =
  | {readonly kind: 'hello'; readonly hello: P['hello']}
  | {readonly kind: 'ask'; readonly id: number; readonly ask: P['ask']}
  | {
      readonly kind: 'reply';
      readonly id: number;
      readonly reply: P['reply'] | FailureReply;
    }
  | {readonly kind: 'notice'; readonly notice: P['notice']};

/** Messages between the processes of a cell, of which each VM runs one. */
import type {Ticket} from './executor-client.js';
import type {FormerOwner} from './former-owners.js';
import type {Admission, AdmissionRequest} from './job-admission.js';
import type {OrdersNotice} from './last-orders.js';
import type {OwnerAddress} from './ownership.js';
import type {
  KeyedRecord,
  StoredRecord,
  Producer,
  StoreFailure,
} from './store.js';
import type {JobPhase} from './types.js';

/** First message on each connection, in both directions. */
export interface CellHello {
  readonly type: 'hello';
  readonly self: OwnerAddress;
  readonly domain: string;
  /** Number of cores of the VM; a VM with more is preferred as the owner. */
  readonly cores: number;
}

/** Shows that the sender is alive and reports its state. */
export interface CellHeartbeat {
  readonly type: 'heartbeat';
  /** The newest owner that the sender knows, or null. */
  readonly owner: OwnerAddress | null;
  readonly term: number;
  readonly configVersion: number;
  /** Whether the sender's newest call to the store succeeded. */
  readonly isStoreOk: boolean;
  /**
   * How long the sender's calls to the store take, in ms; missing from a sender
   * of an earlier version.
   */
  readonly storeMs?: number;
  readonly isDraining: boolean;
  /** Whether the sender is the owner or connected to it. */
  readonly isOwnerSeen: boolean;
  /**
   * Whether the sender gave up a load of the state lately and leaves the cell
   * to others; missing from a sender of an earlier version, which never does.
   */
  readonly hasLoadFailed?: boolean;
  /**
   * Whether the sender, if it owns the cell, has loaded the state and acts;
   * missing from a sender of an earlier version, which counts as acting.
   */
  readonly isActing?: boolean;
  /**
   * The end of the owner topic after the newest record that the sender knows to
   * be stored; missing unless the sender owns the cell under `term`, and from a
   * sender of an earlier version.
   */
  readonly storedEndOffset?: number;
}

/** A job that the sender has stored; saves the owner the wait for a read. */
export interface JobNotice {
  readonly type: 'job';
  readonly value: Uint8Array;
}

/** A cancel that the sender has stored. */
export interface CancelNotice {
  readonly type: 'cancel';
  readonly id: string;
}

/** The part of a job's state that callers may see. */
export interface JobRow {
  readonly id: string;
  readonly phase: JobPhase;
  readonly queue: string;
  readonly organisation: string;
  /**
   * The memory that it needs in the process that owns the cell, in bytes;
   * missing from a sender of an earlier version.
   */
  readonly bytes?: number;
}

/**
 * Jobs whose phase has changed. If `isFull`, all jobs that have not ended or
 * have just ended; the receiver asks for others that it knows as open.
 */
export interface JobsNotice {
  readonly type: 'jobs';
  readonly term: number;
  readonly isFull: boolean;
  readonly rows: readonly JobRow[];
}

/** A VM of the cell, as the owner names it to the others. */
export interface ListedMember extends OwnerAddress {
  /** Its number of cores; missing from a sender of an earlier version. */
  readonly cores?: number;
}

/** The owner and the VMs that are connected to it. */
export interface MembersNotice {
  readonly type: 'members';
  readonly members: readonly ListedMember[];
}

/** The sender owned the cell and has stored the receiver as its owner. */
export interface HandoverNotice {
  readonly type: 'handover';
  readonly term: number;
  /** Whether the owners before the sender had surely stopped acting. */
  readonly areFormerStopped: boolean;
  /** Those that may not have; missing from a sender of an earlier version. */
  readonly formerOwners?: readonly FormerOwner[];
  /** The last orders to executors; also missing from an earlier version. */
  readonly orders?: OrdersNotice;
  /** The end of the owner topic after that write. */
  readonly endOffset: number;
}

/** Asks the owner for a job's phase. */
export interface PhaseAsk {
  readonly type: 'phaseAsk';
  readonly id: string;
}

/** Answer of the owner; `row` is null if there is no such job. */
export interface PhaseReply {
  readonly type: 'phase';
  readonly row: JobRow | null;
  /** Whether the owner has read the store recently enough to be sure. */
  readonly isSure: boolean;
}

/** Asks a VM to call the advice service, which serves each VM in turn. */
export interface AdviceAsk {
  readonly type: 'adviceAsk';
  readonly step: string;
  readonly executorIds: readonly string[];
  readonly timeoutMs: number;
}

/** The tickets that the service issued, or null if the call failed. */
export interface AdviceReply {
  readonly type: 'advice';
  readonly tickets: readonly Ticket[] | null;
}

/** Asks the owner whether the cell has memory for a job. */
export interface AdmissionAsk {
  readonly type: 'admissionAsk';
  readonly req: AdmissionRequest;
}

/** The owner's answer; null if the receiver does not own the cell. */
export interface AdmissionReply {
  readonly type: 'admission';
  readonly admission: Admission | null;
}

/** Requests the newest configuration that the peer has. */
export interface ConfigAsk {
  readonly type: 'configAsk';
}

/** The configuration as stored; empty if there is none. */
export interface ConfigReply {
  readonly type: 'config';
  readonly value: Uint8Array;
}

/** A store call that a peer makes for a VM that the store refuses. */
export type StoreCall =
  | {
      readonly op: 'append';
      readonly topic: string;
      readonly records: readonly KeyedRecord[];
      readonly at: number;
      readonly producer: Producer | null;
    }
  | {readonly op: 'read'; readonly topic: string; readonly from: number}
  | {
      readonly op: 'newest';
      readonly topic: string;
      /** Asks for one page only; if missing, for all records. */
      readonly after?: string;
    };

/** Asks a peer to make a store call. */
export interface StoreAsk {
  readonly type: 'storeAsk';
  readonly call: StoreCall;
}

/** Result of the store call. */
export interface StoreReply {
  readonly type: 'store';
  readonly failure: StoreFailure | null;
  readonly expectedSequence: number;
  readonly endOffset: number;
  readonly records: readonly StoredRecord[];
  /**
   * Whether more pages follow. If missing, none does: a VM of an earlier
   * version returns all records at once.
   */
  readonly hasMore?: boolean;
}

/** All messages of the cell. */
export interface CellProtocol {
  readonly hello: CellHello;
  readonly ask: PhaseAsk | AdviceAsk | AdmissionAsk | ConfigAsk | StoreAsk;
  readonly reply:
    PhaseReply | AdviceReply | AdmissionReply | ConfigReply | StoreReply;
  readonly notice:
    | CellHeartbeat
    | JobNotice
    | CancelNotice
    | JobsNotice
    | MembersNotice
    | HandoverNotice;
}

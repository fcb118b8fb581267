/** Decides whether the applied configuration is fresh enough to act on. */
import type {Clock} from '@dragonflyward/common';

/** Options of a freshness decision. */
export interface ConfigFreshnessOptions {
  readonly clock: Clock;
  /** Maximum age of the newest read of the stream's end. */
  readonly maxAgeMs: number;
  /** The failure domain of this process's VM. */
  readonly domain: string;
  /** Progress of this process in the stream. */
  readonly state: {readonly nextOffset: number; readonly isComplete: boolean};
}

/** An entry VM of the list of VMs, other than this process's own. */
export interface ListedPeer {
  readonly vm: string;
  readonly domain: string;
}

/** A peer's answer on its own reading of the configuration stream. */
export interface PeerTail {
  readonly vm: string;
  /** Age of the peer's newest read of the end when it answered. */
  readonly ageMs: number;
  /** Offset of the next record that the peer will apply. */
  readonly end: number;
  /** Monotonic time at which this process sent its request. */
  readonly requestedMs: number;
}

/**
 * The configuration is fresh if the log was read recently by this process, or
 * by a peer whose records it has applied. If nobody could read the log, it is
 * taken to be down for all: this requires that more than half of the listed VMs
 * of each failure domain answered recently, and that none of them has read it
 * or has newer records.
 */
export class ConfigFreshness {
  private newestReadMs = -Infinity;
  private listed: readonly ListedPeer[] | undefined;
  private readonly peerTails = new Map<string, PeerTail>();

  constructor(private readonly options: ConfigFreshnessOptions) {}

  /**
   * Records a read that was sent at this monotonic time and reached the end.
   */
  recordLogRead(sentMs: number): void {
    this.newestReadMs = Math.max(this.newestReadMs, sentMs);
  }

  /** Records a peer's answer, unless one to a later request is known. */
  recordPeerTail(tail: PeerTail): void {
    const last = this.peerTails.get(tail.vm);
    if (last !== undefined && last.requestedMs > tail.requestedMs) return;
    this.peerTails.set(tail.vm, tail);
  }

  /** Replaces the listed entry VMs, without this process's own. */
  setListed(peers: readonly ListedPeer[]): void {
    this.listed = peers;
    const vms = new Set(peers.map(({vm}) => vm));
    for (const vm of this.peerTails.keys()) {
      if (!vms.has(vm)) this.peerTails.delete(vm);
    }
  }

  /** Age of the newest read that covers the records this process applied. */
  ageMs(): number {
    this.countPeerReads();
    return this.options.clock.monotonicMs() - this.newestReadMs;
  }

  /**
   * Whether the applied configuration may be used to check keys and limits.
   *
   * @example
   * if (!freshness.isFresh()) raise('configStale', 'no read of the log');
   */
  isFresh(): boolean {
    if (!this.options.state.isComplete) return false;
    if (this.ageMs() <= this.options.maxAgeMs) return true;
    return this.isGlobalLogOutage();
  }

  /**
   * Whether the log is down for all: enough peers answered, and none of them
   * could read it or has newer records.
   */
  protected isGlobalLogOutage(): boolean {
    if (this.listed === undefined) return false;
    const recentTails = this.recentPeerTails();
    if (recentTails.some(tail => this.isReadingOrAhead(tail))) return false;
    const answeredVms = new Set(recentTails.map(({vm}) => vm));
    const domains = new Set(this.listed.map(({domain}) => domain));
    return [...domains].every(domain => this.hasMajority(domain, answeredVms));
  }

  private hasMajority(
    domain: string,
    answeredVms: ReadonlySet<string>,
  ): boolean {
    const peers = this.listed?.filter(peer => peer.domain === domain) ?? [];
    const selfCount = domain === this.options.domain ? 1 : 0;
    const answeredCount =
      peers.filter(({vm}) => answeredVms.has(vm)).length + selfCount;
    return answeredCount * 2 > peers.length + selfCount;
  }

  private recentPeerTails(): readonly PeerTail[] {
    const {clock, maxAgeMs} = this.options;
    const sinceMs = clock.monotonicMs() - maxAgeMs;
    return [...this.peerTails.values()].filter(
      tail => tail.requestedMs >= sinceMs,
    );
  }

  /** Whether the peer reads the log, or has records that this process lacks. */
  private isReadingOrAhead({requestedMs, ageMs, end}: PeerTail): boolean {
    const {clock, maxAgeMs, state} = this.options;
    const isReading = requestedMs - ageMs >= clock.monotonicMs() - maxAgeMs;
    return isReading || end > state.nextOffset;
  }

  /** Counts the reads of peers whose records were all applied here. */
  private countPeerReads(): void {
    const {nextOffset, isComplete} = this.options.state;
    if (!isComplete) return;
    for (const {requestedMs, ageMs, end} of this.peerTails.values()) {
      if (end <= nextOffset) this.recordLogRead(requestedMs - ageMs);
    }
  }
}

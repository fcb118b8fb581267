/** Decides whether the applied configuration is fresh enough to act on. */
import type {Clock} from '@dragonflyward/common';

/** What a freshness decision needs. */
export interface ConfigFreshnessOptions {
  readonly clock: Clock;
  /** How old the newest read of the stream's end may be. */
  readonly maxAgeMs: number;
  /** The failure domain of this process's VM. */
  readonly domain: string;
  /** What this process has applied. */
  readonly fold: {readonly nextOffset: number; readonly isComplete: boolean};
}

/** An entry VM of the list of VMs other than this process's own. */
export interface ListedPeer {
  readonly vm: string;
  readonly domain: string;
}

/** What one peer said of its own reading of the configuration stream. */
export interface PeerTail {
  readonly vm: string;
  /** How old the peer's newest read of the end was when it answered. */
  readonly ageMs: number;
  /** Offset of the next record that the peer would apply. */
  readonly end: number;
  /** Monotonic time at which this process sent its ask. */
  readonly requestedMs: number;
}

/**
 * Fresh is what was read from the log lately, by this process or by a peer
 * whose records it has applied. Where nobody could read, the log is taken to
 * be down for all, if more than half of the listed VMs of each failure domain
 * answered lately and none of them has read it.
 */
export class ConfigFreshness {
  private newestReadMs = -Infinity;
  private listed: readonly ListedPeer[] | undefined;
  private readonly peerTails = new Map<string, PeerTail>();

  constructor(private readonly options: ConfigFreshnessOptions) {}

  /** A read that was sent at this monotonic time reached the end. */
  recordLogRead(sentMs: number): void {
    this.newestReadMs = Math.max(this.newestReadMs, sentMs);
  }

  /** A peer answered with its own age and end. */
  recordPeerTail(tail: PeerTail): void {
    const last = this.peerTails.get(tail.vm);
    if (last !== undefined && last.requestedMs > tail.requestedMs) return;
    this.peerTails.set(tail.vm, tail);
  }

  /** Replaces the entry VMs of the list of VMs, this process's left out. */
  setListed(peers: readonly ListedPeer[]): void {
    this.listed = peers;
    const vms = new Set(peers.map(({vm}) => vm));
    for (const vm of this.peerTails.keys()) {
      if (!vms.has(vm)) this.peerTails.delete(vm);
    }
  }

  /** How old the newest read is that covers what this process applied. */
  ageMs(): number {
    this.countPeerReads();
    return this.options.clock.monotonicMs() - this.newestReadMs;
  }

  /**
   * Whether keys and limits may be judged by the applied configuration.
   *
   * @example
   * if (!freshness.isFresh()) raise('configStale', 'no read of the log');
   */
  isFresh(): boolean {
    if (!this.options.fold.isComplete) return false;
    if (this.ageMs() <= this.options.maxAgeMs) return true;
    return this.isGlobalLogOutage();
  }

  /** Whether the log is down for all, as far as enough peers say. */
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

  /** Whether the peer reads the log, or has records that are missing here. */
  private isReadingOrAhead({requestedMs, ageMs, end}: PeerTail): boolean {
    const {clock, maxAgeMs, fold} = this.options;
    const isReading = requestedMs - ageMs >= clock.monotonicMs() - maxAgeMs;
    return isReading || end > fold.nextOffset;
  }

  /** Counts peers' reads as own, as far as their records were applied. */
  private countPeerReads(): void {
    const {nextOffset, isComplete} = this.options.fold;
    if (!isComplete) return;
    for (const {requestedMs, ageMs, end} of this.peerTails.values()) {
      if (end <= nextOffset) this.recordLogRead(requestedMs - ageMs);
    }
  }
}

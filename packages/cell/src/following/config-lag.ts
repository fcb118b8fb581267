/** How long a VM has known of a newer configuration than its own. */
import type {Clock} from '@dragonflyward/common';

/** Compares the version of this VM with the newest of its peers. */
export class ConfigLag {
  /** The newest version of a peer, while that of this VM is older. */
  private peerVersion = -1;
  private sinceMs = Infinity;

  constructor(private readonly clock: Clock) {}

  /** How long a newer version has been known, in ms; 0 if none is. */
  get lagMs(): number {
    return Math.max(0, this.clock.monotonicMs() - this.sinceMs);
  }

  /** Records the version of a peer, which is newer than that of this VM. */
  recordPeer(version: number): void {
    this.peerVersion = Math.max(this.peerVersion, version);
    this.sinceMs = Math.min(this.sinceMs, this.clock.monotonicMs());
  }

  /** Records the version that this VM has applied. */
  recordApplied(version: number): void {
    if (version >= this.peerVersion) this.sinceMs = Infinity;
  }
}

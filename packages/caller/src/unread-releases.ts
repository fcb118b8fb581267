/** Releases of claims that the owner of a shard may not have read. */
import type {Clock} from '@dragonflyward/common';
import type {RequestRelease} from '@dragonflyward/peer';

/**
 * A message counts as read if its connection is still open after this time, in
 * ms: one whose other end has gone is closed sooner.
 */
const CONFIRM_MS = 5_000;

/** How many releases are kept, and for how long. */
export interface ReleaseLimits {
  readonly retentionMs: number;
  readonly maxPerShard: number;
}

interface UnreadRelease {
  readonly release: RequestRelease;
  readonly atMs: number;
  /** The last connection that it was sent on, or undefined. */
  connection: object | undefined;
  sentMs: number;
}

/** Keeps releases, so that they can be sent again on a later connection. */
export class UnreadReleases {
  /** By shard, the oldest first. */
  private readonly releases = new Map<string, Set<UnreadRelease>>();

  constructor(
    private readonly clock: Clock,
    private readonly limits: ReleaseLimits,
  ) {}

  /** Adds a release and the connection that it was sent on, if any. */
  add(release: RequestRelease, connection: object | undefined): void {
    const unread = this.releases.get(release.shard) ?? new Set();
    this.releases.set(release.shard, unread);
    const [oldest] = unread;
    const isFull = unread.size >= this.limits.maxPerShard;
    if (isFull && oldest !== undefined) unread.delete(oldest);
    const atMs = this.clock.monotonicMs();
    unread.add({release, atMs, connection, sentMs: atMs});
  }

  /** Takes the releases of a shard that are to be sent on this connection. */
  *take(shard: string, connection: object): Generator<RequestRelease> {
    const nowMs = this.clock.monotonicMs();
    const unread = this.releases.get(shard) ?? new Set();
    for (const each of unread) {
      if (nowMs - each.atMs >= this.limits.retentionMs) unread.delete(each);
      else if (each.connection !== connection) {
        each.connection = connection;
        each.sentMs = nowMs;
        yield each.release;
      } else if (nowMs - each.sentMs >= CONFIRM_MS) unread.delete(each);
    }
    if (unread.size === 0) this.releases.delete(shard);
  }
}

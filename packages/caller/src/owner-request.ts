/** Sends requests to shard owners, with retries while a shard changes owner. */
import {
  ERRORS,
  toFailure,
  type Clock,
  type ErrorKind,
} from '@dragonflyward/common';
import type {PeerAsk, PeerReply} from '@dragonflyward/peer';

const RETRY_PERIOD_MS = 100;
const ATTEMPT_TIMEOUT_MS = 3_000;
/** Failures after which a retry, possibly at another owner, may succeed. */
const RETRIED_KINDS: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  'notOwner',
  'peerDown',
  'peerLost',
  'logDown',
  'appendUnknown',
]);

/** Sends requests to shard owners. */
export interface OwnerRequester {
  request(
    shard: string,
    request: PeerAsk,
    timeoutMs: number,
  ): Promise<PeerReply>;
}

/**
 * Repeats a request until the owner answers or the deadline is near. Only for
 * idempotent requests, such as those that name a job.
 *
 * @throws the last failure, or the first one with an unknown outcome, since
 *     that attempt may have had an effect
 * @example
 * const request = {type: 'jobAsk', shard, jobId} as const;
 * await requestFromOwner(client, clock, request, 10_000);
 */
export async function requestFromOwner(
  client: OwnerRequester,
  clock: Clock,
  request: PeerAsk & {readonly shard: string},
  deadlineMs: number,
): Promise<PeerReply> {
  const endMs = clock.monotonicMs() + deadlineMs;
  let unknown: unknown;
  for (;;) {
    const remainingMs = endMs - clock.monotonicMs();
    const timeoutMs = Math.min(remainingMs, ATTEMPT_TIMEOUT_MS);
    try {
      return await client.request(request.shard, request, timeoutMs);
    } catch (err) {
      const {kind} = toFailure(err);
      if (ERRORS[kind].outcome === 'unknown') unknown ??= err;
      const isOver = endMs - clock.monotonicMs() <= RETRY_PERIOD_MS;
      if (isOver || !RETRIED_KINDS.has(kind)) throw unknown ?? err;
    }
    await clock.sleep(RETRY_PERIOD_MS);
  }
}

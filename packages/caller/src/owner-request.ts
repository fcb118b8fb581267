/** Asks a shard's owner, through takeovers and hand-overs. */
import {
  ERRORS,
  toFailure,
  type Clock,
  type ErrorKind,
} from '@dragonflyward/common';
import type {PeerAsk, PeerReply} from '@dragonflyward/peer';

const RETRY_PERIOD_MS = 100;
const ATTEMPT_BOUND_MS = 3_000;
/** Failures that another attempt, maybe at another owner, may mend. */
const RETRIED_KINDS: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  'notOwner',
  'peerDown',
  'peerLost',
  'logDown',
  'appendUnknown',
]);

/** Reaches the owners of shards. */
export interface OwnerLink {
  ask(shard: string, ask: PeerAsk, timeoutMs: number): Promise<PeerReply>;
}

/**
 * Repeats an ask until the owner answers or the deadline is near. Only for
 * asks that an owner may get twice: those that name a job.
 *
 * @throws the last failure; once an attempt may have had an effect, its own
 * @example
 * await askOwner(link, clock, {type: 'jobAsk', shard, jobId}, 10_000);
 */
export async function askOwner(
  link: OwnerLink,
  clock: Clock,
  ask: PeerAsk & {readonly shard: string},
  deadlineMs: number,
): Promise<PeerReply> {
  const endMs = clock.monotonicMs() + deadlineMs;
  let unknown: unknown;
  for (;;) {
    const leftMs = endMs - clock.monotonicMs();
    const boundMs = Math.min(leftMs, ATTEMPT_BOUND_MS);
    try {
      return await link.ask(ask.shard, ask, boundMs);
    } catch (err) {
      const {kind} = toFailure(err);
      if (ERRORS[kind].outcome === 'unknown') unknown ??= err;
      const isOver = endMs - clock.monotonicMs() <= RETRY_PERIOD_MS;
      if (isOver || !RETRIED_KINDS.has(kind)) throw unknown ?? err;
    }
    await clock.sleep(RETRY_PERIOD_MS);
  }
}

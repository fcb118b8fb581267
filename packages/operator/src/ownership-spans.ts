/** Finds the time spans in which each process owned a shard. */
import type {EventKind, TimelineEvent} from '@dragonflyward/common';

/** A time span in which one process owned one shard under one term. */
export interface OwnershipSpan {
  readonly process: string;
  readonly shard: string;
  readonly term: number;
  readonly fromMs: number;
  /** Undefined if no event ends the span. */
  readonly toMs: number | undefined;
  /** Whether an event of the process itself ended the span. */
  readonly isEndReported: boolean;
}

const END_KINDS: readonly EventKind[] = [
  'ownerStopped',
  'ownerHandedOver',
  'processStopped',
  'processStarted',
];

/**
 * Finds the spans. If a process reports no end, its span ends when another
 * process becomes the owner of the shard.
 *
 * @example
 * for (const span of findOwnershipSpans(events)) draw(span);
 */
export function findOwnershipSpans(
  events: readonly TimelineEvent[],
): readonly OwnershipSpan[] {
  const spans: OwnershipSpan[] = [];
  const openSpans = new Map<string, OwnershipSpan>();
  const endSpan = (
    shard: string,
    toMs: number,
    isEndReported: boolean,
  ): void => {
    const span = openSpans.get(shard);
    if (span === undefined) return;
    openSpans.delete(shard);
    spans.push({...span, toMs, isEndReported});
  };
  for (const {at, process, kind, subject} of events) {
    const {shard} = subject;
    if (kind === 'ownerActive' && shard !== undefined) {
      endSpan(shard, at.wallMs, false);
      openSpans.set(shard, startSpan(process, shard, subject.term, at.wallMs));
    }
    if (!END_KINDS.includes(kind)) continue;
    for (const span of [...openSpans.values()]) {
      const isShardAffected = shard === undefined || span.shard === shard;
      if (!isShardAffected || span.process !== process) continue;
      endSpan(span.shard, at.wallMs, true);
    }
  }
  return [...spans, ...openSpans.values()];
}

function startSpan(
  process: string,
  shard: string,
  term: number | undefined,
  fromMs: number,
): OwnershipSpan {
  return {
    process,
    shard,
    term: term ?? 0,
    fromMs,
    toMs: undefined,
    isEndReported: false,
  };
}

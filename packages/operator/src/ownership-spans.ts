/** Finds from when until when each process owned a shard. */
import type {EventKind, TimelineEvent} from '@dragonflyward/common';

/** The time in which one process owned one shard under one term. */
export interface OwnerSpan {
  readonly process: string;
  readonly shard: string;
  readonly term: number;
  readonly fromMs: number;
  /** Undefined where no end was seen. */
  readonly toMs: number | undefined;
  /** Whether the process itself said that it ended. */
  readonly isEndSeen: boolean;
}

const END_KINDS: readonly EventKind[] = [
  'ownerStopped',
  'ownerHandedOver',
  'processStopped',
  'processStarted',
];

/**
 * Finds the spans; one whose process fell silent ends where another process
 * became the shard's owner.
 *
 * @example
 * for (const span of findSpans(events)) draw(span);
 */
export function findSpans(
  events: readonly TimelineEvent[],
): readonly OwnerSpan[] {
  const spans: OwnerSpan[] = [];
  const open = new Map<string, OwnerSpan>();
  const close = (shard: string, toMs: number, isEndSeen: boolean): void => {
    const span = open.get(shard);
    if (span === undefined) return;
    open.delete(shard);
    spans.push({...span, toMs, isEndSeen});
  };
  for (const {at, process, kind, subject} of events) {
    const {shard} = subject;
    if (kind === 'ownerActive' && shard !== undefined) {
      close(shard, at.wallMs, false);
      open.set(shard, startSpan(process, shard, subject.term, at.wallMs));
    }
    if (!END_KINDS.includes(kind)) continue;
    for (const span of [...open.values()]) {
      const isMeant = shard === undefined || span.shard === shard;
      if (!isMeant || span.process !== process) continue;
      close(span.shard, at.wallMs, true);
    }
  }
  return [...spans, ...open.values()];
}

function startSpan(
  process: string,
  shard: string,
  term: number | undefined,
  fromMs: number,
): OwnerSpan {
  return {
    process,
    shard,
    term: term ?? 0,
    fromMs,
    toMs: undefined,
    isEndSeen: false,
  };
}

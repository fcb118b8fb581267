/** Picks the events that are about one request, job, team and so on. */
import type {EventSubject, TimelineEvent} from '@dragonflyward/common';
import type {Timeline} from './timeline-events.js';

/** What to pick; an absent part picks all. */
export interface EventFilter {
  readonly request?: string;
  readonly job?: string;
  readonly team?: string;
  readonly worker?: string;
  readonly shard?: string;
  readonly kind?: readonly string[];
  readonly process?: string;
  /** Milliseconds since the epoch. */
  readonly sinceMs?: number;
  readonly untilMs?: number;
}

const SUBJECT_PARTS = ['request', 'team', 'worker', 'shard'] as const;

/**
 * Tells whether an event is picked.
 *
 * @example
 * const own = events.filter(event => isPicked(event, {job: 'north:j-1'}));
 */
export function isPicked(event: TimelineEvent, filter: EventFilter): boolean {
  const {at, kind, process, subject} = event;
  if (at.wallMs < (filter.sinceMs ?? 0)) return false;
  if (at.wallMs > (filter.untilMs ?? Number.POSITIVE_INFINITY)) return false;
  if (filter.kind !== undefined && !filter.kind.includes(kind)) return false;
  if (filter.process !== undefined && filter.process !== process) return false;
  if (filter.job !== undefined && !isOfJob(subject, filter.job)) return false;
  return SUBJECT_PARTS.every(
    part => filter[part] === undefined || filter[part] === subject[part],
  );
}

/**
 * Returns the time line with only the events that are picked.
 *
 * @example
 * const own = filterTimeline(timeline, {team: 'roofs'});
 */
export function filterTimeline(
  timeline: Timeline,
  filter: EventFilter,
): Timeline {
  const events = timeline.events.filter(event => isPicked(event, filter));
  return {...timeline, events};
}

/** A task's id starts with the id of its job. */
function isOfJob(subject: EventSubject, job: string): boolean {
  return subject.job === job || (subject.task ?? '').startsWith(`${job}.`);
}

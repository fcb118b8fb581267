/** Filters events by request, job, team and so on. */
import type {EventSubject, TimelineEvent} from '@dragonflyward/common';
import type {Timeline} from './timeline-events.js';

/** Conditions that an event must meet; an absent one matches any event. */
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

const SUBJECT_KEYS = ['request', 'team', 'worker', 'shard'] as const;

/**
 * Returns whether an event matches a filter.
 *
 * @example
 * const own = events.filter(event => matchesFilter(event, {job: 'north:j-1'}));
 */
export function matchesFilter(
  event: TimelineEvent,
  filter: EventFilter,
): boolean {
  const {at, kind, process, subject} = event;
  if (at.wallMs < (filter.sinceMs ?? 0)) return false;
  if (at.wallMs > (filter.untilMs ?? Number.POSITIVE_INFINITY)) return false;
  if (filter.kind !== undefined && !filter.kind.includes(kind)) return false;
  if (filter.process !== undefined && filter.process !== process) return false;
  if (filter.job !== undefined && !isOfJob(subject, filter.job)) return false;
  return SUBJECT_KEYS.every(
    key => filter[key] === undefined || filter[key] === subject[key],
  );
}

/**
 * Returns the timeline with only the events that match a filter.
 *
 * @example
 * const own = filterTimeline(timeline, {team: 'roofs'});
 */
export function filterTimeline(
  timeline: Timeline,
  filter: EventFilter,
): Timeline {
  const events = timeline.events.filter(event => matchesFilter(event, filter));
  return {...timeline, events};
}

/** A task's id starts with the id of its job. */
function isOfJob(subject: EventSubject, job: string): boolean {
  return subject.job === job || (subject.task ?? '').startsWith(`${job}.`);
}

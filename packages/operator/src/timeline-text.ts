/** Formats a timeline as text, one line per event. */
import type {EventSubject, HybridTime} from '@dragonflyward/common';
import type {RingSummary, Timeline} from './timeline-events.js';

/**
 * Formats an event's subject as `key=value` pairs.
 *
 * @example
 * formatSubject({job: 'j-1', term: 4}); // 'job=j-1 term=4'
 */
export function formatSubject(subject: EventSubject): string {
  return Object.entries(subject)
    .map(([part, value]) => `${part}=${String(value)}`)
    .join(' ');
}

/**
 * Formats a hybrid time, followed by the counter if it is not 0.
 *
 * @example
 * formatTime({wallMs: 0, count: 2}); // '1970-01-01T00:00:00.000Z+2'
 */
export function formatTime({wallMs, count}: HybridTime): string {
  const suffix = count === 0 ? '' : `+${count}`;
  return new Date(wallMs).toISOString() + suffix;
}

/**
 * Formats the timeline, starting with the events that may be missing.
 *
 * @example
 * for (const line of formatTimeline(timeline)) console.log(line);
 */
export function* formatTimeline(timeline: Timeline): Generator<string> {
  for (const ring of timeline.rings) {
    const gap = describeGaps(ring);
    if (gap !== '') yield `# ${ring.process}: ${gap}`;
  }
  const {events} = timeline;
  const width = Math.max(0, ...timeline.rings.map(ring => ring.process.length));
  for (const {at, process, kind, subject, note} of events) {
    const parts = [formatSubject(subject), note].filter(part => part !== '');
    const name = process.padEnd(width);
    yield `${formatTime(at)} ${name} ${kind} ${parts.join(' — ')}`.trimEnd();
  }
}

/**
 * Describes the events of a process that may be missing; empty if none.
 *
 * @example
 * const gap = describeGaps(ring); // '12 older events were discarded'
 */
export function describeGaps({
  dropped,
  failure,
  silences,
}: RingSummary): string {
  const parts: string[] = [];
  if (dropped > 0) parts.push(`${dropped} older events were discarded`);
  for (const {fromMs, toMs} of silences) {
    if (toMs === null) continue;
    const from = new Date(fromMs).toISOString();
    parts.push(`no answer from ${from} for ${toMs - fromMs} ms`);
  }
  if (failure !== '') parts.push(`no answer: ${failure}`);
  return parts.join('; ');
}

/** Merges the event rings of all processes into one causal order. */
import {compareHybridTimes, type TimelineEvent} from '@dragonflyward/common';
import type {AdminReply} from './fleet.js';

/** A period in which a process did not answer. */
export interface UnresponsivePeriod {
  /** Time of the first failed read, by the collector's clock. */
  readonly fromMs: number;
  /** Time of the next successful read; null if there was none. */
  readonly toMs: number | null;
}

/** What was collected from one process. */
export interface RingSummary {
  readonly process: string;
  readonly events: number;
  /** Number of older events that the process had discarded. */
  readonly dropped: number;
  /** Why the last read failed; empty if it succeeded. */
  readonly failure: string;
  readonly silences: readonly UnresponsivePeriod[];
}

/** The events of all processes in one order. */
export interface Timeline {
  readonly rings: readonly RingSummary[];
  readonly events: readonly TimelineEvent[];
}

interface RingBody {
  readonly dropped: number;
  readonly events: readonly TimelineEvent[];
}

/** Collects events and removes duplicates from repeated reads. */
export class EventCollector {
  private readonly events = new Map<string, TimelineEvent>();
  private readonly rings = new Map<string, RingSummary>();
  /** The name that a process reports, by its name in the fleet. */
  private readonly reportedNames = new Map<string, string>();

  /**
   * Adds the replies of the processes.
   *
   * @example
   * collector.addReplies(await fleet.readAll('/events'), Date.now());
   */
  addReplies(replies: readonly AdminReply[], nowMs: number): void {
    for (const {process, body, failure} of replies) {
      if (isRingBody(body)) this.addRing(process.name, body, nowMs);
      else this.addFailure(process.name, failure || 'not an event ring', nowMs);
    }
  }

  /** Adds a timeline that was collected earlier. */
  addTimeline(timeline: Timeline): void {
    for (const ring of timeline.rings) this.rings.set(ring.process, ring);
    for (const event of timeline.events) this.events.set(keyOf(event), event);
  }

  /**
   * Returns the timeline of everything collected so far.
   *
   * @example
   * const {events} = collector.timeline();
   */
  timeline(): Timeline {
    const events = [...this.events.values()].sort(compareEvents);
    const counts = new Map<string, number>();
    for (const {process} of events) {
      counts.set(process, (counts.get(process) ?? 0) + 1);
    }
    const rings = [...this.rings.values()].map(ring => ({
      ...ring,
      events: counts.get(ring.process) ?? 0,
    }));
    return {rings: rings.sort(compareRings), events};
  }

  private addRing(name: string, body: RingBody, nowMs: number): void {
    const process = body.events[0]?.process ?? name;
    this.reportedNames.set(name, process);
    const {dropped} = body;
    const previous = this.rings.get(process)?.silences ?? [];
    const silences = previous.map(silence => ({
      ...silence,
      toMs: silence.toMs ?? nowMs,
    }));
    const failure = '';
    this.rings.set(process, {process, events: 0, dropped, failure, silences});
    for (const event of body.events) this.events.set(keyOf(event), event);
  }

  private addFailure(name: string, failure: string, nowMs: number): void {
    const process = this.reportedNames.get(name) ?? name;
    const previous = this.rings.get(process);
    const {dropped = 0, silences = []} = previous ?? {};
    const isFirstFailure = previous === undefined || previous.failure === '';
    const added = isFirstFailure ? [{fromMs: nowMs, toMs: null}] : [];
    const all = [...silences, ...added];
    const ring = {process, events: 0, dropped, failure, silences: all};
    this.rings.set(process, ring);
  }
}

/** Orders events by hybrid time, which keeps the order within a process. */
function compareEvents(a: TimelineEvent, b: TimelineEvent): number {
  return compareHybridTimes(a.at, b.at) || compareText(a.process, b.process);
}

function compareRings(a: RingSummary, b: RingSummary): number {
  return compareText(a.process, b.process);
}

function compareText(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

/** Process and time identify an event: a process uses a hybrid time once. */
function keyOf({process, at}: TimelineEvent): string {
  return `${process} ${at.wallMs} ${at.count}`;
}

function isRingBody(body: unknown): body is RingBody {
  if (typeof body !== 'object' || body === null) return false;
  return 'events' in body && Array.isArray(body.events);
}

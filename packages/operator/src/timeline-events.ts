/** Collects the event rings of all processes into one causal order. */
import {compareHybrid, type TimelineEvent} from '@dragonflyward/common';
import type {AdminReply} from './fleet.js';

/** A time in which a process did not answer. */
export interface Silence {
  /** When it first did not answer, by the collector's clock. */
  readonly fromMs: number;
  /** When it answered again; null where it did not. */
  readonly toMs: number | null;
}

/** What was collected from one process. */
export interface RingSummary {
  readonly process: string;
  readonly events: number;
  /** How many older events the process no longer kept. */
  readonly dropped: number;
  /** Why the newest attempt to read it failed; empty where it did not. */
  readonly failure: string;
  readonly silences: readonly Silence[];
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

/** Gathers events, each of them once, also over several readings. */
export class EventCollector {
  private readonly events = new Map<string, TimelineEvent>();
  private readonly rings = new Map<string, RingSummary>();
  /** The name that a process gives itself, by its name in the fleet. */
  private readonly ownNames = new Map<string, string>();

  /**
   * Takes in what the processes answered.
   *
   * @example
   * collector.addReplies(await fleet.readAll('/events'), Date.now());
   */
  addReplies(replies: readonly AdminReply[], nowMs: number): void {
    for (const {process, body, failure} of replies) {
      if (isRing(body)) this.addRing(process.name, body, nowMs);
      else this.addSilence(process.name, failure || 'not a ring', nowMs);
    }
  }

  /** Takes in a time line that was collected before. */
  addTimeline(timeline: Timeline): void {
    for (const ring of timeline.rings) this.rings.set(ring.process, ring);
    for (const event of timeline.events) this.events.set(keyOf(event), event);
  }

  /**
   * The time line of all that was collected.
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
    this.ownNames.set(name, process);
    const {dropped} = body;
    const known = this.rings.get(process)?.silences ?? [];
    const silences = known.map(silence => ({
      ...silence,
      toMs: silence.toMs ?? nowMs,
    }));
    const failure = '';
    this.rings.set(process, {process, events: 0, dropped, failure, silences});
    for (const event of body.events) this.events.set(keyOf(event), event);
  }

  private addSilence(name: string, failure: string, nowMs: number): void {
    const process = this.ownNames.get(name) ?? name;
    const known = this.rings.get(process);
    const {dropped = 0, silences = []} = known ?? {};
    const isNew = known === undefined || known.failure === '';
    const added = isNew ? [{fromMs: nowMs, toMs: null}] : [];
    const all = [...silences, ...added];
    const ring = {process, events: 0, dropped, failure, silences: all};
    this.rings.set(process, ring);
  }
}

/** Orders events by hybrid time; a process's own events keep their order. */
function compareEvents(a: TimelineEvent, b: TimelineEvent): number {
  return compareHybrid(a.at, b.at) || compareText(a.process, b.process);
}

function compareRings(a: RingSummary, b: RingSummary): number {
  return compareText(a.process, b.process);
}

function compareText(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

/** A process gives each hybrid time only once. */
function keyOf({process, at}: TimelineEvent): string {
  return `${process} ${at.wallMs} ${at.count}`;
}

function isRing(body: unknown): body is RingBody {
  if (typeof body !== 'object' || body === null) return false;
  return 'events' in body && Array.isArray(body.events);
}

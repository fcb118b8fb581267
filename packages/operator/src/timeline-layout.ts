/** Places a time line's events on a page: lanes, rows, marks and spans. */
import type {TimelineEvent} from '@dragonflyward/common';
import {findSpans, type OwnerSpan} from './ownership-spans.js';
import type {RingSummary, Timeline} from './timeline-events.js';
import {groupIndexOf} from './timeline-groups.js';

const MIN_WIDTH_PX = 1_100;
const MAX_WIDTH_PX = 8_000;
const PX_PER_SECOND = 12;
const EDGE_PX = 24;
/** Room for a mark and the number beside it. */
const MARK_SPACE_PX = 28;
const ROW_PX = 18;
const LANE_PADDING_PX = 8;
const MIN_LANE_PX = 44;
const AXIS_PX = 28;
const MS_PER_SECOND = 1_000;

/** Turns times into positions. */
export interface TimeScale {
  readonly startMs: number;
  readonly endMs: number;
  readonly widthPx: number;
}

/** One or more events of one group that stand at the same place. */
export interface Mark {
  readonly xPx: number;
  readonly yPx: number;
  readonly group: number;
  readonly events: readonly TimelineEvent[];
  /** Index of the first of them in the time line. */
  readonly index: number;
}

/** The time in which a process owned a shard, as a bar. */
export interface Bar {
  readonly fromPx: number;
  readonly toPx: number;
  readonly yPx: number;
  readonly span: OwnerSpan;
  /** Number of the shard among all that were owned, for its colour. */
  readonly shardIndex: number;
}

/** A time in which a process did not answer, as it is drawn. */
export interface Gap {
  readonly fromPx: number;
  readonly toPx: number;
}

/** All that is drawn for one process. */
export interface Lane {
  readonly ring: RingSummary;
  readonly topPx: number;
  readonly heightPx: number;
  readonly marks: readonly Mark[];
  readonly bars: readonly Bar[];
  readonly gaps: readonly Gap[];
}

/** A whole drawing. */
export interface Layout {
  readonly scale: TimeScale;
  readonly lanes: readonly Lane[];
  readonly heightPx: number;
}

interface OpenMark extends Omit<Mark, 'yPx' | 'events'> {
  readonly events: TimelineEvent[];
}

interface IndexedEvent {
  readonly event: TimelineEvent;
  readonly index: number;
}

/**
 * Finds the position of a time.
 *
 * @example
 * const x = toX(scale, event.at.wallMs);
 */
export function toX(scale: TimeScale, atMs: number): number {
  const {startMs, endMs, widthPx} = scale;
  const lengthMs = Math.max(1, endMs - startMs);
  const part = (atMs - startMs) / lengthMs;
  return EDGE_PX + part * (widthPx - 2 * EDGE_PX);
}

/**
 * Places a whole time line.
 *
 * @example
 * const layout = layOut(timeline);
 */
export function layOut(timeline: Timeline): Layout {
  const {events, rings} = timeline;
  const scale = makeScale(events);
  const spans = findSpans(events);
  const shards = [...new Set(spans.map(({shard}) => shard))].sort();
  const byProcess = indexByProcess(events);
  const lanes: Lane[] = [];
  let topPx = AXIS_PX;
  for (const ring of rings) {
    const own = byProcess.get(ring.process) ?? [];
    const ownSpans = spans.filter(span => span.process === ring.process);
    const lane = makeLane({ring, own, spans: ownSpans, shards, scale, topPx});
    lanes.push(lane);
    topPx += lane.heightPx;
  }
  return {scale, lanes, heightPx: topPx + AXIS_PX};
}

function makeScale(events: readonly TimelineEvent[]): TimeScale {
  const startMs = events[0]?.at.wallMs ?? 0;
  const endMs = events.at(-1)?.at.wallMs ?? startMs;
  const wantedPx = ((endMs - startMs) / MS_PER_SECOND) * PX_PER_SECOND;
  const widthPx = Math.min(MAX_WIDTH_PX, Math.max(MIN_WIDTH_PX, wantedPx));
  return {startMs, endMs, widthPx};
}

function indexByProcess(
  events: readonly TimelineEvent[],
): ReadonlyMap<string, readonly IndexedEvent[]> {
  const byProcess = new Map<string, IndexedEvent[]>();
  events.forEach((event, index) => {
    const own = byProcess.get(event.process) ?? [];
    own.push({event, index});
    byProcess.set(event.process, own);
  });
  return byProcess;
}

interface LaneParts {
  readonly ring: RingSummary;
  readonly own: readonly IndexedEvent[];
  readonly spans: readonly OwnerSpan[];
  /** All shards that any process owned. */
  readonly shards: readonly string[];
  readonly scale: TimeScale;
  readonly topPx: number;
}

/** A lane has a row for each shard that was owned, then one per group. */
function makeLane(parts: LaneParts): Lane {
  const {ring, own, spans, shards, scale, topPx} = parts;
  const ownShards = shards.filter(name =>
    spans.some(({shard}) => shard === name),
  );
  const groups = new Set(own.map(({event}) => groupIndexOf(event.kind)));
  const groupRows = [...groups].sort((a, b) => a - b);
  const rows = ownShards.length + groupRows.length;
  const yOf = (row: number): number =>
    topPx + LANE_PADDING_PX + (row + 0.5) * ROW_PX;
  const bars = spans.map(span => ({
    fromPx: toX(scale, span.fromMs),
    toPx: toX(scale, span.toMs ?? scale.endMs),
    yPx: yOf(ownShards.indexOf(span.shard)),
    span,
    shardIndex: shards.indexOf(span.shard),
  }));
  const marks = [...makeMarks(own, scale)].map(mark => ({
    ...mark,
    yPx: yOf(ownShards.length + groupRows.indexOf(mark.group)),
  }));
  const heightPx = Math.max(MIN_LANE_PX, rows * ROW_PX + 2 * LANE_PADDING_PX);
  const gaps = ring.silences.map(({fromMs, toMs}) => ({
    fromPx: Math.max(0, toX(scale, fromMs)),
    toPx: Math.min(scale.widthPx, toX(scale, toMs ?? Infinity)),
  }));
  return {ring, topPx, heightPx, marks, bars, gaps};
}

/** Events of one group that would cover each other become one mark. */
function* makeMarks(
  own: readonly IndexedEvent[],
  scale: TimeScale,
): Generator<Omit<Mark, 'yPx'>> {
  const open = new Map<number, OpenMark>();
  for (const {event, index} of own) {
    const group = groupIndexOf(event.kind);
    const xPx = toX(scale, event.at.wallMs);
    const mark = open.get(group);
    if (mark !== undefined && xPx < mark.xPx + MARK_SPACE_PX) {
      mark.events.push(event);
      continue;
    }
    if (mark !== undefined) yield mark;
    open.set(group, {xPx, group, events: [event], index});
  }
  yield* open.values();
}

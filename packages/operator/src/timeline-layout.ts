/** Computes the positions of a timeline's lanes, rows, marks and bars. */
import type {TimelineEvent} from '@dragonflyward/common';
import {findOwnershipSpans, type OwnershipSpan} from './ownership-spans.js';
import type {RingSummary, Timeline} from './timeline-events.js';
import {groupIndexOf} from './timeline-groups.js';

const MIN_WIDTH_PX = 1_100;
const MAX_WIDTH_PX = 8_000;
const PX_PER_SECOND = 12;
const EDGE_MARGIN_PX = 24;
/** Width of a mark and the number beside it. */
const MARK_SPACING_PX = 28;
const ROW_HEIGHT_PX = 18;
const LANE_PADDING_PX = 8;
const MIN_LANE_HEIGHT_PX = 44;
const AXIS_HEIGHT_PX = 28;
const MS_PER_SECOND = 1_000;

/** The linear mapping from times to x positions. */
export interface TimeScale {
  readonly startMs: number;
  readonly endMs: number;
  readonly widthPx: number;
}

/** One or more events of one group that are drawn as one mark. */
export interface Mark {
  readonly xPx: number;
  readonly yPx: number;
  readonly group: number;
  readonly events: readonly TimelineEvent[];
  /** Index of the first event in the timeline. */
  readonly index: number;
}

/** The bar of a time span in which a process owned a shard. */
export interface Bar {
  readonly fromPx: number;
  readonly toPx: number;
  readonly yPx: number;
  readonly span: OwnershipSpan;
  /** Index of the shard among all owned shards; selects the colour. */
  readonly shardIndex: number;
}

/** The shaded area of a period in which a process did not answer. */
export interface Gap {
  readonly fromPx: number;
  readonly toPx: number;
}

/** Everything that is drawn for one process. */
export interface Lane {
  readonly ring: RingSummary;
  readonly topPx: number;
  readonly heightPx: number;
  readonly marks: readonly Mark[];
  readonly bars: readonly Bar[];
  readonly gaps: readonly Gap[];
}

/** The positions of everything in a timeline. */
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
 * Converts a time to an x position.
 *
 * @example
 * const x = timeToX(scale, event.at.wallMs);
 */
export function timeToX(scale: TimeScale, atMs: number): number {
  const {startMs, endMs, widthPx} = scale;
  const lengthMs = Math.max(1, endMs - startMs);
  const fraction = (atMs - startMs) / lengthMs;
  return EDGE_MARGIN_PX + fraction * (widthPx - 2 * EDGE_MARGIN_PX);
}

/**
 * Computes the layout of a timeline.
 *
 * @example
 * const layout = computeLayout(timeline);
 */
export function computeLayout(timeline: Timeline): Layout {
  const {events, rings} = timeline;
  const scale = makeScale(events);
  const spans = findOwnershipSpans(events);
  const shards = [...new Set(spans.map(({shard}) => shard))].sort();
  const byProcess = indexByProcess(events);
  const lanes: Lane[] = [];
  let topPx = AXIS_HEIGHT_PX;
  for (const ring of rings) {
    const processEvents = byProcess.get(ring.process) ?? [];
    const processSpans = spans.filter(span => span.process === ring.process);
    const lane = makeLane({
      ring,
      processEvents,
      spans: processSpans,
      shards,
      scale,
      topPx,
    });
    lanes.push(lane);
    topPx += lane.heightPx;
  }
  return {scale, lanes, heightPx: topPx + AXIS_HEIGHT_PX};
}

function makeScale(events: readonly TimelineEvent[]): TimeScale {
  const startMs = events[0]?.at.wallMs ?? 0;
  const endMs = events.at(-1)?.at.wallMs ?? startMs;
  const unclampedWidthPx = ((endMs - startMs) / MS_PER_SECOND) * PX_PER_SECOND;
  const widthPx = Math.min(
    MAX_WIDTH_PX,
    Math.max(MIN_WIDTH_PX, unclampedWidthPx),
  );
  return {startMs, endMs, widthPx};
}

function indexByProcess(
  events: readonly TimelineEvent[],
): ReadonlyMap<string, readonly IndexedEvent[]> {
  const byProcess = new Map<string, IndexedEvent[]>();
  events.forEach((event, index) => {
    const processEvents = byProcess.get(event.process) ?? [];
    processEvents.push({event, index});
    byProcess.set(event.process, processEvents);
  });
  return byProcess;
}

interface LaneInput {
  readonly ring: RingSummary;
  readonly processEvents: readonly IndexedEvent[];
  readonly spans: readonly OwnershipSpan[];
  /** The shards owned by any process. */
  readonly shards: readonly string[];
  readonly scale: TimeScale;
  readonly topPx: number;
}

/** Makes a lane with one row per owned shard, then one per event group. */
function makeLane(input: LaneInput): Lane {
  const {ring, processEvents, spans, shards, scale, topPx} = input;
  const ownedShards = shards.filter(name =>
    spans.some(({shard}) => shard === name),
  );
  const groups = new Set(
    processEvents.map(({event}) => groupIndexOf(event.kind)),
  );
  const groupRows = [...groups].sort((a, b) => a - b);
  const rows = ownedShards.length + groupRows.length;
  const rowCenterPx = (row: number): number =>
    topPx + LANE_PADDING_PX + (row + 0.5) * ROW_HEIGHT_PX;
  const bars = spans.map(span => ({
    fromPx: timeToX(scale, span.fromMs),
    toPx: timeToX(scale, span.toMs ?? scale.endMs),
    yPx: rowCenterPx(ownedShards.indexOf(span.shard)),
    span,
    shardIndex: shards.indexOf(span.shard),
  }));
  const marks = [...makeMarks(processEvents, scale)].map(mark => ({
    ...mark,
    yPx: rowCenterPx(ownedShards.length + groupRows.indexOf(mark.group)),
  }));
  const heightPx = Math.max(
    MIN_LANE_HEIGHT_PX,
    rows * ROW_HEIGHT_PX + 2 * LANE_PADDING_PX,
  );
  const gaps = ring.silences.map(({fromMs, toMs}) => ({
    fromPx: Math.max(0, timeToX(scale, fromMs)),
    toPx: Math.min(scale.widthPx, timeToX(scale, toMs ?? Infinity)),
  }));
  return {ring, topPx, heightPx, marks, bars, gaps};
}

/** Merges events of one group into one mark where they would overlap. */
function* makeMarks(
  processEvents: readonly IndexedEvent[],
  scale: TimeScale,
): Generator<Omit<Mark, 'yPx'>> {
  const openMarks = new Map<number, OpenMark>();
  for (const {event, index} of processEvents) {
    const group = groupIndexOf(event.kind);
    const xPx = timeToX(scale, event.at.wallMs);
    const mark = openMarks.get(group);
    if (mark !== undefined && xPx < mark.xPx + MARK_SPACING_PX) {
      mark.events.push(event);
      continue;
    }
    if (mark !== undefined) yield mark;
    openMarks.set(group, {xPx, group, events: [event], index});
  }
  yield* openMarks.values();
}

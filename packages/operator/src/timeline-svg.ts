/** Draws a timeline's lanes as SVG. */
import type {TimelineEvent} from '@dragonflyward/common';
import {KIND_GROUPS, type MarkShape} from './timeline-groups.js';
import {
  timeToX,
  type Bar,
  type Lane,
  type Layout,
  type Mark,
} from './timeline-layout.js';
import {formatSubject, formatTime, describeGaps} from './timeline-text.js';

/** Width of the column that names the processes. */
export const LABEL_WIDTH_PX = 250;
const AXIS_LABEL_Y_PX = 17;
const MIN_TICK_SPACING_PX = 90;
const TICK_FACTORS = [1, 2, 5, 10] as const;
const MS_PER_SECOND = 1_000;
const MARK_RADIUS_PX = 5;
const BAR_HEIGHT_PX = 12;
const MAX_TITLE_EVENTS = 12;
const MIN_GAP_LABEL_WIDTH_PX = 70;
const BAR_COLOURS = ['#ddd6fe', '#bfdbfe', '#bbf7d0', '#fde68a', '#fecaca'];

/**
 * Escapes a text for HTML and SVG.
 *
 * @example
 * escapeHtml('<a & b>'); // '&lt;a &amp; b&gt;'
 */
export function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}

/**
 * Draws the column that names the lanes.
 *
 * @example
 * const parts = [...drawLabels(layout)];
 */
export function* drawLabels({lanes, heightPx}: Layout): Generator<string> {
  yield openSvgTag(
    LABEL_WIDTH_PX,
    heightPx,
    'labels',
    'Names of the processes',
  );
  for (const lane of lanes) {
    yield drawLaneBackground(lane, LABEL_WIDTH_PX);
    const {process, events} = lane.ring;
    const gap = describeGaps(lane.ring);
    const note = `${events} events${gap === '' ? '' : ' (incomplete)'}`;
    yield drawText('lane', 10, lane.topPx + 18, process);
    yield `<g><title>${escapeHtml(gap || note)}</title>`;
    yield drawText('note', 10, lane.topPx + 34, note);
    yield '</g>';
  }
  yield '</svg>';
}

/**
 * Draws the lanes with their axis, bars and marks.
 *
 * @param rowCount number of events in the table below; marks link to them
 * @example
 * const parts = [...drawLanes(layout, timeline.events.length)];
 */
export function* drawLanes(
  layout: Layout,
  rowCount: number,
): Generator<string> {
  const {scale, lanes, heightPx} = layout;
  const {widthPx} = scale;
  yield openSvgTag(widthPx, heightPx, 'plot', 'Events by process over time');
  for (const lane of lanes) yield drawLaneBackground(lane, widthPx);
  yield* drawAxis(layout);
  for (const lane of lanes) {
    yield* drawGaps(lane);
    for (const bar of lane.bars) yield* drawBar(bar);
    for (const mark of lane.marks) yield drawMark(mark, rowCount);
  }
  yield '</svg>';
}

function openSvgTag(
  widthPx: number,
  heightPx: number,
  className: string,
  label: string,
): string {
  const size = `width="${widthPx}" height="${heightPx}"`;
  const viewBox = `viewBox="0 0 ${widthPx} ${heightPx}"`;
  return `<svg class="${className}" ${size} ${viewBox} role="img" aria-label="${label}">`;
}

function drawText(
  className: string,
  x: number,
  y: number,
  content: string,
): string {
  const geometry = `x="${formatPx(x)}" y="${formatPx(y)}"`;
  return `<text class="${className}" ${geometry}>${escapeHtml(content)}</text>`;
}

function drawLaneBackground({topPx, heightPx}: Lane, widthPx: number): string {
  const geometry = `x="0" y="${topPx}" width="${widthPx}" height="${heightPx}"`;
  return `<rect class="bg" ${geometry}/>`;
}

/** Shades the periods in which a process did not answer. */
function* drawGaps(lane: Lane): Generator<string> {
  const {ring, gaps, topPx, heightPx} = lane;
  for (const {fromPx, toPx} of gaps) {
    const width = Math.max(0, toPx - fromPx);
    const geometry = `x="${formatPx(fromPx)}" y="${topPx}" width="${formatPx(width)}"`;
    yield `<rect class="silent" ${geometry} height="${heightPx}"><title>`;
    yield `${escapeHtml(describeGaps(ring))}</title></rect>`;
    if (width < MIN_GAP_LABEL_WIDTH_PX) continue;
    yield drawText('silence', fromPx + 6, topPx + heightPx - 6, 'no answer');
  }
}

function* drawAxis({scale, heightPx}: Layout): Generator<string> {
  const {startMs, endMs} = scale;
  const stepMs = chooseTickStepMs(endMs - startMs, scale.widthPx);
  const decimals = stepMs < MS_PER_SECOND ? 2 : 0;
  for (let atMs = startMs; atMs <= endMs; atMs += stepMs) {
    const x = timeToX(scale, atMs);
    const seconds = ((atMs - startMs) / MS_PER_SECOND).toFixed(decimals);
    yield `<path class="tick" d="M${formatPx(x)} 22V${heightPx - 22}"/>`;
    yield drawText('axis', x, AXIS_LABEL_Y_PX, `+${seconds} s`);
    yield drawText('axis', x, heightPx - 8, `+${seconds} s`);
  }
}

/**
 * Chooses the shortest step, a power of ten times 1, 2, 5 or 10, that keeps
 * the ticks far enough apart.
 */
function chooseTickStepMs(lengthMs: number, widthPx: number): number {
  const minStepMs = Math.max(1, (lengthMs * MIN_TICK_SPACING_PX) / widthPx);
  const magnitude = 10 ** Math.floor(Math.log10(minStepMs));
  const factor = TICK_FACTORS.find(f => f * magnitude >= minStepMs) ?? 1;
  return factor * magnitude;
}

function* drawBar({
  fromPx,
  toPx,
  yPx,
  span,
  shardIndex,
}: Bar): Generator<string> {
  const {shard, term, isEndReported, toMs, process} = span;
  const colour = BAR_COLOURS[shardIndex % BAR_COLOURS.length] ?? '';
  const width = formatPx(Math.max(2, toPx - fromPx));
  const y = formatPx(yPx - BAR_HEIGHT_PX / 2);
  const isEndUnreported = toMs !== undefined && !isEndReported;
  const end = isEndUnreported ? ', until another process took over' : '';
  const title = `${process} owns ${shard} under term ${term}${end}`;
  const geometry = `x="${formatPx(fromPx)}" y="${y}" width="${width}"`;
  const style = `height="${BAR_HEIGHT_PX}" fill="${colour}"`;
  yield `<rect class="own${isEndUnreported ? ' cut' : ''}" ${geometry} ${style}>`;
  yield `<title>${escapeHtml(title)}</title></rect>`;
  yield drawText('own', fromPx + 4, yPx + 4, `${shard} · term ${term}`);
}

function drawMark(mark: Mark, rowCount: number): string {
  const {xPx, yPx, events, index} = mark;
  const group = KIND_GROUPS[mark.group];
  if (group === undefined) return '';
  const shape = drawShape(group.shape, xPx, yPx, group.colour);
  const count =
    events.length > 1
      ? drawText('count', xPx + 7, yPx + 4, `${events.length}`)
      : '';
  const title = `<title>${escapeHtml(formatMarkTitle(events))}</title>`;
  const content = `${shape}${count}${title}`;
  if (index >= rowCount) return `<g class="mark">${content}</g>`;
  return `<a class="mark" href="#e${index}">${content}</a>`;
}

function formatMarkTitle(events: readonly TimelineEvent[]): string {
  const lines = events.slice(0, MAX_TITLE_EVENTS).map(event => {
    const {at, kind, subject, note} = event;
    return `${formatTime(at)} ${kind} ${formatSubject(subject)} ${note}`.trim();
  });
  const more = events.length - lines.length;
  if (more > 0) lines.push(`and ${more} more`);
  return lines.join('\n');
}

/**
 * Draws one mark.
 *
 * @example
 * drawShape('circle', 10, 10, '#15803d');
 */
export function drawShape(
  shape: MarkShape,
  x: number,
  y: number,
  colour: string,
): string {
  const r = MARK_RADIUS_PX;
  const point = (dx: number, dy: number): string =>
    `${formatPx(x + dx)} ${formatPx(y + dy)}`;
  const filled = (path: string): string =>
    `<path d="${path}" fill="${colour}"/>`;
  const stroked = (path: string): string =>
    `<path d="${path}" stroke="${colour}" stroke-width="2.5" fill="none"/>`;
  const circle = `cx="${formatPx(x)}" cy="${formatPx(y)}"`;
  switch (shape) {
    case 'circle':
      return `<circle ${circle} r="${r}" fill="${colour}"/>`;
    case 'ring':
      return `<circle ${circle} r="${r - 1}" fill="#fff" stroke="${colour}" stroke-width="2.5"/>`;
    case 'square':
      return filled(`M${point(-r, -r)}h${2 * r}v${2 * r}h${-2 * r}z`);
    case 'diamond':
      return filled(
        `M${point(0, -r - 1)}L${point(r, 0)}L${point(0, r + 1)}L${point(-r, 0)}z`,
      );
    case 'up':
      return filled(`M${point(0, -r)}L${point(r, r)}L${point(-r, r)}z`);
    case 'down':
      return filled(`M${point(0, r)}L${point(r, -r)}L${point(-r, -r)}z`);
    case 'bar':
      return filled(`M${point(-2, -r - 2)}h4v${2 * r + 4}h-4z`);
    case 'cross':
      return stroked(
        `M${point(-r, -r)}L${point(r, r)}M${point(r, -r)}L${point(-r, r)}`,
      );
  }
}

function formatPx(value: number): string {
  return String(Math.round(value * 10) / 10);
}

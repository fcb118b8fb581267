/** Draws a time line's lanes as SVG. */
import type {TimelineEvent} from '@dragonflyward/common';
import {KIND_GROUPS, type MarkShape} from './timeline-groups.js';
import {
  toX,
  type Bar,
  type Lane,
  type Layout,
  type Mark,
} from './timeline-layout.js';
import {formatSubject, formatTime, gapOf} from './timeline-text.js';

/** Width of the column that names the processes. */
export const LABEL_WIDTH_PX = 250;
const AXIS_LABEL_Y_PX = 17;
const MIN_TICK_PX = 90;
const TICK_FACTORS = [1, 2, 5, 10] as const;
const MS_PER_SECOND = 1_000;
const MARK_RADIUS_PX = 5;
const BAR_HEIGHT_PX = 12;
const MAX_TITLE_EVENTS = 12;
const GAP_TEXT_PX = 70;
const BAR_COLOURS = ['#ddd6fe', '#bfdbfe', '#bbf7d0', '#fde68a', '#fecaca'];

/**
 * Makes a text safe within HTML and SVG.
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
 * const parts = [...labelSvg(layout)];
 */
export function* labelSvg({lanes, heightPx}: Layout): Generator<string> {
  yield openSvg(LABEL_WIDTH_PX, heightPx, 'labels', 'Names of the processes');
  for (const lane of lanes) {
    yield laneBackground(lane, LABEL_WIDTH_PX);
    const {process, events} = lane.ring;
    const gap = gapOf(lane.ring);
    const note = `${events} events${gap === '' ? '' : ' (incomplete)'}`;
    yield text('lane', 10, lane.topPx + 18, process);
    yield `<g><title>${escapeHtml(gap || note)}</title>`;
    yield text('note', 10, lane.topPx + 34, note);
    yield '</g>';
  }
  yield '</svg>';
}

/**
 * Draws the lanes with their axis, bars and marks.
 *
 * @param rows how many events the table below shows; marks link to them
 * @example
 * const parts = [...laneSvg(layout, timeline.events.length)];
 */
export function* laneSvg(layout: Layout, rows: number): Generator<string> {
  const {scale, lanes, heightPx} = layout;
  const {widthPx} = scale;
  yield openSvg(widthPx, heightPx, 'plot', 'Events by process over time');
  for (const lane of lanes) yield laneBackground(lane, widthPx);
  yield* drawAxis(layout);
  for (const lane of lanes) {
    yield* drawGaps(lane);
    for (const bar of lane.bars) yield* drawBar(bar);
    for (const mark of lane.marks) yield drawMark(mark, rows);
  }
  yield '</svg>';
}

function openSvg(
  widthPx: number,
  heightPx: number,
  name: string,
  label: string,
): string {
  const size = `width="${widthPx}" height="${heightPx}"`;
  const box = `viewBox="0 0 ${widthPx} ${heightPx}"`;
  return `<svg class="${name}" ${size} ${box} role="img" aria-label="${label}">`;
}

function text(name: string, x: number, y: number, content: string): string {
  const place = `x="${px(x)}" y="${px(y)}"`;
  return `<text class="${name}" ${place}>${escapeHtml(content)}</text>`;
}

function laneBackground({topPx, heightPx}: Lane, widthPx: number): string {
  const place = `x="0" y="${topPx}" width="${widthPx}" height="${heightPx}"`;
  return `<rect class="bg" ${place}/>`;
}

/** Shades the times in which a process did not answer. */
function* drawGaps(lane: Lane): Generator<string> {
  const {ring, gaps, topPx, heightPx} = lane;
  for (const {fromPx, toPx} of gaps) {
    const width = Math.max(0, toPx - fromPx);
    const place = `x="${px(fromPx)}" y="${topPx}" width="${px(width)}"`;
    yield `<rect class="silent" ${place} height="${heightPx}"><title>`;
    yield `${escapeHtml(gapOf(ring))}</title></rect>`;
    if (width < GAP_TEXT_PX) continue;
    yield text('silence', fromPx + 6, topPx + heightPx - 6, 'no answer');
  }
}

function* drawAxis({scale, heightPx}: Layout): Generator<string> {
  const {startMs, endMs} = scale;
  const stepMs = tickStep(endMs - startMs, scale.widthPx);
  const decimals = stepMs < MS_PER_SECOND ? 2 : 0;
  for (let atMs = startMs; atMs <= endMs; atMs += stepMs) {
    const x = toX(scale, atMs);
    const seconds = ((atMs - startMs) / MS_PER_SECOND).toFixed(decimals);
    yield `<path class="tick" d="M${px(x)} 22V${heightPx - 22}"/>`;
    yield text('axis', x, AXIS_LABEL_Y_PX, `+${seconds} s`);
    yield text('axis', x, heightPx - 8, `+${seconds} s`);
  }
}

/** The shortest of 1, 2 or 5 times a power of ten that leaves room. */
function tickStep(lengthMs: number, widthPx: number): number {
  const leastMs = Math.max(1, (lengthMs * MIN_TICK_PX) / widthPx);
  const power = 10 ** Math.floor(Math.log10(leastMs));
  const factor = TICK_FACTORS.find(f => f * power >= leastMs) ?? 1;
  return factor * power;
}

function* drawBar({
  fromPx,
  toPx,
  yPx,
  span,
  shardIndex,
}: Bar): Generator<string> {
  const {shard, term, isEndSeen, toMs, process} = span;
  const colour = BAR_COLOURS[shardIndex % BAR_COLOURS.length] ?? '';
  const width = px(Math.max(2, toPx - fromPx));
  const y = px(yPx - BAR_HEIGHT_PX / 2);
  const isCut = toMs !== undefined && !isEndSeen;
  const end = isCut ? ', until another process took over' : '';
  const title = `${process} owns ${shard} under term ${term}${end}`;
  const place = `x="${px(fromPx)}" y="${y}" width="${width}"`;
  const look = `height="${BAR_HEIGHT_PX}" fill="${colour}"`;
  yield `<rect class="own${isCut ? ' cut' : ''}" ${place} ${look}>`;
  yield `<title>${escapeHtml(title)}</title></rect>`;
  yield text('own', fromPx + 4, yPx + 4, `${shard} · term ${term}`);
}

function drawMark(mark: Mark, rows: number): string {
  const {xPx, yPx, events, index} = mark;
  const group = KIND_GROUPS[mark.group];
  if (group === undefined) return '';
  const shape = drawShape(group.shape, xPx, yPx, group.colour);
  const count =
    events.length > 1
      ? text('count', xPx + 7, yPx + 4, `${events.length}`)
      : '';
  const title = `<title>${escapeHtml(titleOf(events))}</title>`;
  const drawn = `${shape}${count}${title}`;
  if (index >= rows) return `<g class="mark">${drawn}</g>`;
  return `<a class="mark" href="#e${index}">${drawn}</a>`;
}

function titleOf(events: readonly TimelineEvent[]): string {
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
  const at = (dx: number, dy: number): string => `${px(x + dx)} ${px(y + dy)}`;
  const filled = (path: string): string =>
    `<path d="${path}" fill="${colour}"/>`;
  const stroked = (path: string): string =>
    `<path d="${path}" stroke="${colour}" stroke-width="2.5" fill="none"/>`;
  const circle = `cx="${px(x)}" cy="${px(y)}"`;
  switch (shape) {
    case 'circle':
      return `<circle ${circle} r="${r}" fill="${colour}"/>`;
    case 'ring':
      return `<circle ${circle} r="${r - 1}" fill="#fff" stroke="${colour}" stroke-width="2.5"/>`;
    case 'square':
      return filled(`M${at(-r, -r)}h${2 * r}v${2 * r}h${-2 * r}z`);
    case 'diamond':
      return filled(
        `M${at(0, -r - 1)}L${at(r, 0)}L${at(0, r + 1)}L${at(-r, 0)}z`,
      );
    case 'up':
      return filled(`M${at(0, -r)}L${at(r, r)}L${at(-r, r)}z`);
    case 'down':
      return filled(`M${at(0, r)}L${at(r, -r)}L${at(-r, -r)}z`);
    case 'bar':
      return filled(`M${at(-2, -r - 2)}h4v${2 * r + 4}h-4z`);
    case 'cross':
      return stroked(`M${at(-r, -r)}L${at(r, r)}M${at(r, -r)}L${at(-r, r)}`);
  }
}

function px(value: number): string {
  return String(Math.round(value * 10) / 10);
}

/** Renders a timeline as a self-contained HTML page. */
import type {TimelineEvent} from '@dragonflyward/common';
import {groupIndexOf, KIND_GROUPS} from './timeline-groups.js';
import type {RingSummary, Timeline} from './timeline-events.js';
import {computeLayout} from './timeline-layout.js';
import {drawShape, escapeHtml, drawLabels, drawLanes} from './timeline-svg.js';
import {formatSubject, describeGaps} from './timeline-text.js';

const MAX_TABLE_ROWS = 5_000;
const MS_PER_SECOND = 1_000;
const LEGEND_MARK_SIZE_PX = 20;

const STYLE = `
body{font:14px/1.45 system-ui,sans-serif;margin:16px;color:#111827;background:#fff}
h1{font-size:20px;margin:0 0 4px}h2{font-size:16px;margin:20px 0 6px}
p{margin:4px 0;max-width:75em}
.legend{display:flex;flex-wrap:wrap;gap:4px 18px;margin:8px 0;padding:0;list-style:none}
.legend li{display:flex;align-items:center;gap:5px}
.scroll{display:flex;overflow-x:auto;border:1px solid #d1d5db;margin-top:8px}
.labels{position:sticky;left:0;z-index:1;background:#fff;flex:none;border-right:1px solid #d1d5db}
.plot{flex:none}svg text{font:12px system-ui,sans-serif;fill:#111827}
svg .lane{font-weight:600;font-size:13px}svg .note{fill:#4b5563}
svg .axis{text-anchor:middle;fill:#4b5563}svg .silence{fill:#991b1b}
svg .count{font-size:10px;fill:#374151}svg .own{font-size:11px}
rect.bg{fill:#f9fafb;stroke:#e5e7eb}rect.own{stroke:#6b7280;stroke-width:.5}
rect.cut{stroke:#991b1b;stroke-width:1.5;stroke-dasharray:4 3}
rect.silent{fill:#fee2e2;opacity:.7}.tick{stroke:#e5e7eb;stroke-width:1}
.mark{cursor:pointer}.mark:hover path,.mark:hover circle,.mark:focus path,.mark:focus circle{stroke:#111827;stroke-width:2}
table{border-collapse:collapse;font-size:13px;width:100%}
th,td{text-align:left;padding:3px 10px 3px 0;border-bottom:1px solid #e5e7eb;vertical-align:top}
td{overflow-wrap:anywhere}td.time,td.at,td.kind,td.process{white-space:nowrap;overflow-wrap:normal}
th{position:sticky;top:0;background:#fff;padding-right:24px}td.at{text-align:right;font-variant-numeric:tabular-nums}
tr:target{background:#fef3c7}td.kind svg{vertical-align:-4px;margin-right:4px}
`;

/**
 * Renders the page as a sequence of HTML fragments.
 *
 * @param caption describes the filter that was used
 * @example
 * writeFileSync(file, [...renderTimelinePage(timeline, 'job j-1')].join('\n'));
 */
export function* renderTimelinePage(
  timeline: Timeline,
  caption: string,
): Generator<string> {
  const {events, rings} = timeline;
  const layout = computeLayout(timeline);
  const rowCount = Math.min(events.length, MAX_TABLE_ROWS);
  yield '<!doctype html><html lang="en"><head><meta charset="utf-8">';
  yield '<meta name="viewport" content="width=device-width">';
  yield `<title>dragonflyward timeline</title><style>${STYLE}</style></head>`;
  yield '<body><h1>dragonflyward timeline</h1>';
  yield `<p>${escapeHtml(formatSummary(timeline, caption))}</p>`;
  yield* renderGapList(rings);
  yield* renderLegend(events);
  yield '<p>Hover over a mark for its events; click it to see its row below.';
  yield 'The number beside a mark is its count of events. A bar shows which';
  yield 'process owned a shard; a dashed edge means it reported no end. Red';
  yield 'shading marks a period in which the process did not answer.</p>';
  yield '<div class="scroll" tabindex="0">';
  yield* drawLabels(layout);
  yield* drawLanes(layout, rowCount);
  yield '</div><h2>Events in causal order</h2>';
  yield* renderEventTable(events, rowCount);
  yield '</body></html>';
}

function formatSummary({events, rings}: Timeline, caption: string): string {
  const first = events[0]?.at.wallMs;
  const last = events.at(-1)?.at.wallMs;
  if (first === undefined || last === undefined) return `No events. ${caption}`;
  const seconds = ((last - first) / MS_PER_SECOND).toFixed(1);
  const start = new Date(first).toISOString();
  const size = `${events.length} events of ${rings.length} processes`;
  return `${size}, ${seconds} s from ${start}. ${caption}`;
}

function* renderGapList(rings: readonly RingSummary[]): Generator<string> {
  const gaps = rings.filter(ring => describeGaps(ring) !== '');
  if (gaps.length === 0) return;
  yield '<p>Events that may be missing:</p><ul>';
  for (const ring of gaps) {
    yield `<li>${escapeHtml(`${ring.process}: ${describeGaps(ring)}`)}</li>`;
  }
  yield '</ul>';
}

function* renderLegend(events: readonly TimelineEvent[]): Generator<string> {
  const counts = new Map<number, number>();
  for (const {kind} of events) {
    const group = groupIndexOf(kind);
    counts.set(group, (counts.get(group) ?? 0) + 1);
  }
  yield '<ul class="legend">';
  for (const [index, {label}] of KIND_GROUPS.entries()) {
    const count = counts.get(index) ?? 0;
    yield `<li>${drawMarkIcon(index)}${escapeHtml(label)} (${count})</li>`;
  }
  yield '</ul>';
}

function drawMarkIcon(group: number): string {
  const kinds = KIND_GROUPS[group];
  if (kinds === undefined) return '';
  const {shape, colour} = kinds;
  const size = `width="${LEGEND_MARK_SIZE_PX}" height="${LEGEND_MARK_SIZE_PX}"`;
  const middle = LEGEND_MARK_SIZE_PX / 2;
  const mark = drawShape(shape, middle, middle, colour);
  return `<svg ${size} aria-hidden="true">${mark}</svg>`;
}

function* renderEventTable(
  events: readonly TimelineEvent[],
  rowCount: number,
): Generator<string> {
  if (rowCount < events.length) {
    yield `<p>The table shows the first ${rowCount} of ${events.length} events;`;
    yield 'filter the timeline to see the others.</p>';
  }
  const startMs = events[0]?.at.wallMs ?? 0;
  yield '<table><thead><tr><th scope="col">after</th><th scope="col">time';
  yield '</th><th scope="col">process</th><th scope="col">event</th>';
  yield '<th scope="col">about</th><th scope="col">note</th></tr></thead>';
  yield '<tbody>';
  for (const [index, event] of events.slice(0, rowCount).entries()) {
    yield renderEventRow(event, index, startMs);
  }
  yield '</tbody></table>';
}

function renderEventRow(
  event: TimelineEvent,
  index: number,
  startMs: number,
): string {
  const {at, process, kind, subject, note} = event;
  const after = ((at.wallMs - startMs) / MS_PER_SECOND).toFixed(3);
  const time = new Date(at.wallMs).toISOString().slice(11, 23);
  const icon = drawMarkIcon(groupIndexOf(kind));
  const cells = [
    `<td class="at">+${after} s</td><td class="time">${time}</td>`,
    `<td class="process">${escapeHtml(process)}</td>`,
    `<td class="kind">${icon}${kind}</td>`,
    `<td>${escapeHtml(formatSubject(subject))}</td>`,
    `<td>${escapeHtml(note)}</td>`,
  ];
  return `<tr id="e${index}">${cells.join('')}</tr>`;
}

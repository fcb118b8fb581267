/** Finds in the logs of many VMs what became of a job, and why it waited. */

/** A line of a VM's log. */
export interface LogLine {
  /** Unix milliseconds. */
  readonly time: number;
  readonly vm: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** What an engineer needs of the logs to follow one job. */
export interface JobExplanation {
  /** Lines of the job, in the order of time. */
  readonly lines: readonly LogLine[];
  /** Changes of the owner, and what the job's queue waited for meanwhile. */
  readonly context: readonly LogLine[];
}

/** Context of a job this long before and after its own lines, in ms. */
const CONTEXT_MARGIN_MS = 5000;
/** Events that concern all jobs. */
const CELL_EVENTS: ReadonlySet<string> = new Set([
  'processStarted',
  'processDraining',
  'ownerClaimed',
  'ownerTakesOver',
  'ownerActive',
  'ownerLoadFailed',
  'ownerHandsOver',
  'ownerHandsToLarger',
  'ownerUnanswered',
  'ownerIsolated',
  'ownerFenced',
  'ownerStopped',
  'cellState',
  'formerRunsUnknown',
  'progressNotStored',
  'linesDropped',
]);
/** Events that name a queue. */
const QUEUE_EVENTS: ReadonlySet<string> = new Set([
  'queueState',
  'adviceState',
]);

/**
 * Parses a line of a log. Text before the object, as of a log collector, is
 * left out.
 *
 * @returns null if it is no line of a VM
 * @example
 * const line = parseLogLine('{"time":1,"vm":"v","event":"jobStored"}');
 */
export function parseLogLine(text: string): LogLine | null {
  const start = text.indexOf('{');
  if (start < 0) return null;
  try {
    const value = JSON.parse(text.slice(start)) as Record<string, unknown>;
    const {time, vm, event, ...fields} = value;
    delete fields['level'];
    if (typeof time !== 'number' || typeof event !== 'string') return null;
    return {time, vm: typeof vm === 'string' ? vm : '', event, fields};
  } catch {
    // A process that was killed leaves its last line unfinished.
    return null;
  }
}

/**
 * Selects the lines of a job, and those of the cell and of its queue around.
 *
 * @example
 * const {lines} = explainJob('5c0e7a21d94b36f8', logLines);
 */
export function explainJob(
  jobId: string,
  logLines: Iterable<LogLine>,
): JobExplanation {
  const lines: LogLine[] = [];
  const others: LogLine[] = [];
  for (const line of logLines) {
    if (isOfJob(jobId, line)) lines.push(line);
    else if (isContext(line)) others.push(line);
  }
  lines.sort((a, b) => a.time - b.time);
  const queues = new Set(lines.map(({fields}) => fields['queue']));
  const fromMs = (lines[0]?.time ?? Infinity) - CONTEXT_MARGIN_MS;
  const untilMs = (lines.at(-1)?.time ?? -Infinity) + CONTEXT_MARGIN_MS;
  const context = others.filter(
    ({time, event, fields}) =>
      time >= fromMs &&
      time <= untilMs &&
      (!QUEUE_EVENTS.has(event) || queues.has(fields['queue'])),
  );
  return {lines, context: context.sort((a, b) => a.time - b.time)};
}

/** Whether a line may be part of the explanation of a job. */
export function isUseful(jobId: string, line: LogLine): boolean {
  return isContext(line) || isOfJob(jobId, line);
}

function isOfJob(jobId: string, {fields}: LogLine): boolean {
  return JSON.stringify(fields).includes(jobId);
}

function isContext({event}: LogLine): boolean {
  return CELL_EVENTS.has(event) || QUEUE_EVENTS.has(event);
}

/**
 * Formats an explanation, with times since the job's first line in seconds.
 *
 * @example
 * for (const row of formatExplanation(id, explanation)) print(row);
 */
export function* formatExplanation(
  jobId: string,
  {lines, context}: JobExplanation,
): Generator<string> {
  const startMs = lines[0]?.time ?? 0;
  const all = [...lines, ...context].sort((a, b) => a.time - b.time);
  const own = new Set(lines);
  for (const line of all) {
    const seconds = ((line.time - startMs) / 1000).toFixed(3).padStart(9);
    const mark = own.has(line) ? ' ' : '|';
    const fields = own.has(line) ? runsOf(jobId, line.fields) : line.fields;
    yield `${seconds} ${mark} ${line.vm} ${line.event} ${toText(fields)}`;
  }
}

/** Of a line with the runs of several jobs, those of one job. */
function runsOf(jobId: string, fields: LogLine['fields']): LogLine['fields'] {
  const {runs} = fields;
  if (!Array.isArray(runs) || 'step' in fields) return fields;
  const own = runs.filter(row => JSON.stringify(row).includes(jobId));
  return {...fields, runs: own};
}

function toText(fields: LogLine['fields']): string {
  return Object.entries(fields)
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
    .join(' ');
}

/** The command line of dragonflyward-timeline. */
import {readFileSync, writeFileSync} from 'node:fs';
import {EVENT_KINDS, raise} from '@dragonflyward/common';
import {Command, Option} from 'commander';
import {
  makeAction,
  addGlobalOptions,
  type CtlContext,
  type ProgramIo,
} from './ctl-context.js';
import {EXIT, type ExitCode} from './exit-codes.js';
import {readAdmin, type AdminReply, type ProcessAddress} from './fleet.js';
import {EventCollector, type Timeline} from './timeline-events.js';
import {filterTimeline, type EventFilter} from './timeline-filter.js';
import {renderTimelinePage} from './timeline-html.js';
import {formatTimeline} from './timeline-text.js';

const EVENTS_PATH = '/events';
const COLLECT_PERIOD_MS = 500;
const MS_PER_SECOND = 1_000;
const DEFAULT_REPLY_TIMEOUT_MS = 3_000;

type Format = 'text' | 'json' | 'html';

interface TimelineOptions {
  readonly from: readonly string[];
  readonly input: readonly string[];
  readonly for: string;
  readonly format: Format;
  readonly output?: string;
  readonly request?: string;
  readonly job?: string;
  readonly team?: string;
  readonly worker?: string;
  readonly shard?: string;
  readonly kind: readonly string[];
  readonly process?: string;
  readonly since?: string;
  readonly until?: string;
}

async function timeline(
  context: CtlContext,
  options: TimelineOptions,
): Promise<ExitCode> {
  const filter = parseFilter(options);
  const collector = new EventCollector();
  for (const file of options.input) collector.addTimeline(loadTimeline(file));
  await collect(context, options, collector);
  const filtered = filterTimeline(collector.timeline(), filter);
  const text = render(filtered, options.format, formatCaption(filter));
  if (options.output === undefined) context.io.sink.out(text);
  else writeFileSync(options.output, text);
  return EXIT.ok;
}

/** Reads the event rings once, or repeatedly for the duration of --for. */
async function collect(
  context: CtlContext,
  options: TimelineOptions,
  collector: EventCollector,
): Promise<void> {
  const isInputOnly = options.input.length > 0 && options.for === '0';
  if (isInputOnly && options.from.length === 0) return;
  const forMs = Number(options.for) * MS_PER_SECOND;
  if (!(forMs >= 0)) raise('badRequest', '--for: expected a number of seconds');
  const deadlineMs = context.clock.monotonicMs() + forMs;
  for (;;) {
    const replies = await readRings(context, options.from);
    collector.addReplies(replies, context.clock.wallMs());
    if (context.clock.monotonicMs() >= deadlineMs) return;
    await context.clock.sleep(COLLECT_PERIOD_MS);
  }
}

function readRings(
  context: CtlContext,
  from: readonly string[],
): Promise<readonly AdminReply[]> {
  if (from.length === 0) return context.fleet.readAll(EVENTS_PATH);
  return Promise.all(
    from.map(text =>
      readAdmin(parseAddress(text), EVENTS_PATH, DEFAULT_REPLY_TIMEOUT_MS),
    ),
  );
}

function parseAddress(text: string): ProcessAddress {
  const colonIndex = text.lastIndexOf(':');
  const port = Number(text.slice(colonIndex + 1));
  if (colonIndex < 1 || !Number.isInteger(port)) {
    raise('badRequest', `--from ${text}: expected IP:PORT`);
  }
  const ip = text.slice(0, colonIndex);
  const unknownProcess = {
    name: text,
    role: 'unknown',
    vm: text,
    domain: '',
  } as const;
  return {...unknownProcess, ip, port, isLeaving: false};
}

function loadTimeline(file: string): Timeline {
  try {
    return JSON.parse(readFileSync(file, 'utf8')) as Timeline;
  } catch {
    return raise('badJson', `${file}: expected the output of --format json`);
  }
}

function parseFilter(options: TimelineOptions): EventFilter {
  const {kind, since, until} = options;
  return {
    ...pickTextOptions(options),
    ...(kind.length === 0 ? {} : {kind}),
    ...(since === undefined ? {} : {sinceMs: parseTime('--since', since)}),
    ...(until === undefined ? {} : {untilMs: parseTime('--until', until)}),
  };
}

function pickTextOptions(options: TimelineOptions): EventFilter {
  const names = [
    'request',
    'job',
    'team',
    'worker',
    'shard',
    'process',
  ] as const;
  const entries = names.map(name => [name, options[name]] as const);
  return Object.fromEntries(
    entries.filter(([, value]) => value !== undefined),
  ) as EventFilter;
}

function parseTime(flag: string, text: string): number {
  const timeMs = Date.parse(text);
  if (!Number.isNaN(timeMs)) return timeMs;
  return raise('badRequest', `${flag} ${text}: expected an ISO 8601 time`);
}

function formatCaption(filter: EventFilter): string {
  const parts = Object.entries(filter).map(entry => entry.join(' '));
  return parts.length === 0 ? '' : `Only ${parts.join(', ')}.`;
}

function render(filtered: Timeline, format: Format, caption: string): string {
  if (format === 'json') return `${JSON.stringify(filtered, null, 1)}\n`;
  const lines =
    format === 'html'
      ? renderTimelinePage(filtered, caption)
      : formatTimeline(filtered);
  return [...lines].map(line => `${line}\n`).join('');
}

const EXAMPLES = `
Without --from, the processes are found through the VM list of the settings.
Events are lost when their process ends, so collect them while it runs.

Examples:
  dragonflyward-timeline --settings ctl.jsonc --job north-1:j-17
  dragonflyward-timeline --settings ctl.jsonc --for 60 --format json -o run.json
  dragonflyward-timeline --input run.json --format html -o run.html
  dragonflyward-timeline --from 10.0.0.1:8081 --from 10.0.0.1:8091`;

/**
 * Makes the program.
 *
 * @example
 * await runProgram(timelineProgram(PROCESS_IO), ['--format', 'html']);
 */
export function timelineProgram(io: ProgramIo): Command {
  const appendValue = (value: string, all: readonly string[]): string[] => [
    ...all,
    value,
  ];
  const format = new Option('--format <form>', 'output format')
    .choices(['text', 'json', 'html'])
    .default('text');
  const kind = new Option('--kind <kind...>', 'only these kinds of event')
    .choices([...EVENT_KINDS])
    .default([]);
  return addGlobalOptions(new Command('dragonflyward-timeline'))
    .description('Merges the events of all processes into one causal order')
    .option(
      '--from <ip:port>',
      'read this admin port; repeatable',
      appendValue,
      [],
    )
    .option('--input <file>', 'add a saved JSON timeline', appendValue, [])
    .option('--for <seconds>', 'collect for this many seconds', '0')
    .addOption(format)
    .option('-o, --output <file>', 'write to this file')
    .option('--request <id>', 'only events about this request')
    .option('--job <id>', 'only events about this job and its tasks')
    .option('--team <name>', 'only events about this team')
    .option('--worker <id>', 'only events about this worker')
    .option('--shard <name>', 'only events about this shard')
    .addOption(kind)
    .option('--process <name>', 'only events of this process')
    .option('--since <time>', 'only events from this time on')
    .option('--until <time>', 'only events up to this time')
    .addHelpText('after', EXAMPLES)
    .exitOverride()
    .configureOutput({writeOut: io.sink.out, writeErr: io.sink.err})
    .action(makeAction(io, timeline));
}

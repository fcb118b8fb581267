/** The command `status`: every process, its shards, terms and ages. */
import type {Command} from 'commander';
import {action, type CtlContext, type ProgramIo} from './ctl-context.js';
import {EXIT, type ExitCode} from './exit-codes.js';
import {
  configAgeOf,
  configOffsetOf,
  type AdminReply,
  type ProcessStatus,
  type StatusShard,
} from './fleet.js';
import {toTable} from './output.js';

const HEADING = [
  'process',
  'domain',
  'state',
  'config',
  'age ms',
  'owns (shard/term/offset/age ms)',
];

async function status({fleet, output}: CtlContext): Promise<ExitCode> {
  const replies = await fleet.readAll('/status');
  const processes = replies.map(({process, body, failure}) => ({
    ...process,
    status: body ?? null,
    failure,
  }));
  const silent = replies.filter(({body}) => body === undefined);
  output.print({processes}, [
    ...toTable(HEADING, replies.map(statusRow)),
    ...silent.map(({process, failure}) => `${process.name}: ${failure}`),
  ]);
  return silent.length === 0 ? EXIT.ok : EXIT.unavailable;
}

/**
 * Makes the table row of one process.
 *
 * @example
 * const rows = replies.map(statusRow);
 */
export function statusRow({process, body}: AdminReply): readonly string[] {
  const {name, domain, isLeaving} = process;
  if (body === undefined) return [name, domain, 'no answer', '', '', ''];
  const cfg = body as ProcessStatus;
  const owned = (cfg.shards ?? []).filter(shard => shard.isActive);
  return [
    name,
    domain,
    stateOf(cfg, isLeaving),
    `${configOffsetOf(body) ?? '?'}`,
    ageOf(configAgeOf(body)),
    owned.map(formatShard).join(' '),
  ];
}

function stateOf(cfg: ProcessStatus, isLeaving: boolean): string {
  if (cfg.isDraining === true) return 'draining';
  const state = cfg.isReady === false ? 'not ready' : 'ready';
  return isLeaving ? `${state}, leaving` : state;
}

function formatShard({shard, term, offset, logAgeMs}: StatusShard): string {
  return `${shard}/${term}/${offset ?? '?'}/${ageOf(logAgeMs)}`;
}

/** JSON has no infinity: an age that was never known reads as null. */
function ageOf(ageMs: number | null | undefined): string {
  return ageMs == null ? '?' : `${Math.round(ageMs)}`;
}

/**
 * Adds the command `status`.
 *
 * @example
 * addStatusCommand(program, PROCESS_IO);
 */
export function addStatusCommand(program: Command, io: ProgramIo): void {
  program
    .command('status')
    .description('show every process: state, configuration, shards and ages')
    .addHelpText('after', STATUS_NOTE)
    .action(action(io, status));
}

const STATUS_NOTE = `
"config" is the offset up to which a process has applied the configuration
stream; "age" is how long ago it knew that there was nothing newer. The exit
code is 6 where a listed process did not answer.`;

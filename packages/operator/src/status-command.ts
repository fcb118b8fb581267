/** The command `status`: lists every process with its shards and ages. */
import type {Command} from 'commander';
import {makeAction, type CtlContext, type ProgramIo} from './ctl-context.js';
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
  const unanswered = replies.filter(({body}) => body === undefined);
  output.print({processes}, [
    ...toTable(HEADING, replies.map(statusRow)),
    ...unanswered.map(({process, failure}) => `${process.name}: ${failure}`),
  ]);
  return unanswered.length === 0 ? EXIT.ok : EXIT.unavailable;
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
  const processStatus = body as ProcessStatus;
  const owned = (processStatus.shards ?? []).filter(shard => shard.isActive);
  return [
    name,
    domain,
    formatState(processStatus, isLeaving),
    `${configOffsetOf(body) ?? '?'}`,
    formatAge(configAgeOf(body)),
    owned.map(formatShard).join(' '),
  ];
}

function formatState(processStatus: ProcessStatus, isLeaving: boolean): string {
  if (processStatus.isDraining === true) return 'draining';
  const state = processStatus.isReady === false ? 'not ready' : 'ready';
  return isLeaving ? `${state}, leaving` : state;
}

function formatShard({shard, term, offset, logAgeMs}: StatusShard): string {
  return `${shard}/${term}/${offset ?? '?'}/${formatAge(logAgeMs)}`;
}

/** JSON has no infinity, so an age that was never known is null. */
function formatAge(ageMs: number | null | undefined): string {
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
    .action(makeAction(io, status));
}

const STATUS_NOTE = `
"config" is the offset up to which a process has applied the configuration
stream; "age" is the time since it last knew that it had the newest records.
The exit code is 6 if a listed process did not answer.`;

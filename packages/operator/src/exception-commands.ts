/** The commands `exception add|list|remove`. */
import {raise} from '@dragonflyward/common';
import type {Exception, ExceptionScope} from '@dragonflyward/state';
import type {Command} from 'commander';
import {
  requireReason,
  addChangeOptions,
  type ChangeOptions,
} from './apply-change.js';
import {formatExceptions} from './config-commands.js';
import {makeAction, type CtlContext, type ProgramIo} from './ctl-context.js';
import {
  editAndPublish,
  reportEdit,
  type ConfigurationEdit,
} from './edit-config.js';
import {EXIT, type ExitCode} from './exit-codes.js';

/** An exception that is there, or is not, is an error and no empty change. */
const NO_NOTES = {unchanged: '', warnings: []};

interface AddOptions extends ChangeOptions {
  readonly queue?: string;
  readonly team?: string;
  readonly reason: string;
}

async function add(
  context: CtlContext,
  options: AddOptions,
  id: string,
  ...assignments: readonly string[]
): Promise<ExitCode> {
  const {reason} = options;
  requireReason(reason);
  const scope = parseScope(options);
  const set = parseAssignments(assignments.flat());
  const exception: Exception = {id, scope, set, reason};
  const edit: ConfigurationEdit = configuration => {
    const {exceptions} = configuration;
    const isKnown = exceptions.some(existing => existing.id === id);
    if (isKnown) raise('badRequest', `exception "${id}" already exists`);
    return {...configuration, exceptions: [...exceptions, exception]};
  };
  const recordedReason = `exception ${id}: ${reason}`;
  const outcome = await editAndPublish(context, edit, recordedReason);
  return reportEdit(context, outcome, options, NO_NOTES);
}

function parseScope({queue, team}: AddOptions): ExceptionScope {
  if (queue !== undefined && team === undefined) return {queue};
  if (team !== undefined && queue === undefined) return {team};
  return raise('badRequest', 'expected either --queue or --team');
}

/**
 * Parses `key=value` texts; a value that is not JSON is taken as a string.
 *
 * @throws badRequest
 * @example
 * parseAssignments(['maxWaiting=50']); // {maxWaiting: 50}
 */
export function parseAssignments(
  texts: readonly string[],
): Readonly<Record<string, unknown>> {
  const entries = texts.map(text => {
    const equalsIndex = text.indexOf('=');
    if (equalsIndex < 1) raise('badRequest', `"${text}": expected key=value`);
    return [
      text.slice(0, equalsIndex),
      parseValue(text.slice(equalsIndex + 1)),
    ] as const;
  });
  return Object.fromEntries(entries);
}

function parseValue(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return text;
  }
}

interface RemoveOptions extends ChangeOptions {
  readonly reason: string;
}

async function remove(
  context: CtlContext,
  options: RemoveOptions,
  id: string,
): Promise<ExitCode> {
  const {reason} = options;
  requireReason(reason);
  const edit: ConfigurationEdit = configuration => {
    const rest = configuration.exceptions.filter(
      existing => existing.id !== id,
    );
    const isKnown = rest.length < configuration.exceptions.length;
    if (!isKnown) raise('routeUnknown', `no exception "${id}"`);
    return {...configuration, exceptions: rest};
  };
  const recordedReason = `remove exception ${id}: ${reason}`;
  const outcome = await editAndPublish(context, edit, recordedReason);
  return reportEdit(context, outcome, options, NO_NOTES);
}

async function list({configLog, output}: CtlContext): Promise<ExitCode> {
  const {revision, configuration} = await configLog.read();
  const {exceptions} = configuration;
  output.print({revision, exceptions}, [
    `revision ${revision}: ${exceptions.length} exceptions`,
    ...formatExceptions(exceptions),
  ]);
  return EXIT.ok;
}

/**
 * Adds the command `exception` and its subcommands.
 *
 * @example
 * addExceptionCommands(program, PROCESS_IO);
 */
export function addExceptionCommands(program: Command, io: ProgramIo): void {
  const exception = program
    .command('exception')
    .description('add, list and remove overrides of the defaults');
  addChangeOptions(exception.command('add <id> <assignments...>'))
    .description('override values for one queue or team; a reason is required')
    .option('--queue <name>', 'the queue that the values apply to')
    .option('--team <name>', 'the team that the values apply to')
    .addHelpText('after', ADD_EXAMPLE)
    .action(makeAction(io, add));
  exception
    .command('list')
    .description('list the exceptions in force, with their reasons')
    .action(makeAction(io, list));
  addChangeOptions(exception.command('remove <id>'))
    .description('go back to the defaults; a reason is required')
    .action(makeAction(io, remove));
}

const ADD_EXAMPLE = `
Examples:
  dragonflyward-ctl exception add winter-roofs --team roofs share=4 \\
    --reason "storm damage, until the end of January"
  dragonflyward-ctl exception add long-renders --queue renders \\
    maxDeadlineMs=600000 --reason "new image size"`;

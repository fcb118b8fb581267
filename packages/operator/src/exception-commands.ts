/** The commands `exception add|list|remove`. */
import {raise} from '@dragonflyward/common';
import {
  validateConfiguration,
  type Configuration,
  type Exception,
  type ExceptionScope,
} from '@dragonflyward/state';
import type {Command} from 'commander';
import {
  publish,
  requireReason,
  withChangeOptions,
  type ChangeOptions,
} from './apply-change.js';
import {answerPublish, exceptionLines} from './config-commands.js';
import {action, type CtlContext, type ProgramIo} from './ctl-context.js';
import {EXIT, type ExitCode} from './exit-codes.js';

/** A lost race had no effect, so that a change may be made again on top. */
const MAX_ATTEMPTS = 5;

/** Changes a configuration into another. */
export type Revise = (configuration: Configuration) => Configuration;

/** Revises what is in force, and again on top of a change that came first. */
async function publishRevision(
  context: CtlContext,
  revise: Revise,
  reason: string,
  options: ChangeOptions,
): Promise<ExitCode> {
  for (let attempt = 1; ; attempt += 1) {
    const {configLog} = context;
    const {revision, configuration} = await configLog.read();
    const revised = revise(configuration);
    const checked = validateConfiguration(revised);
    if (checked.isErr()) raise('configInvalid', checked.error.detail);
    const draft = {base: revision, reason, configuration: revised};
    const result = await publish(context, draft, configLog);
    const isLost = result.verdict.result !== 'applied';
    if (isLost && attempt < MAX_ATTEMPTS) continue;
    return answerPublish(context, result, options);
  }
}

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
  const scope = readScope(options);
  const set = readAssignments(assignments.flat());
  const exception: Exception = {id, scope, set, reason};
  const revise: Revise = configuration => {
    const {exceptions} = configuration;
    const isKnown = exceptions.some(known => known.id === id);
    if (isKnown) raise('badRequest', `exception "${id}" is there already`);
    return {...configuration, exceptions: [...exceptions, exception]};
  };
  const why = `exception ${id}: ${reason}`;
  return publishRevision(context, revise, why, options);
}

function readScope({queue, team}: AddOptions): ExceptionScope {
  if (queue !== undefined && team === undefined) return {queue};
  if (team !== undefined && queue === undefined) return {team};
  return raise('badRequest', 'want one of --queue and --team');
}

/**
 * Reads `key=value` texts; a value is JSON, or else a plain text.
 *
 * @throws badRequest
 * @example
 * readAssignments(['maxWaiting=50']); // {maxWaiting: 50}
 */
export function readAssignments(
  texts: readonly string[],
): Readonly<Record<string, unknown>> {
  const entries = texts.map(text => {
    const split = text.indexOf('=');
    if (split < 1) raise('badRequest', `"${text}": want key=value`);
    return [text.slice(0, split), readValue(text.slice(split + 1))] as const;
  });
  return Object.fromEntries(entries);
}

function readValue(text: string): unknown {
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
  const revise: Revise = configuration => {
    const rest = configuration.exceptions.filter(known => known.id !== id);
    const isKnown = rest.length < configuration.exceptions.length;
    if (!isKnown) raise('routeUnknown', `no exception "${id}"`);
    return {...configuration, exceptions: rest};
  };
  const why = `remove exception ${id}: ${reason}`;
  return publishRevision(context, revise, why, options);
}

async function list({configLog, output}: CtlContext): Promise<ExitCode> {
  const {revision, configuration} = await configLog.read();
  const {exceptions} = configuration;
  output.print({revision, exceptions}, [
    `revision ${revision}: ${exceptions.length} exceptions`,
    ...exceptionLines(exceptions),
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
    .description('add, list and remove departures from the defaults');
  withChangeOptions(exception.command('add <id> <assignments...>'))
    .description('set values for one queue or team; a reason is required')
    .option('--queue <name>', 'the queue that it applies to')
    .option('--team <name>', 'the team that it applies to')
    .addHelpText('after', ADD_EXAMPLE)
    .action(action(io, add));
  exception
    .command('list')
    .description('list the exceptions in force, with their reasons')
    .action(action(io, list));
  withChangeOptions(exception.command('remove <id>'))
    .description('go back to the defaults; a reason is required')
    .action(action(io, remove));
}

const ADD_EXAMPLE = `
Examples:
  dragonflyward-ctl exception add winter-roofs --team roofs share=4 \\
    --reason "storm damage, until the end of January"
  dragonflyward-ctl exception add long-renders --queue renders \\
    maxDeadlineMs=600000 --reason "new image size"`;

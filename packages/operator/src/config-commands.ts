/** The commands `config check|validate|diff|publish|show|history`. */
import {readFileSync} from 'node:fs';
import {
  diffValues,
  formatDifference,
  parseSettings,
  raise,
} from '@dragonflyward/common';
import {
  CONFIGURATION_SCHEMA,
  validateConfiguration,
  type Configuration,
  type ConfigState,
  type Exception,
  type Publication,
} from '@dragonflyward/state';
import type {Command} from 'commander';
import {
  waitUntilInForce,
  describePublication,
  publish,
  requireReason,
  addChangeOptions,
  type ChangeOptions,
  type PublishResult,
} from './apply-change.js';
import {addCheckCommand} from './config-check-command.js';
import {makeAction, type CtlContext, type ProgramIo} from './ctl-context.js';
import {EXIT, type ExitCode} from './exit-codes.js';
import {toTable} from './output.js';

/**
 * Loads and validates a configuration file.
 *
 * @throws configInvalid, settingsInvalid, naming file, line and key
 * @example
 * const configuration = loadConfiguration('fleet.jsonc');
 */
export function loadConfiguration(file: string): Configuration {
  const text = readText(file);
  const value = parseSettings<Configuration>(file, text, CONFIGURATION_SCHEMA);
  // What is sent lacks a key "__proto__", which sets a prototype here.
  const sent: unknown = JSON.parse(JSON.stringify(value));
  const validated = validateConfiguration(sent);
  if (validated.isOk()) return validated.value;
  return raise('configInvalid', `${file}: ${validated.error.detail}`);
}

function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch {
    return raise('configInvalid', `${file}: cannot read the file`);
  }
}

/**
 * Formats the exceptions as lines, each with its reason.
 *
 * @example
 * for (const line of formatExceptions(exceptions)) console.log(line);
 */
export function* formatExceptions(
  exceptions: readonly Exception[],
): Generator<string> {
  for (const {id, scope, set, reason} of exceptions) {
    const scopes = Object.entries(scope).map(entry => entry.join(' '));
    yield `exception ${id} for ${scopes.join(', ')}: ${JSON.stringify(set)}`;
    yield `  reason: ${reason}`;
  }
}

async function validate(
  {output}: CtlContext,
  _options: object,
  file: string,
): Promise<ExitCode> {
  const {defaults, exceptions} = loadConfiguration(file);
  const queues = Object.keys(defaults.queues).length;
  const teams = Object.keys(defaults.teams).length;
  const counts = {queues, teams, exceptions: exceptions.length};
  output.print({isValid: true, ...counts}, [
    `valid: ${queues} queues, ${teams} teams, ${exceptions.length} exceptions`,
    ...formatExceptions(exceptions),
  ]);
  return Promise.resolve(EXIT.ok);
}

async function diff(
  context: CtlContext,
  _options: object,
  file: string,
): Promise<ExitCode> {
  const draft = loadConfiguration(file);
  const {revision, configuration} = await context.configLog.read();
  const changes = [...diffValues(configuration, draft)];
  context.output.print({revision, changes}, [
    `against revision ${revision}: ${changes.length} differences`,
    ...changes.map(formatDifference),
  ]);
  return EXIT.ok;
}

interface PublishOptions extends ChangeOptions {
  readonly base: string;
  readonly reason: string;
}

async function publishFile(
  context: CtlContext,
  options: PublishOptions,
  file: string,
): Promise<ExitCode> {
  const base = Number(options.base);
  if (!Number.isInteger(base)) raise('badRequest', '--base: not a revision');
  const {reason} = options;
  requireReason(reason);
  const configuration = loadConfiguration(file);
  const result = await publish(context, {base, reason, configuration});
  return reportPublish(context, result, options);
}

/**
 * Reports a publication: the one it lost to, or where it is in force.
 *
 * @example
 * return reportPublish(context, await publish(context, draft), options);
 */
export async function reportPublish(
  context: CtlContext,
  {verdict, lostTo}: PublishResult,
  options: ChangeOptions,
  warnings: readonly string[] = [],
): Promise<ExitCode> {
  const {offset, result} = verdict;
  if (result !== 'applied') {
    const winner = lostTo === undefined ? '' : describePublication(lostTo);
    const value = {accepted: false, offset, lostTo: lostTo ?? null};
    const cause =
      winner === ''
        ? 'the base is not the revision in force'
        : `lost to ${winner}`;
    context.output.print(value, [
      `not accepted: ${cause}`,
      'nothing changed; run "config diff" and publish on the new base',
    ]);
    return EXIT.conflict;
  }
  const {report, lines, exitCode} = await waitUntilInForce(
    context,
    offset,
    options,
  );
  const value = {accepted: true, revision: offset, inForce: report ?? null};
  context.output.print(warnings.length > 0 ? {...value, warnings} : value, [
    ...warnings.map(warning => `warning: ${warning}`),
    `accepted: revision ${offset}`,
    ...lines,
  ]);
  return exitCode;
}

async function show({configLog, output}: CtlContext): Promise<ExitCode> {
  const {revision, configuration} = await configLog.read();
  output.print({revision, configuration}, [
    `// revision ${revision}; publish a changed copy with --base ${revision}`,
    JSON.stringify(configuration, null, 2),
  ]);
  return EXIT.ok;
}

async function history({configLog, output}: CtlContext): Promise<ExitCode> {
  const state = await configLog.read();
  const publications = [...state.history()].reverse();
  const heading = ['revision', 'base', 'when', 'author', 'became', 'reason'];
  const rows = publications.map(publication => [
    `${publication.revision}`,
    `${publication.base}`,
    new Date(publication.timeMs).toISOString(),
    publication.author,
    describeVerdict(publication, state),
    publication.reason,
  ]);
  output.print({publications}, toTable(heading, rows));
  return EXIT.ok;
}

function describeVerdict(
  {verdict, by}: Publication,
  state: ConfigState,
): string {
  if (verdict === 'inForce') return 'in force';
  if (verdict === 'superseded') return `superseded by ${by}`;
  if (verdict === 'invalid') return 'void: not valid';
  const winner = state.history().find(({revision}) => revision === by);
  const author = winner === undefined ? '' : ` (${winner.author})`;
  return `void: lost to ${by}${author}`;
}

/**
 * Adds the command `config` and its subcommands.
 *
 * @example
 * addConfigCommands(program, PROCESS_IO);
 */
export function addConfigCommands(program: Command, io: ProgramIo): void {
  const config = program
    .command('config')
    .description('validate, compare, publish and show the configuration');
  addCheckCommand(config, io);
  config
    .command('validate <file>')
    .description('check a configuration file without reading the log')
    .action(makeAction(io, validate));
  config
    .command('diff <file>')
    .description('compare a file with the configuration in force')
    .action(makeAction(io, diff));
  addChangeOptions(config.command('publish <file>'))
    .description('publish a file on the revision that it was made from')
    .requiredOption(
      '--base <revision>',
      'the revision the file was made from; -1 for none',
    )
    .addHelpText('after', PUBLISH_EXAMPLE)
    .action(makeAction(io, publishFile));
  config
    .command('show')
    .description('show the configuration in force and its revision')
    .action(makeAction(io, show));
  config
    .command('history')
    .description('list publications and their outcomes, newest first')
    .action(makeAction(io, history));
}

const PUBLISH_EXAMPLE = `
Example:
  dragonflyward-ctl config show > fleet.jsonc    # prints the revision, here 41
  dragonflyward-ctl config diff fleet.jsonc
  dragonflyward-ctl config publish fleet.jsonc --base 41 --reason "kiln queue"`;

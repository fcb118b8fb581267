/** Appends a change and says whether it won and where it is in force. */
import {raise, toFailure} from '@dragonflyward/common';
import {
  RECORD_VERSION,
  type ConfigState,
  type Configuration,
  type ConfigRecord,
  type ConfigStreamRecord,
  type Publication,
} from '@dragonflyward/state';
import type {Command} from 'commander';
import type {AppendVerdict} from './config-log.js';
import type {CtlContext} from './ctl-context.js';
import {EXIT, type ExitCode} from './exit-codes.js';
import {
  inForceLines,
  isEverywhere,
  waitInForce,
  type InForceReport,
} from './in-force.js';

/** How a publication fared. */
export interface PublishResult {
  readonly verdict: AppendVerdict;
  /** The publication that took the base first; undefined where this one won. */
  readonly lostTo: Publication | undefined;
}

/** A configuration to be published on a base. */
export interface Draft {
  readonly base: number;
  readonly reason: string;
  readonly configuration: Configuration;
}

/**
 * Appends a configuration and reads back whether it is in force.
 *
 * @throws logDown, appendUnknown, configInvalid
 * @example
 * const {lostTo} = await publish(context, draft);
 */
export async function publish(
  context: CtlContext,
  draft: Draft,
  configLog = context.configLog,
): Promise<PublishResult> {
  const {author} = context;
  const record: ConfigRecord = {
    v: RECORD_VERSION,
    type: 'config',
    author,
    ...draft,
  };
  await configLog.read();
  const verdict = await configLog.append(record);
  if (verdict.result === 'skipped') {
    return raise('configInvalid', 'readers skip the record');
  }
  if (verdict.result === 'applied') return {verdict, lostTo: undefined};
  return {verdict, lostTo: findWinner(configLog.state, draft.base)};
}

/** The publication that was accepted on a base. */
function findWinner(state: ConfigState, base: number): Publication | undefined {
  return state
    .history()
    .find(
      publication =>
        publication.base === base &&
        (publication.verdict === 'inForce' ||
          publication.verdict === 'superseded'),
    );
}

/**
 * Describes a publication in one line.
 *
 * @example
 * describePublication(lostTo); // 'revision 7 by ada: "more slots"'
 */
export function describePublication(publication: Publication): string {
  const {revision, author, reason} = publication;
  return `revision ${revision} by ${author}: "${reason}"`;
}

/**
 * Appends a change of keys.
 *
 * @throws logDown, appendUnknown, configInvalid
 * @example
 * const {offset} = await appendKeyChange(context, record);
 */
export async function appendKeyChange(
  context: CtlContext,
  record: ConfigStreamRecord,
): Promise<AppendVerdict> {
  const {configLog} = context;
  await configLog.read();
  const verdict = await configLog.append(record);
  if (verdict.result === 'applied') return verdict;
  return raise('configConflict', `the record is ${verdict.result}`);
}

/** Options of commands that change something. */
export interface ChangeOptions {
  /** Whether to wait until the change is in force; commander's --no-wait. */
  readonly wait: boolean;
}

/** What became of an accepted change in the processes. */
export interface InForceAnswer {
  readonly report: InForceReport | undefined;
  readonly lines: readonly string[];
  readonly exitCode: ExitCode;
}

/**
 * Waits until an accepted change is in force and makes the answer of it.
 *
 * @example
 * const {report, lines, exitCode} = await awaitForce(context, 17, options);
 */
export async function awaitForce(
  context: CtlContext,
  offset: number,
  {wait}: ChangeOptions,
): Promise<InForceAnswer> {
  if (!wait) {
    const lines = ['not waited for: see status'];
    return {report: undefined, lines, exitCode: EXIT.ok};
  }
  const {fleet, clock, cfg} = context;
  try {
    const read = () => fleet.readAll('/status');
    const report = await waitInForce(offset, read, cfg.waitMs, clock);
    const exitCode = isEverywhere(report) ? EXIT.ok : EXIT.notEverywhere;
    return {report, lines: [...inForceLines(report)], exitCode};
  } catch (err) {
    const {kind, detail} = toFailure(err);
    if (kind !== 'vmsDown') throw err;
    const lines = [`where it is in force is unknown: ${detail}`];
    return {report: undefined, lines, exitCode: EXIT.notEverywhere};
  }
}

/**
 * Adds the options of a command that changes something.
 *
 * @example
 * withChangeOptions(exception.command('remove <id>'));
 */
export function withChangeOptions(command: Command): Command {
  return command
    .requiredOption('--reason <text>', 'why; it is kept and shown')
    .option('--no-wait', 'do not wait until it is in force everywhere');
}

/**
 * Checks that a reason says something.
 *
 * @throws badRequest
 * @example
 * requireReason(options.reason);
 */
export function requireReason(reason: string): void {
  if (reason.trim() === '') raise('badRequest', '--reason: it is empty');
}

/** Appends a change and reports its result and where it is in force. */
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
  formatInForceReport,
  isInForceEverywhere,
  pollUntilInForce,
  type InForceReport,
} from './in-force.js';

/** The result of a publication. */
export interface PublishResult {
  readonly verdict: AppendVerdict;
  /** The publication accepted on the same base; undefined if this one was. */
  readonly lostTo: Publication | undefined;
}

/** A configuration to publish, and the revision that it was made from. */
export interface Draft {
  readonly base: number;
  readonly reason: string;
  readonly configuration: Configuration;
}

/**
 * Appends a configuration and reads back whether it was accepted.
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
    return raise('configInvalid', 'readers reject the record as invalid');
  }
  if (verdict.result === 'applied') return {verdict, lostTo: undefined};
  return {verdict, lostTo: findWinner(configLog.state, draft.base)};
}

/** Finds the publication that was accepted on a base. */
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
 * Appends a record that grants or withdraws a key.
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

/** Options of the commands that make a change. */
export interface ChangeOptions {
  /** Whether to wait until the change is in force; false with --no-wait. */
  readonly wait: boolean;
}

/** Where an accepted change is in force, as the command reports it. */
export interface InForceResult {
  readonly report: InForceReport | undefined;
  readonly lines: readonly string[];
  readonly exitCode: ExitCode;
}

/**
 * Waits until an accepted change is in force and reports where it is.
 *
 * @example
 * const result = await waitUntilInForce(context, 17, options);
 */
export async function waitUntilInForce(
  context: CtlContext,
  offset: number,
  {wait}: ChangeOptions,
): Promise<InForceResult> {
  if (!wait) {
    const lines = ['did not wait until it is in force; run "status" to see'];
    return {report: undefined, lines, exitCode: EXIT.ok};
  }
  const {fleet, clock, settings} = context;
  try {
    const read = () => fleet.readAll('/status');
    const report = await pollUntilInForce(offset, read, settings.waitMs, clock);
    const exitCode = isInForceEverywhere(report) ? EXIT.ok : EXIT.notEverywhere;
    return {report, lines: [...formatInForceReport(report)], exitCode};
  } catch (err) {
    const {kind, detail} = toFailure(err);
    if (kind !== 'vmsDown') throw err;
    const lines = [`unknown where it is in force: ${detail}`];
    return {report: undefined, lines, exitCode: EXIT.notEverywhere};
  }
}

/**
 * Adds the options of a command that makes a change.
 *
 * @example
 * addChangeOptions(exception.command('remove <id>'));
 */
export function addChangeOptions(command: Command): Command {
  return command
    .requiredOption(
      '--reason <text>',
      'reason for the change; recorded in the log',
    )
    .option('--no-wait', 'do not wait until it is in force everywhere');
}

/**
 * Checks that a reason is not blank.
 *
 * @throws badRequest
 * @example
 * requireReason(options.reason);
 */
export function requireReason(reason: string): void {
  if (reason.trim() === '') raise('badRequest', '--reason is empty');
}

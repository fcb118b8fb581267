/** The commands `key grant|withdraw|list`. */
import {randomBytes} from 'node:crypto';
import {newId, raise} from '@dragonflyward/common';
import {
  keyDigest,
  RECORD_VERSION,
  type KeyGrantedRecord,
  type KeyStatus,
  type KeyWithdrawnRecord,
} from '@dragonflyward/state';
import type {Command} from 'commander';
import {
  appendKeyChange,
  awaitForce,
  requireReason,
  withChangeOptions,
  type ChangeOptions,
} from './apply-change.js';
import {action, type CtlContext, type ProgramIo} from './ctl-context.js';
import {EXIT, type ExitCode} from './exit-codes.js';
import {toTable} from './output.js';

const SECRET_BYTES = 32;

/** The key is printed only once the log has its digest. */
async function grant(
  context: CtlContext,
  options: ChangeOptions,
  team: string,
): Promise<ExitCode> {
  const {author} = context;
  const state = await context.configLog.read();
  if (state.team(team) === undefined) raise('badRequest', `no team "${team}"`);
  const secret = randomBytes(SECRET_BYTES).toString('base64url');
  const keyId = newId('k');
  const record: KeyGrantedRecord = {
    v: RECORD_VERSION,
    type: 'keyGranted',
    author,
    key: {keyId, team, digest: keyDigest(secret)},
  };
  const {offset} = await appendKeyChange(context, record);
  const {report, lines, exitCode} = await awaitForce(context, offset, options);
  const key = `${keyId}.${secret}`;
  const value = {keyId, team, key, offset, inForce: report ?? null};
  context.output.print(value, [
    `granted: key ${keyId} of team ${team}`,
    `the key, shown this once: ${key}`,
    ...lines,
  ]);
  return exitCode;
}

interface WithdrawOptions extends ChangeOptions {
  readonly reason: string;
}

async function withdraw(
  context: CtlContext,
  options: WithdrawOptions,
  keyId: string,
): Promise<ExitCode> {
  const {reason} = options;
  requireReason(reason);
  const known = await findKey(context, keyId);
  const offset = known.isWithdrawn
    ? known.offset
    : await appendWithdrawal(context, keyId, reason);
  const {report, lines, exitCode} = await awaitForce(context, offset, options);
  const value = {keyId, team: known.team, offset, inForce: report ?? null};
  const note = known.isWithdrawn ? ' (it was before)' : '';
  context.output.print(value, [
    `withdrawn: key ${keyId} of team ${known.team}${note}`,
    ...lines,
  ]);
  return exitCode;
}

async function findKey(
  {configLog}: CtlContext,
  keyId: string,
): Promise<KeyStatus> {
  const state = await configLog.read();
  const key = state.keys().find(known => known.keyId === keyId);
  return key ?? raise('routeUnknown', `no key "${keyId}"`);
}

async function appendWithdrawal(
  context: CtlContext,
  keyId: string,
  reason: string,
): Promise<number> {
  const {author} = context;
  const record: KeyWithdrawnRecord = {
    v: RECORD_VERSION,
    type: 'keyWithdrawn',
    author,
    keyId,
    reason,
  };
  return (await appendKeyChange(context, record)).offset;
}

interface ListOptions {
  readonly team?: string;
}

async function list(
  {configLog, output}: CtlContext,
  {team}: ListOptions,
): Promise<ExitCode> {
  const state = await configLog.read();
  const keys = state
    .keys()
    .filter(key => team === undefined || key.team === team)
    .map(({keyId, team: owner, isWithdrawn, author, offset}) => ({
      keyId,
      team: owner,
      isWithdrawn,
      author,
      offset,
    }));
  const heading = ['key', 'team', 'state', 'author', 'offset'];
  const rows = keys.map(key => [
    key.keyId,
    key.team,
    key.isWithdrawn ? 'withdrawn' : 'valid',
    key.author,
    `${key.offset}`,
  ]);
  output.print({keys}, toTable(heading, rows));
  return EXIT.ok;
}

/**
 * Adds the command `key` and its subcommands.
 *
 * @example
 * addKeyCommands(program, PROCESS_IO);
 */
export function addKeyCommands(program: Command, io: ProgramIo): void {
  const key = program
    .command('key')
    .description('grant, withdraw and list the keys of teams');
  key
    .command('grant <team>')
    .description('make a key; it is shown once and kept only as a digest')
    .option('--no-wait', 'do not wait until it is in force everywhere')
    .addHelpText('after', GRANT_EXAMPLE)
    .action(action(io, grant));
  withChangeOptions(key.command('withdraw <keyId>'))
    .description('make a key invalid for good')
    .action(action(io, withdraw));
  key
    .command('list')
    .description('list keys, without their secrets')
    .option('--team <name>', 'only those of one team')
    .action(action(io, list));
}

const GRANT_EXAMPLE = `
Example:
  dragonflyward-ctl --json key grant roofs | jq -r .key > roofs.key`;

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
  waitUntilInForce,
  requireReason,
  addChangeOptions,
  type ChangeOptions,
} from './apply-change.js';
import {makeAction, type CtlContext, type ProgramIo} from './ctl-context.js';
import {EXIT, type ExitCode} from './exit-codes.js';
import {toTable} from './output.js';

const SECRET_BYTES = 32;

/** Prints the key only after its digest has been appended to the log. */
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
  const {report, lines, exitCode} = await waitUntilInForce(
    context,
    offset,
    options,
  );
  const key = `${keyId}.${secret}`;
  const value = {keyId, team, key, offset, inForce: report ?? null};
  context.output.print(value, [
    `granted: key ${keyId} of team ${team}`,
    `the key, shown only once: ${key}`,
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
  const current = await findKey(context, keyId);
  const offset = current.isWithdrawn
    ? current.offset
    : await appendWithdrawal(context, keyId, reason);
  const {report, lines, exitCode} = await waitUntilInForce(
    context,
    offset,
    options,
  );
  const value = {keyId, team: current.team, offset, inForce: report ?? null};
  const note = current.isWithdrawn ? ' (it already was)' : '';
  context.output.print(value, [
    `withdrawn: key ${keyId} of team ${current.team}${note}`,
    ...lines,
  ]);
  return exitCode;
}

async function findKey(
  {configLog}: CtlContext,
  keyId: string,
): Promise<KeyStatus> {
  const state = await configLog.read();
  const key = state.keys().find(candidate => candidate.keyId === keyId);
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
    .description('create a key; it is shown once and stored only as a digest')
    .option('--no-wait', 'do not wait until it is in force everywhere')
    .addHelpText('after', GRANT_EXAMPLE)
    .action(makeAction(io, grant));
  addChangeOptions(key.command('withdraw <keyId>'))
    .description('invalidate a key permanently')
    .action(makeAction(io, withdraw));
  key
    .command('list')
    .description('list keys, without their secrets')
    .option('--team <name>', 'only the keys of this team')
    .action(makeAction(io, list));
}

const GRANT_EXAMPLE = `
Example:
  dragonflyward-ctl --json key grant roofs | jq -r .key > roofs.key`;

/** The commands `domain close|open|list`. */
import {toFailure} from '@dragonflyward/common';
import type {VmEntry} from '@dragonflyward/vms';
import type {Command} from 'commander';
import {
  addChangeOptions,
  requireReason,
  type ChangeOptions,
} from './apply-change.js';
import {makeAction, type CtlContext, type ProgramIo} from './ctl-context.js';
import {
  closeDomain,
  closuresOf,
  openDomain,
  workerDomainsOf,
} from './domain-edit.js';
import {editAndPublish, reportEdit} from './edit-config.js';
import {EXIT, type ExitCode} from './exit-codes.js';
import {toTable} from './output.js';

interface OpenOptions extends ChangeOptions {
  readonly reason: string;
}

interface CloseOptions extends OpenOptions {
  readonly allowAll?: boolean;
}

/** The VM list, or why it cannot be read. */
interface KnownFleet {
  readonly vms: readonly VmEntry[] | undefined;
  readonly failure: string;
}

/** A closure is most needed in a disruption, which may affect the VM list. */
async function readFleet({vms}: CtlContext): Promise<KnownFleet> {
  try {
    return {vms: await vms.list(), failure: ''};
  } catch (err) {
    const {kind, detail} = toFailure(err);
    if (kind !== 'vmsDown') throw err;
    return {vms: undefined, failure: detail};
  }
}

/**
 * Handles `domain close`.
 *
 * @throws badRequest, configInvalid, logDown, appendUnknown
 * @example
 * return close(context, {reason: 'storm', wait: true}, 'north-1');
 */
export async function close(
  context: CtlContext,
  {reason, allowAll = false, ...options}: CloseOptions,
  domain: string,
): Promise<ExitCode> {
  requireReason(reason);
  const {vms, failure} = await readFleet(context);
  const workerDomains = vms === undefined ? undefined : workerDomainsOf(vms);
  const warnings: string[] = [];
  if (workerDomains === undefined) {
    warnings.push(
      `the VM list cannot be read (${failure}): not checked whether the domain is known, or the last open one`,
    );
  } else if (!workerDomains.has(domain)) {
    warnings.push(
      `no worker of the domain "${domain}" is listed; the closure applies to workers that are added there`,
    );
  }
  const outcome = await editAndPublish(
    context,
    cfg => closeDomain(cfg, {domain, reason}, {workerDomains, allowAll}),
    `close domain ${domain}: ${reason}`,
  );
  const unchanged = `domain ${domain} is closed already`;
  return reportEdit(context, outcome, options, {unchanged, warnings});
}

/**
 * Handles `domain open`.
 *
 * @throws configInvalid, logDown, appendUnknown
 * @example
 * return open(context, {reason: 'repaired', wait: true}, 'north-1');
 */
export async function open(
  context: CtlContext,
  {reason, ...options}: OpenOptions,
  domain: string,
): Promise<ExitCode> {
  requireReason(reason);
  const outcome = await editAndPublish(
    context,
    cfg => openDomain(cfg, domain),
    `open domain ${domain}: ${reason}`,
  );
  const unchanged = `domain ${domain} is open already`;
  return reportEdit(context, outcome, options, {unchanged, warnings: []});
}

/**
 * Handles `domain list`: the closed domains, and those that have workers.
 *
 * @throws logDown
 * @example
 * return list(context);
 */
export async function list(context: CtlContext): Promise<ExitCode> {
  const {revision, configuration} = await context.configLog.read();
  const {vms, failure} = await readFleet(context);
  const closures = closuresOf(configuration);
  const workerDomains = vms === undefined ? [] : workerDomainsOf(vms);
  const names = [...new Set([...closures.keys(), ...workerDomains])].sort();
  const domains = names.map(domain => ({
    domain,
    isClosed: closures.has(domain),
    reason: closures.get(domain)?.reason ?? '',
    workers:
      vms?.filter(vm => vm.kind === 'worker' && vm.domain === domain).length ??
      null,
  }));
  const rows = domains.map(({domain, isClosed, reason, workers}) => [
    domain,
    isClosed ? 'closed' : 'open',
    `${workers ?? 'unknown'}`,
    reason,
  ]);
  const isFleetKnown = vms !== undefined;
  context.output.print({revision, isFleetKnown, domains}, [
    `revision ${revision}: ${closures.size} closed domains`,
    ...toTable(['domain', 'state', 'workers', 'reason'], rows),
    ...(isFleetKnown
      ? []
      : [
          `open domains are not listed; the VM list cannot be read: ${failure}`,
        ]),
  ]);
  return EXIT.ok;
}

/**
 * Adds the command `domain` and its subcommands.
 *
 * @example
 * addDomainCommands(program, PROCESS_IO);
 */
export function addDomainCommands(program: Command, io: ProgramIo): void {
  const domain = program
    .command('domain')
    .description('close and open failure domains for starts of tasks');
  addChangeOptions(domain.command('close <domain>'))
    .description(
      'start no more tasks on the workers of a domain; a reason is required',
    )
    .option('--allow-all', 'close the last open domain with workers, too')
    .addHelpText('after', CLOSE_NOTES)
    .action(makeAction(io, close));
  addChangeOptions(domain.command('open <domain>'))
    .description('start tasks there again; a reason is required')
    .action(makeAction(io, open));
  domain
    .command('list')
    .description('list the domains, which of them are closed, and why')
    .action(makeAction(io, list));
}

const CLOSE_NOTES = `
What runs there goes on, and executors there go on serving requests. Jobs of the
domain are accepted and wait.

Example:
  dragonflyward-ctl domain close north-1 --reason "work on the power supply"`;

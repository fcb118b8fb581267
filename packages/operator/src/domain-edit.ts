/** Decides how closing and opening a failure domain change a configuration. */
import {raise} from '@dragonflyward/common';
import type {ClosedDomain, Configuration} from '@dragonflyward/state';
import type {VmEntry} from '@dragonflyward/vms';

/** What a closure is checked against. */
export interface ClosureChecks {
  /** The domains that have workers; undefined while the fleet is unknown. */
  readonly workerDomains: ReadonlySet<string> | undefined;
  /** Whether the last open domain may be closed. */
  readonly allowAll: boolean;
}

/**
 * Returns the domains that have workers, as a closure concerns these only.
 *
 * @example
 * const domains = workerDomainsOf(await context.vms.list());
 */
export function workerDomainsOf(vms: readonly VmEntry[]): ReadonlySet<string> {
  const workers = vms.filter(vm => vm.kind === 'worker');
  return new Set(workers.map(vm => vm.domain));
}

/**
 * Returns the closed domains of a configuration, by name.
 *
 * @example
 * const reason = closuresOf(cfg).get('north-1')?.reason;
 */
export function closuresOf({
  closedDomains = [],
}: Configuration): ReadonlyMap<string, ClosedDomain> {
  return new Map(closedDomains.map(closed => [closed.domain, closed]));
}

/**
 * Closes a domain; returns the configuration itself if it is closed already.
 *
 * @throws badRequest if no domain with workers would be open and this was not
 *     allowed
 * @example
 * const edited = closeDomain(cfg, {domain: 'north-1', reason}, checks);
 */
export function closeDomain(
  cfg: Configuration,
  closed: ClosedDomain,
  {workerDomains, allowAll}: ClosureChecks,
): Configuration {
  const {closedDomains = []} = cfg;
  const closures = closuresOf(cfg);
  if (closures.has(closed.domain)) return cfg;
  const isLastOpen =
    workerDomains?.has(closed.domain) === true &&
    [...workerDomains].every(
      name => name === closed.domain || closures.has(name),
    );
  if (isLastOpen && !allowAll) {
    raise(
      'badRequest',
      `"${closed.domain}" is the last open domain with workers; add --allow-all to close it`,
    );
  }
  return {...cfg, closedDomains: [...closedDomains, closed]};
}

/**
 * Opens a domain; returns the configuration itself if it is open already.
 *
 * @example
 * const edited = openDomain(cfg, 'north-1');
 */
export function openDomain(cfg: Configuration, domain: string): Configuration {
  const {closedDomains = [], ...rest} = cfg;
  if (!closuresOf(cfg).has(domain)) return cfg;
  const others = closedDomains.filter(closed => closed.domain !== domain);
  // Without the field, versions of the programs that lack it accept it too.
  return others.length === 0 ? rest : {...rest, closedDomains: others};
}

/** The VMs that a configuration is checked against. */
import {
  addResources,
  fail,
  NO_RESOURCES,
  Ok,
  RESOURCE_NAMES,
  type Fallible,
  type Resources,
} from '@dragonflyward/common';

/** What a configuration may require of the VMs. */
export interface Inventory {
  /** Sum of the capacities of all workers and executors. */
  readonly total: Resources;
  readonly services: ReadonlySet<string>;
  readonly hasWorkers: boolean;
}

type Fields = Readonly<Record<string, unknown>>;

/**
 * Decodes an inventory: the answer of the VM list, or just its array `vms`.
 * VMs that are about to be removed are left out.
 *
 * @example
 * const inventory = decodeInventory({vms: [{kind: 'worker', capacity}]});
 */
export function decodeInventory(value: unknown): Fallible<Inventory> {
  const vms: unknown = isFields(value) ? value['vms'] : value;
  if (!Array.isArray(vms)) {
    return fail('badRequest', 'neither an array nor an object with "vms"');
  }
  let total = NO_RESOURCES;
  const services = new Set<string>();
  let hasWorkers = false;
  for (const [i, vm] of (vms as readonly unknown[]).entries()) {
    const problem = findVmProblem(vm);
    if (problem !== '') return fail('badRequest', `vms[${i}]: ${problem}`);
    const {kind, state, service, capacity} = vm as Fields;
    if (kind === 'entry' || state === 'leaving') continue;
    if (kind === 'worker') hasWorkers = true;
    else services.add(String(service));
    total = addResources(total, {...NO_RESOURCES, ...(capacity as object)});
  }
  return Ok({total, services, hasWorkers});
}

/** Returns an empty text if there is none. */
function findVmProblem(vm: unknown): string {
  if (!isFields(vm)) return 'not an object';
  const {kind, service, capacity} = vm;
  if (kind === 'entry') return '';
  if (kind !== 'worker' && kind !== 'executor') {
    return '"kind" is neither "entry", "worker" nor "executor"';
  }
  if (kind === 'executor' && (typeof service !== 'string' || service === '')) {
    return 'an executor without "service"';
  }
  if (!isFields(capacity)) return '"capacity" is not an object';
  const bad = RESOURCE_NAMES.find(name => !isAmount(capacity[name] ?? 0));
  return bad === undefined ? '' : `"capacity.${bad}" is not a whole number`;
}

function isAmount(value: unknown): boolean {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}

function isFields(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Measures where more work waits than there is room for. */
import type {CellState} from '../cell-state.js';
import type {OccurrenceState, StepState} from '../job-state.js';
import {isSchedulable} from '../placement.js';
import {
  addAmounts,
  allocatedAmounts,
  NOTHING_RESERVED,
  subtractAmounts,
  type ResourceAmounts,
} from '../resource-amounts.js';
import type {Pressure} from './delay-cost.js';

/** Resources that steps compete for. */
interface ResourcePool {
  readonly total: ResourceAmounts;
  readonly free: ResourceAmounts;
}

/** Steps of one priority that wait for the resources of one pool. */
interface Backlog {
  readonly pool: ResourcePool;
  readonly occurrences: Set<OccurrenceState>;
  wanted: ResourceAmounts;
  /** How long the whole pool needs for the steps, in ms. */
  drainMs: number;
  /** The shortest latency objective of their queues, in ms. */
  objectiveMs: number;
}

/** The pressure on what each step needs. */
export interface PressureTable {
  /** The pressure on a step; null where there is room for all that waits. */
  readonly of: (step: StepState) => Pressure | null;
  /** What is left of the work of the step's job, in ms of its service. */
  readonly workOf: (step: StepState) => number;
}

/** The table of a cell in which there is room for all that waits. */
export const NO_PRESSURE: PressureTable = {of: () => null, workOf: () => 0};

/**
 * Measures the pressure on the services and on the limits of organisations.
 *
 * @param waiting the steps that are ready and have tasks to start
 * @example
 * const pressure = measurePressure(steps, state, nowMs).of(step);
 */
export function measurePressure(
  waiting: readonly StepState[],
  state: CellState,
  nowMs: number,
): PressureTable {
  if (waiting.length === 0) return NO_PRESSURE;
  const services = servicePools(state, nowMs);
  const limits = new Map<string, ResourcePool | null>();
  const backlogs = new Map<string, Backlog>();
  for (const step of waiting) {
    const {organisation, queue} = step.occurrence.job;
    const service = services.get(queue.service);
    if (service !== undefined) {
      addStep(backlogs, serviceKey(step), step, service, state);
    }
    if (!limits.has(organisation)) {
      limits.set(organisation, limitPool(organisation, state));
    }
    const limit = limits.get(organisation) ?? null;
    if (limit !== null) {
      addStep(backlogs, limitKey(step), step, limit, state);
    }
  }
  const short = new Map([...backlogs].filter(([, each]) => isShort(each)));
  if (short.size === 0) return NO_PRESSURE;
  const works = new Map<OccurrenceState, number>();
  const workOf = ({occurrence}: StepState): number =>
    workOfOccurrence(occurrence, services, state, works);
  const pressures = new Map<string, Pressure>();
  for (const [key, {occurrences, drainMs}] of short) {
    let work = 0;
    for (const each of occurrences) {
      work += workOfOccurrence(each, services, state, works);
    }
    pressures.set(key, {drainMs, meanWork: work / occurrences.size});
  }
  const of = (step: StepState): Pressure | null => {
    const service = pressures.get(serviceKey(step));
    const limit = pressures.get(limitKey(step));
    if (service === undefined || limit === undefined) {
      return service ?? limit ?? null;
    }
    return service.drainMs >= limit.drainMs ? service : limit;
  };
  return {of, workOf};
}

function serviceKey({occurrence}: StepState): string {
  const {priority, service} = occurrence.job.queue;
  return `service ${priority} ${service}`;
}

function limitKey({occurrence}: StepState): string {
  const {organisation, queue} = occurrence.job;
  return `limit ${queue.priority} ${organisation}`;
}

function servicePools(
  state: CellState,
  nowMs: number,
): ReadonlyMap<string, ResourcePool> {
  const pools = new Map<string, ResourcePool>();
  for (const executor of state.executors.values()) {
    if (!isSchedulable(executor, nowMs)) continue;
    const {info, usedCpuMilli, usedMemMb, usedAccel} = executor;
    const {cpuMilli, memMb, accel} = info.capacity;
    // More may be in use than a capacity that has shrunk.
    const free = {
      cpuMilli: Math.max(0, cpuMilli - usedCpuMilli),
      memMb: Math.max(0, memMb - usedMemMb),
      accel: Math.max(0, accel - usedAccel),
    };
    const known = pools.get(info.service);
    pools.set(info.service, {
      total: addAmounts(known?.total ?? NOTHING_RESERVED, info.capacity),
      free: addAmounts(known?.free ?? NOTHING_RESERVED, free),
    });
  }
  return pools;
}

/** What an organisation may use; null where it has no limit. */
function limitPool(
  organisation: string,
  {organisations}: CellState,
): ResourcePool | null {
  const total = organisations.limitOf(organisation);
  if (total === null) return null;
  const free = subtractAmounts(total, organisations.usageOf(organisation));
  return {total, free};
}

function addStep(
  backlogs: Map<string, Backlog>,
  key: string,
  step: StepState,
  pool: ResourcePool,
  {estimates}: CellState,
): void {
  const known = backlogs.get(key);
  const backlog = known ?? {
    pool,
    occurrences: new Set<OccurrenceState>(),
    wanted: NOTHING_RESERVED,
    drainMs: 0,
    objectiveMs: Infinity,
  };
  if (known === undefined) backlogs.set(key, backlog);
  let count = 0;
  for (const {phase} of step.tasks) if (phase === 'waiting') count += 1;
  const amounts = allocatedAmounts(step.spec, count);
  backlog.occurrences.add(step.occurrence);
  backlog.wanted = addAmounts(backlog.wanted, amounts);
  const {objectiveMs} = step.occurrence.job.queue;
  backlog.objectiveMs = Math.min(backlog.objectiveMs, objectiveMs);
  backlog.drainMs +=
    largestShare(amounts, pool.total) * estimates.expectedMs(step);
}

/** Whether not all can be in time, whatever the order. */
function isShort({wanted, pool, drainMs, objectiveMs}: Backlog): boolean {
  const {free, total} = pool;
  if (drainMs <= objectiveMs) return false;
  return (
    isOver(wanted.cpuMilli, free.cpuMilli, total.cpuMilli) ||
    isOver(wanted.memMb, free.memMb, total.memMb) ||
    isOver(wanted.accel, free.accel, total.accel)
  );
}

/** A resource without a total is not limited, or not needed there. */
function isOver(wanted: number, free: number, total: number): boolean {
  return total > 0 && wanted > free;
}

function workOfOccurrence(
  occurrence: OccurrenceState,
  services: ReadonlyMap<string, ResourcePool>,
  {estimates}: CellState,
  known: Map<OccurrenceState, number>,
): number {
  const cached = known.get(occurrence);
  if (cached !== undefined) return cached;
  const pool = services.get(occurrence.job.queue.service);
  let work = 0;
  if (pool !== undefined) {
    for (const step of occurrence.steps) {
      const count = step.tasks.length - step.doneCount;
      const amounts = allocatedAmounts(step.spec, count);
      work += largestShare(amounts, pool.total) * estimates.expectedMs(step);
    }
  }
  known.set(occurrence, work);
  return work;
}

/** The largest share of one resource that the amounts take. */
function largestShare(
  amounts: ResourceAmounts,
  total: ResourceAmounts,
): number {
  const shareOf = (amount: number, all: number): number =>
    all > 0 ? amount / all : 0;
  return Math.max(
    shareOf(amounts.cpuMilli, total.cpuMilli),
    shareOf(amounts.memMb, total.memMb),
    shareOf(amounts.accel, total.accel),
  );
}

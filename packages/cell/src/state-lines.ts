/** Periodic log lines on the state of the cell and of its queues. */
import type {CellState} from './cell-state.js';
import {describeDomain, type ClosedDomain} from './evacuation/index.js';
import {measurePressure, type PressureTable} from './overload/index.js';
import {orderSteps, type RankedStep} from './queue-order.js';
import {OpenExecutors} from './room/index.js';
import type {Round, RoundContext} from './round.js';
import {
  summarizeServices,
  freeCpuMilliOf,
  type ServiceCapacity,
} from './service-capacity.js';
import {isSchedulable} from './placement.js';
import {isOverdue} from './overdue.js';
import {waitReason, type WaitReason} from './wait-reason.js';

/** One line of the log. */
export interface StateLine {
  readonly event: 'cellState' | 'queueState';
  readonly fields: Readonly<Record<string, unknown>>;
  /** Steps of the queue that wait only because failure domains are closed. */
  readonly closedWaits: number;
}

/** Yields a line for the cell and one for each queue with waiting steps. */
export function* stateLines(
  state: CellState,
  context: RoundContext,
  closedDomains: readonly ClosedDomain[] = [],
): Generator<StateLine> {
  const services = summarizeServices(state, context.nowMs);
  yield cellLine(state, services, context.nowMs, closedDomains);
  const withheld = new Set<never>();
  const reserved = new Map<never, never>();
  const overrides = {
    services,
    withheld,
    reserved,
    reservedFromUrgent: reserved,
    ticketReserved: reserved,
    ticketReservedFromUrgent: reserved,
    isolatedExecutors: reserved,
    openExecutors: new OpenExecutors(new Map()),
  };
  const round = {...context, ...overrides, state};
  const ready = [...state.readySteps(context.wallMs)].filter(({tasks}) =>
    tasks.some(({phase}) => phase === 'waiting'),
  );
  const ranked = orderSteps(ready, state.estimates, context.wallMs);
  const queues = new Map<string, RankedStep[]>();
  for (const each of ranked) {
    const {name} = each.step.occurrence.job.queue;
    const steps = queues.get(name);
    if (steps === undefined) queues.set(name, [each]);
    else steps.push(each);
  }
  const pressure = measurePressure(ready, state, context.nowMs);
  for (const [queue, steps] of queues) {
    yield queueLine(queue, steps, round, pressure);
  }
}

function cellLine(
  state: CellState,
  services: ReadonlyMap<string, ServiceCapacity>,
  nowMs: number,
  closedDomains: readonly ClosedDomain[],
): StateLine {
  const executors = [...state.executors.values()];
  const freeCpu = [...services].map(([service, capacity]) => ({
    service,
    cpuMilli: capacity.executors.reduce(
      (sum, each) => sum + freeCpuMilliOf(each),
      0,
    ),
  }));
  const fields = {
    term: state.term,
    jobs: state.jobs.size,
    executors: executors.length,
    open: executors.filter(each => isSchedulable(each, nowMs)).length,
    freeCpu,
    ...(closedDomains.length === 0
      ? {}
      : {
          closedDomains: closedDomains.map(({domain}) => ({
            domain,
            ...describeDomain(state, domain),
          })),
        }),
  };
  return {event: 'cellState', fields, closedWaits: 0};
}

function queueLine(
  queue: string,
  steps: readonly RankedStep[],
  round: Round,
  pressure: PressureTable,
): StateLine {
  const reasons: Partial<Record<WaitReason, number>> = {};
  for (const each of steps) {
    const capacity = round.services.get(each.step.occurrence.job.queue.service);
    if (capacity === undefined) continue;
    const reason = waitReason(each, capacity, round);
    reasons[reason] = (reasons[reason] ?? 0) + 1;
  }
  const asking = steps.filter(({step}) => step.isRequestingTickets).length;
  const overdue = steps.filter(({step}) => isOverdue(step, round.nowMs)).length;
  const oldest = Math.min(...steps.map(s => s.step.occurrence.job.acceptedMs));
  const oldestMs = round.wallMs - oldest;
  const fields = {
    queue,
    steps: steps.length,
    asking,
    overdue,
    oldestMs,
    reasons,
    ...describePressure(steps, pressure),
  };
  return {event: 'queueState', fields, closedWaits: reasons.closed ?? 0};
}

/** How many steps compete for too little room, and the longest drain time. */
function describePressure(
  steps: readonly RankedStep[],
  {of}: PressureTable,
): Readonly<Record<string, number>> {
  let count = 0;
  let drainMs = 0;
  for (const {step} of steps) {
    const pressure = of(step);
    if (pressure === null) continue;
    count += 1;
    drainMs = Math.max(drainMs, pressure.drainMs);
  }
  return count === 0 ? {} : {short: count, drainMs: Math.round(drainMs)};
}

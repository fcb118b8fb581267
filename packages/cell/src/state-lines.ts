/** Lines that show now and then what the cell has and what it waits for. */
import type {CellState} from './cell-state.js';
import {orderSteps, type RankedStep} from './queue-order.js';
import type {Round, RoundContext} from './round.js';
import {countServices, freeCpuOf, type ServiceRoom} from './service-room.js';
import {mayTakeWork} from './place.js';
import {waitReason, type WaitReason} from './wait-reason.js';

/** One line of the log. */
export interface StateLine {
  readonly event: 'cellState' | 'queueState';
  readonly fields: Readonly<Record<string, unknown>>;
}

/** The lines on all executors and on each queue that has steps waiting. */
export function* stateLines(
  state: CellState,
  context: RoundContext,
): Generator<StateLine> {
  const services = countServices(state, context.nowMs);
  yield cellLine(state, services, context.nowMs);
  const reserved = new Set<never>();
  const promised = new Map<never, never>();
  const rooms = {services, reserved, promised, claimed: promised};
  const round = {...context, ...rooms, state};
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
  for (const [queue, steps] of queues) yield queueLine(queue, steps, round);
}

function cellLine(
  state: CellState,
  services: ReadonlyMap<string, ServiceRoom>,
  nowMs: number,
): StateLine {
  const executors = [...state.executors.values()];
  const freeCpu = [...services].map(([service, room]) => ({
    service,
    cpuMilli: room.executors.reduce((sum, each) => sum + freeCpuOf(each), 0),
  }));
  const fields = {
    term: state.term,
    jobs: state.jobs.size,
    executors: executors.length,
    open: executors.filter(each => mayTakeWork(each, nowMs)).length,
    freeCpu,
  };
  return {event: 'cellState', fields};
}

function queueLine(
  queue: string,
  steps: readonly RankedStep[],
  round: Round,
): StateLine {
  const reasons: Partial<Record<WaitReason, number>> = {};
  for (const each of steps) {
    const room = round.services.get(each.step.occurrence.job.queue.service);
    if (room === undefined) continue;
    const reason = waitReason(each, room, round);
    reasons[reason] = (reasons[reason] ?? 0) + 1;
  }
  const asking = steps.filter(({step}) => step.isAsking).length;
  const oldest = Math.min(...steps.map(s => s.step.occurrence.job.acceptedMs));
  const oldestMs = round.wallMs - oldest;
  const fields = {queue, steps: steps.length, asking, oldestMs, reasons};
  return {event: 'queueState', fields};
}

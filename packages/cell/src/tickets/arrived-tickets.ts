/** Starts with tickets that have just arrived, without a scheduling round. */
import type {CellState} from '../cell-state.js';
import {isStepReady, type StepState} from '../job-state.js';
import {candidatesFor} from '../placement.js';
import {orderSteps} from '../queue-order.js';
import {resetRoom} from '../overdue.js';
import type {StartContext, StartRound} from '../round.js';
import {
  startGang,
  startTasks,
  type Pass,
  type StartDecision,
} from '../starts.js';

/**
 * Starts tasks of a step for which tickets have arrived, in the room that a
 * round reserved for it when it requested them. All other room is left to the
 * next round, since an earlier step may be waiting for it. So are all starts
 * while an executor may have crashed under a task.
 *
 * @param reservedIds the executors with that room
 * @example
 * for (const {tasks} of startWithTickets(state, step, ids, context)) send(tasks);
 */
export function* startWithTickets(
  state: CellState,
  step: StepState,
  reservedIds: readonly string[],
  context: StartContext,
): Generator<StartDecision> {
  if (state.crashes.isActive || !state.pendingSteps.has(step)) return;
  if (!isStepReady(step, context.wallMs)) return;
  const reserved = new Set(reservedIds);
  const round: StartRound = {
    ...context,
    state,
    withheld: new Set(),
    reserved: new Map(),
    reservedFromUrgent: new Map(),
    isolatedExecutors: new Map(),
  };
  const candidates = candidatesFor(step, [], round).filter(({info}) =>
    reserved.has(info.id),
  );
  if (candidates.length === 0) return;
  const {started} = yield* start(step, candidates, round);
  if (started > 0) resetRoom(step);
}

function* start(
  step: StepState,
  candidates: ReturnType<typeof candidatesFor>,
  round: StartRound,
): Generator<StartDecision, Pass> {
  if (step.spec.isGang) return yield* startGang(step, candidates, round);
  const {estimates, services} = round.state;
  const [ranked] = orderSteps([step], estimates, round.wallMs);
  const capacity = services.get(step.occurrence.job.queue.service);
  if (ranked === undefined || capacity === undefined) {
    return {started: 0, missing: 0};
  }
  return yield* startTasks(ranked, candidates, capacity, round);
}

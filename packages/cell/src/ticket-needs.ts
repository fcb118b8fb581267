/**
 * For which executors a step needs tickets of the advice service now. Answers
 * a load under which the service is the bound: tickets are asked for only
 * where the step could start, and by one step at a time for the same room, so
 * that they do not end unused.
 */
import type {ExecutorState} from './executor-state.js';
import type {StepState} from './job-state.js';
import {
  copiesThatFit,
  isAllowed,
  isSuited,
  mayUse,
  NO_ROOM_PROMISED,
  promise,
} from './place.js';
import type {Round} from './round.js';
import {freeCpuOf, mayFit, type ServiceRoom} from './service-room.js';

/** The most executors that are named at first; each costs decision time. */
const FIRST_EXECUTORS = 30;
/** The most executors that are named when tickets are renewed. */
const RENEWAL_EXECUTORS = 12;

/** Tickets that a step needs. */
export interface TicketNeed {
  readonly executorIds: readonly string[];
  /** There is no room yet in which the tickets could be used. */
  readonly isAhead: boolean;
}

/**
 * The tickets that are needed now; null for none.
 *
 * @param targets where there is room for the step, or will be
 */
export function ticketsToGet(
  step: StepState,
  targets: readonly ExecutorState[],
  room: ServiceRoom,
  round: Round,
): TicketNeed | null {
  const {queue} = step.occurrence.job;
  if (queue.advice === null) return null;
  const isAhead = targets.length === 0;
  if (isAhead && !mayAskAhead(step, room)) return null;
  if (step.isAsking) return null;
  // A gang needs its tickets all at once: they are renewed before they end.
  const {decisionMs, perExecutorMs} = queue.advice;
  const callMs = decisionMs + perExecutorMs * RENEWAL_EXECUTORS;
  const atMs = step.spec.isGang ? round.nowMs + callMs : round.nowMs;
  const open = room.open.filter(each => isOpen(step, each));
  const missing = open.filter(each => !isAllowed(step, each, atMs));
  if (isAhead && missing.length < open.length) return null;
  const first = targets.filter(each => missing.includes(each));
  if (!isAhead && first.length === 0) return null;
  const others = mostRoomFirst(missing.filter(each => !first.includes(each)));
  const most = step.asked.size === 0 ? FIRST_EXECUTORS : RENEWAL_EXECUTORS;
  const executorIds = idsOf([...first, ...others], most);
  return executorIds.length === 0 ? null : {executorIds, isAhead};
}

/**
 * Claims free room for the step, so that steps behind it do not ask for it
 * too, and do not take it either where the step needs much of an executor.
 *
 * @returns the executors; empty where there is no room, or not for a gang
 */
export function claimRoom(
  step: StepState,
  wanted: number,
  room: ServiceRoom,
  isHeld: boolean,
  round: Round,
): readonly ExecutorState[] {
  if (!mayFit(step, room)) return [];
  const claims: ExecutorState[] = [];
  const counts: number[] = [];
  let missing = wanted;
  for (const executor of room.open) {
    if (missing === 0) break;
    if (round.reserved.has(executor)) continue;
    if (!isOpen(step, executor)) continue;
    const taken = round.claimed.get(executor) ?? NO_ROOM_PROMISED;
    const count = Math.min(missing, copiesThatFit(step, executor, taken));
    if (count <= 0) continue;
    claims.push(executor);
    counts.push(count);
    missing -= count;
  }
  if (step.spec.isGang && missing > 0) return [];
  claims.forEach((executor, i) => {
    promise(round.claimed, executor, step.spec, counts[i] ?? 0);
    if (isHeld) promise(round.promised, executor, step.spec, counts[i] ?? 0);
  });
  return claims;
}

/** Whether the step may run there, or it is not known that it may not. */
function isOpen(step: StepState, executor: ExecutorState): boolean {
  if (!isSuited(step, executor)) return false;
  return !step.asked.has(executor.info.id) || mayUse(step, executor);
}

/**
 * A step learns early where it may run; those that go first keep their tickets
 * though they have no room yet.
 */
function mayAskAhead({asked}: StepState, room: ServiceRoom): boolean {
  if (asked.size === 0) return true;
  if (room.stuckAsks <= 0) return false;
  room.stuckAsks -= 1;
  return true;
}

function mostRoomFirst(
  executors: readonly ExecutorState[],
): readonly ExecutorState[] {
  return [...executors].sort((a, b) => freeCpuOf(b) - freeCpuOf(a));
}

function idsOf(
  executors: readonly ExecutorState[],
  most: number,
): readonly string[] {
  return executors.slice(0, most).map(each => each.info.id);
}

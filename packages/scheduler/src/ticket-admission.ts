/** Admission control: decides whether a request may wait for a ticket. */
import {raise} from '@dragonflyward/common';
import type {TicketAsk} from '@dragonflyward/peer';
import type {QueueConfig} from '@dragonflyward/state';
import type {CompletionEstimator} from './completion-estimator.js';
import {priorityRank, type FairQueue, type Waiter} from './fair-queue.js';
import type {SlotTable} from './slot-table.js';

/** Fraction of a queue's `maxWaiting` that one team may take up. */
const MAX_TEAM_QUEUE_FRACTION = 0.5;
/** A request is refused if it is expected to need more of its deadline. */
const PLANNED_DEADLINE_FRACTION = 0.75;

/** What an admission decision depends on. */
export interface AdmissionParts {
  readonly fairQueue: FairQueue;
  readonly slots: SlotTable;
  readonly estimator: CompletionEstimator;
}

/**
 * Refuses a request if its queue is full or its deadline cannot be met.
 *
 * @throws queueFull, deadlineUnmet
 * @example
 * checkAdmission({fairQueue, slots, estimator}, ask, queue);
 */
export function checkAdmission(
  parts: AdmissionParts,
  ask: TicketAsk,
  cfg: QueueConfig,
): void {
  const waiters = [...parts.fairQueue.waiters()];
  checkQueueLimits(waiters, ask, cfg);
  checkDeadline(parts, waiters, ask, cfg);
}

function checkQueueLimits(
  waiters: readonly Waiter[],
  {queue, team}: TicketAsk,
  cfg: QueueConfig,
): void {
  const queueWaiters = waiters.filter(waiter => waiter.ask.queue === queue);
  const teamWaiters = queueWaiters.filter(waiter => waiter.ask.team === team);
  const teamMax = Math.ceil(cfg.maxWaiting * MAX_TEAM_QUEUE_FRACTION);
  if (queueWaiters.length >= cfg.maxWaiting) raise('queueFull', queue);
  if (teamWaiters.length >= teamMax) raise('queueFull', `${queue}: ${team}`);
}

function checkDeadline(
  {slots, estimator}: AdmissionParts,
  waiters: readonly Waiter[],
  ask: TicketAsk,
  cfg: QueueConfig,
): void {
  const {service, deadlineMs} = ask;
  const ahead = waiters.filter(waiter => isAhead(waiter, ask, cfg)).length;
  const free = slots.freeSlots(service);
  const load = {ahead, free, slots: slots.totalSlots(service)};
  const completionMs = estimator.timeToCompletionMs(service, load);
  if (completionMs <= deadlineMs * PLANNED_DEADLINE_FRACTION) return;
  raise('deadlineUnmet', `${ahead} requests of ${service} are ahead`);
}

function isAhead(waiter: Waiter, ask: TicketAsk, cfg: QueueConfig): boolean {
  if (waiter.ask.service !== ask.service) return false;
  return priorityRank(waiter.priority) <= priorityRank(cfg.priority);
}

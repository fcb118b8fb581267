/** Decides whether a request may wait for a ticket. */
import {raise} from '@dragonflyward/common';
import type {TicketAsk} from '@dragonflyward/peer';
import type {QueueConfig} from '@dragonflyward/state';
import type {CompletionEstimator} from './completion-estimator.js';
import {priorityRank, type FairQueue, type Waiter} from './fair-queue.js';
import type {SlotTable} from './slot-table.js';

/** The part of a queue's waiting room that one team may fill. */
const MAX_TEAM_QUEUE_FRACTION = 0.5;
/** The part of its deadline in which a request should be done. */
const PLANNED_DEADLINE_FRACTION = 0.75;

/** What a decision depends on. */
export interface AdmissionParts {
  readonly fairQueue: FairQueue;
  readonly slots: SlotTable;
  readonly estimate: CompletionEstimator;
}

/**
 * Refuses a request that has no room to wait in, or no time.
 *
 * @throws queueFull, deadlineUnmet
 * @example
 * checkAdmission({order, slots, estimate}, ask, queue);
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
  {slots, estimate}: AdmissionParts,
  waiters: readonly Waiter[],
  ask: TicketAsk,
  cfg: QueueConfig,
): void {
  const {service, deadlineMs} = ask;
  const ahead = waiters.filter(waiter => isAhead(waiter, ask, cfg)).length;
  const free = slots.freeSlots(service);
  const load = {ahead, free, slots: slots.totalSlots(service)};
  const completionMs = estimate.timeToCompletionMs(service, load);
  if (completionMs <= deadlineMs * PLANNED_DEADLINE_FRACTION) return;
  raise('deadlineUnmet', `${ahead} requests of ${service} come before`);
}

function isAhead(waiter: Waiter, ask: TicketAsk, cfg: QueueConfig): boolean {
  if (waiter.ask.service !== ask.service) return false;
  return priorityRank(waiter.priority) <= priorityRank(cfg.priority);
}

/** Decides whether a request may wait for a ticket. */
import {raise} from '@dragonflyward/common';
import type {TicketAsk} from '@dragonflyward/peer';
import type {QueueConfig} from '@dragonflyward/state';
import type {WaitEstimate} from './ticket-estimate.js';
import {priorityRank, type TicketOrder, type Waiter} from './ticket-order.js';
import type {TicketSlots} from './ticket-slots.js';

/** The part of a queue's waiting room that one team may fill. */
const TEAM_WAITING_PART = 0.5;
/** The part of its deadline in which a request should be done. */
const PLANNED_PART = 0.75;

/** What a decision depends on. */
export interface AdmissionParts {
  readonly order: TicketOrder;
  readonly slots: TicketSlots;
  readonly estimate: WaitEstimate;
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
  const waiters = [...parts.order.waiters()];
  checkRoom(waiters, ask, cfg);
  checkTime(parts, waiters, ask, cfg);
}

function checkRoom(
  waiters: readonly Waiter[],
  {queue, team}: TicketAsk,
  cfg: QueueConfig,
): void {
  const inQueue = waiters.filter(waiter => waiter.ask.queue === queue);
  const ofTeam = inQueue.filter(waiter => waiter.ask.team === team);
  const teamBound = Math.ceil(cfg.maxWaiting * TEAM_WAITING_PART);
  if (inQueue.length >= cfg.maxWaiting) raise('queueFull', queue);
  if (ofTeam.length >= teamBound) raise('queueFull', `${queue}: ${team}`);
}

function checkTime(
  {slots, estimate}: AdmissionParts,
  waiters: readonly Waiter[],
  ask: TicketAsk,
  cfg: QueueConfig,
): void {
  const {service, deadlineMs} = ask;
  const ahead = waiters.filter(waiter => isAhead(waiter, ask, cfg)).length;
  const free = slots.freeOf(service);
  const situation = {ahead, free, slots: slots.slotsOf(service)};
  const doneInMs = estimate.doneInMs(service, situation);
  if (doneInMs <= deadlineMs * PLANNED_PART) return;
  raise('deadlineUnmet', `${ahead} requests of ${service} come before`);
}

function isAhead(waiter: Waiter, ask: TicketAsk, cfg: QueueConfig): boolean {
  if (waiter.ask.service !== ask.service) return false;
  return priorityRank(waiter.priority) <= priorityRank(cfg.priority);
}

/** Requests tickets from the advice service through the VMs of the cell. */
import {AdviceLane} from './advice-lane.js';
import type {Ticket} from './executor-client.js';
import type {LogFunction} from './platform.js';
import {FIRST_EXECUTORS, type TicketNeed} from './ticket-needs.js';
import {recordTickets, stepName, type StepState} from './job-state.js';
import type {AdvicePolicy} from './types.js';

/** Requests expected to take longer are not sent through the nearest VMs. */
const SHORT_DECISION_MS = 150;
/** Share of the answering VMs that takes short requests only. */
const SHORT_VM_SHARE = 0.2;
/** Short requests of one round: as many as are sent before the next one. */
const SHORT_REQUESTS_PER_VM = 4;
const MIN_SHORT_REQUESTS = 8;
const MAX_SHORT_REQUESTS = 128;
/** Long requests of one round besides those that can be sent at once. */
const SPARE_LONG_REQUESTS = 2;
/** Share of the VMs that may request tickets for steps without room. */
const SPECULATIVE_VM_SHARE = 0.34;
/** Weight of the newest call in the moving average of the overhead. */
const NEW_CALL_WEIGHT = 0.1;
/** The longest time for which a VM is not used, in ms. */
const MAX_VM_BACKOFF_MS = 8000;
/** The same while no VM answers, in ms: the service may be back soon. */
const MAX_BACKOFF_OF_ALL_MS = 1000;
/** Added to the expected time before a call counts as failed, in ms. */
const CALL_SLACK_MS = 600;
/** The most characters of an error in a log line. */
const MAX_REASON_LENGTH = 200;
/** Subtracted from a ticket's validity for its way to the executor, in ms. */
const TICKET_MARGIN_MS = 250;

/** A VM through which the advice service is called. */
export interface AdviceChannel {
  readonly vm: string;
  /** Whether the VM is the owner's own or in the same failure domain. */
  readonly isInOwnerDomain: boolean;
  readonly ask: (
    step: string,
    executorIds: readonly string[],
    timeoutMs: number,
  ) => Promise<readonly Ticket[] | null>;
}

/** A request for tickets of one step. */
export interface TicketRequest extends TicketNeed {
  readonly step: StepState;
  /** Lower goes first. */
  readonly precedence: number;
}

interface QueuedRequest extends TicketRequest {
  readonly expectedMs: number;
}

/** Statistics of the calls for one queue since the last report. */
export interface AdviceStats {
  readonly queue: string;
  calls: number;
  failed: number;
  tickets: number;
  /** Sum of the durations of these calls, in ms. */
  busyMs: number;
}

/**
 * Limits the requests of one round to those that can be sent before the next
 * one. What a step reserves for more than that would stay unused.
 */
export class TicketBudget {
  constructor(
    private shortLeft: number,
    private longLeft: number,
  ) {}

  /** Whether one more request may be made. */
  has(expectedMs: number): boolean {
    return (isShort(expectedMs) ? this.shortLeft : this.longLeft) > 0;
  }

  /** Counts a request. */
  take(expectedMs: number): void {
    if (isShort(expectedMs)) this.shortLeft -= 1;
    else this.longLeft -= 1;
  }
}

/** The time of the advice service for a request, in ms. */
export function decisionTimeMs(
  {decisionMs, perExecutorMs}: AdvicePolicy,
  executorCount: number,
): number {
  return decisionMs + perExecutorMs * executorCount;
}

function isShort(expectedMs: number): boolean {
  return expectedMs <= SHORT_DECISION_MS;
}

/** A VM that may take calls now. */
interface Candidate {
  readonly channel: AdviceChannel;
  readonly lane: AdviceLane;
}

/**
 * Distributes ticket requests over the VMs, the most urgent first. Each round
 * replaces the requests that have not been sent, so that none is sent for a step
 * that has lost its place in the order.
 */
export class TicketRequester {
  private queued: readonly QueuedRequest[] = [];
  private readonly lanes = new Map<string, AdviceLane>();
  private statsByQueue = new Map<string, AdviceStats>();
  private speculativeCalls = 0;
  /** Moving average of what calls take beyond the decision itself, in ms. */
  private overheadMs = 0;

  constructor(
    private readonly channels: () => readonly AdviceChannel[],
    private readonly nowMs: () => number,
    private readonly onTickets: (
      step: StepState,
      tickets: readonly Ticket[],
      reservedIds: readonly string[],
    ) => void,
    private readonly log: LogFunction,
  ) {}

  /** How long it takes until the step holds tickets, in ms; 0 if it does. */
  expectedWaitMs({occurrence, ticketsUntilMs}: StepState): number {
    const {advice} = occurrence.job.queue;
    if (advice === null || ticketsUntilMs > this.nowMs()) return 0;
    return this.overheadMs + decisionTimeMs(advice, FIRST_EXECUTORS);
  }

  /** How many requests a round that begins now may make. */
  newBudget(): TicketBudget {
    const nowMs = this.nowMs();
    const answering = this.candidates().filter(({lane}) => lane.isAnswering);
    const free = withoutNearest(answering).filter(({lane}) =>
      lane.hasRoom(nowMs),
    );
    const shortCount =
      MIN_SHORT_REQUESTS + SHORT_REQUESTS_PER_VM * answering.length;
    return new TicketBudget(
      Math.min(MAX_SHORT_REQUESTS, shortCount),
      free.length + SPARE_LONG_REQUESTS,
    );
  }

  /**
   * Replaces the requests that have not been sent by those of a new round, in
   * its order; `onTickets` reports each answer. A step has one call at a time.
   *
   * @example
   * requester.replaceRequests(decisions.filter(isTicketRequest));
   */
  replaceRequests(requests: readonly TicketRequest[]): void {
    const queued: QueuedRequest[] = [];
    for (const each of requests) {
      const {advice} = each.step.occurrence.job.queue;
      if (each.step.isRequestingTickets || advice === null) continue;
      const expectedMs = decisionTimeMs(advice, each.executorIds.length);
      queued.push({...each, expectedMs});
    }
    const sorted = queued.sort(
      (a, b) =>
        Number(a.isSpeculative) - Number(b.isSpeculative) ||
        a.precedence - b.precedence,
    );
    this.queued = firstOfEachStep(sorted);
    this.dispatch();
  }

  /** Returns and resets the statistics of each queue. */
  takeReport(): readonly AdviceStats[] {
    const stats = [...this.statsByQueue.values()];
    this.statsByQueue = new Map();
    return stats;
  }

  /**
   * Sends queued requests through the VMs that will answer them first. A VM
   * whose last call failed gets what the others leave, the least urgent first:
   * it may fail again.
   */
  dispatch(): void {
    if (this.queued.length === 0) return;
    const nowMs = this.nowMs();
    const all = this.candidates();
    const answering = all.filter(({lane}) => lane.isAnswering);
    const forLong = withoutNearest(answering);
    const left: QueuedRequest[] = [];
    for (const request of this.queued) {
      const lanes = isShort(request.expectedMs) ? answering : forLong;
      const mayBeSent =
        !request.isSpeculative || this.maySpeculate(answering, left);
      const lane = mayBeSent ? fastestLane(request, lanes, nowMs) : null;
      if (lane === null) left.push(request);
      else this.send(request, lane, nowMs);
    }
    const maxPauseMs =
      answering.length === 0 ? MAX_BACKOFF_OF_ALL_MS : MAX_VM_BACKOFF_MS;
    for (const each of all) {
      if (each.lane.isAnswering) continue;
      if (!each.lane.mayRetry(nowMs, maxPauseMs)) continue;
      const request = left.pop();
      if (request !== undefined) this.send(request, each, nowMs);
    }
    this.queued = left;
  }

  private candidates(): readonly Candidate[] {
    return this.channels().map(channel => ({
      channel,
      lane: this.laneOf(channel),
    }));
  }

  private laneOf(channel: AdviceChannel): AdviceLane {
    const known = this.lanes.get(channel.vm);
    if (known !== undefined) return known;
    const lane = new AdviceLane(channel);
    this.lanes.set(channel.vm, lane);
    return lane;
  }

  /** Whether a request for a step without room may be sent. */
  private maySpeculate(
    answering: readonly Candidate[],
    left: readonly QueuedRequest[],
  ): boolean {
    const maxCalls = Math.floor(answering.length * SPECULATIVE_VM_SHARE);
    return left.length === 0 && this.speculativeCalls < maxCalls;
  }

  private send(
    request: QueuedRequest,
    {channel, lane}: Candidate,
    nowMs: number,
  ): void {
    request.step.isRequestingTickets = true;
    const timeoutMs =
      lane.answerInMs(request.expectedMs, nowMs) + CALL_SLACK_MS;
    void this.ask(channel, lane, request, timeoutMs);
  }

  private async ask(
    channel: AdviceChannel,
    lane: AdviceLane,
    {step, executorIds, reservedIds, expectedMs, isSpeculative}: QueuedRequest,
    timeoutMs: number,
  ): Promise<void> {
    if (isSpeculative) this.speculativeCalls += 1;
    const name = stepName(step);
    const sentMs = this.nowMs();
    const call = lane.begin(expectedMs, sentMs);
    const tickets = await this.call(channel, name, executorIds, timeoutMs);
    const nowMs = this.nowMs();
    step.isRequestingTickets = false;
    if (isSpeculative) this.speculativeCalls -= 1;
    this.recordCall(step.occurrence.job.queue.name, tickets, sentMs);
    if (tickets === null) {
      lane.fail(call, nowMs);
    } else {
      lane.end(call, nowMs);
      const overheadMs = nowMs - sentMs - expectedMs - this.overheadMs;
      this.overheadMs += overheadMs * NEW_CALL_WEIGHT;
      const {advice} = step.occurrence.job.queue;
      const lifeMs = (advice?.validityMs ?? 0) - TICKET_MARGIN_MS;
      // The service issues a ticket when it has decided, not before that.
      const issuedMs = Math.min(nowMs, sentMs + expectedMs);
      recordTickets(step, tickets, issuedMs + lifeMs, executorIds);
    }
    this.onTickets(step, tickets ?? [], reservedIds);
    this.dispatch();
  }

  /** Whatever a call throws, its VM and its step must not stay occupied. */
  private async call(
    {vm, ask}: AdviceChannel,
    step: string,
    executorIds: readonly string[],
    timeoutMs: number,
  ): Promise<readonly Ticket[] | null> {
    try {
      return await ask(step, executorIds, timeoutMs);
    } catch (err) {
      const text = err instanceof Error ? err.message : String(err);
      const reason = text.slice(0, MAX_REASON_LENGTH);
      this.log('adviceFailed', {vm, step, reason});
      return null;
    }
  }

  private recordCall(
    queue: string,
    tickets: readonly Ticket[] | null,
    sentMs: number,
  ): void {
    const stats = this.statsByQueue.get(queue) ?? newStats(queue);
    this.statsByQueue.set(queue, stats);
    stats.calls += 1;
    stats.busyMs += Math.round(this.nowMs() - sentMs);
    if (tickets === null) stats.failed += 1;
    else stats.tickets += tickets.length;
  }
}

function newStats(queue: string): AdviceStats {
  return {queue, calls: 0, failed: 0, tickets: 0, busyMs: 0};
}

function firstOfEachStep(
  requests: readonly QueuedRequest[],
): readonly QueuedRequest[] {
  const steps = new Set<StepState>();
  return requests.filter(({step}) => {
    const isFirst = !steps.has(step);
    steps.add(step);
    return isFirst;
  });
}

/** Leaves out the nearest VMs, unless there is no other. */
function withoutNearest(
  candidates: readonly Candidate[],
): readonly Candidate[] {
  if (candidates.length <= 1) return candidates;
  const count = Math.ceil(candidates.length * SHORT_VM_SHARE);
  const byDistance = [...candidates].sort(
    (a, b) => a.lane.distanceMs - b.lane.distanceMs,
  );
  return byDistance.slice(count);
}

/** The VM with the earliest answer; null while all have enough to do. */
function fastestLane(
  {expectedMs, isSpeculative}: QueuedRequest,
  candidates: readonly Candidate[],
  nowMs: number,
): Candidate | null {
  let best: Candidate | null = null;
  let bestMs = Infinity;
  for (const each of candidates) {
    if (!each.lane.hasRoom(nowMs)) continue;
    if (isSpeculative && !each.lane.isIdle) continue;
    const answerInMs = each.lane.answerInMs(expectedMs, nowMs);
    if (answerInMs >= bestMs) continue;
    best = each;
    bestMs = answerInMs;
  }
  return best;
}

/** Requests tickets from the advice service through the VMs of the cell. */
import type {Ticket} from './executor-client.js';
import {URGENT_PRIORITY} from './placement.js';
import type {LogFunction} from './platform.js';
import type {TicketNeed} from './ticket-needs.js';
import {recordTickets, stepName, type StepState} from './job-state.js';

/**
 * Requests expected to take longer than this avoid the owner's VM and its
 * failure domain where possible, and never take the last idle VM there.
 */
const SHORT_DECISION_MS = 150;
/** Queue bound per VM; tickets of more requests would expire before use. */
const MAX_QUEUED_PER_VM = 1;
/** Share of the VMs that may request tickets for steps without room. */
const SPECULATIVE_VM_SHARE = 0.34;
/** How long a VM is not used after a failed call, in ms; doubles each time. */
const VM_BACKOFF_MS = 500;
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

/** A VM through which the advice service is called, one call at a time. */
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

/** The failed calls through a VM since the last one that was answered. */
interface VmFailures {
  readonly count: number;
  readonly lastMs: number;
}

/** Distributes ticket requests over the VMs, the most urgent first. */
export class TicketRequester {
  private readonly queued: QueuedRequest[] = [];
  private readonly busy = new Set<string>();
  private readonly failures = new Map<string, VmFailures>();
  private statsByQueue = new Map<string, AdviceStats>();
  private speculativeCalls = 0;

  constructor(
    private readonly channels: () => readonly AdviceChannel[],
    private readonly nowMs: () => number,
    private readonly onTickets: (step: StepState) => void,
    private readonly log: LogFunction,
  ) {}

  /**
   * Requests tickets for a step; `onTickets` reports the answer. Non-urgent
   * requests are not queued beyond what the VMs take next, and speculative ones
   * not at all: a later round repeats them in its own order.
   */
  request({step, executorIds, precedence, isSpeculative}: TicketRequest): void {
    const {queue} = step.occurrence.job;
    if (step.isRequestingTickets || queue.advice === null) return;
    if (isSpeculative && !this.mayRequestSpeculatively()) return;
    const {decisionMs, perExecutorMs} = queue.advice;
    const expectedMs = decisionMs + perExecutorMs * executorIds.length;
    step.isRequestingTickets = true;
    this.queued.push({
      step,
      executorIds,
      expectedMs,
      precedence,
      isSpeculative,
    });
    this.queued.sort(
      (a, b) => a.precedence - b.precedence || a.expectedMs - b.expectedMs,
    );
    this.dispatch();
    this.dropExcess(MAX_QUEUED_PER_VM * this.channels().length);
  }

  /** Whether few enough speculative calls are in progress. */
  private mayRequestSpeculatively(): boolean {
    if (this.queued.length > 0) return false;
    return (
      this.speculativeCalls <
      Math.floor(this.channels().length * SPECULATIVE_VM_SHARE)
    );
  }

  private dropExcess(maxCount: number): void {
    while (this.queued.length > maxCount) {
      const last = this.queued.at(-1);
      if (last === undefined || last.precedence <= URGENT_PRIORITY) return;
      last.step.isRequestingTickets = false;
      this.queued.pop();
    }
  }

  /** Returns and resets the statistics of each queue. */
  takeReport(): readonly AdviceStats[] {
    const stats = [...this.statsByQueue.values()];
    this.statsByQueue = new Map();
    return stats;
  }

  /**
   * Sends queued requests through idle VMs. A VM whose last call failed gets
   * what the others leave, the least urgent first: it may fail again.
   */
  dispatch(): void {
    if (this.queued.length === 0) return;
    const nowMs = this.nowMs();
    const all = this.channels();
    const answeringCount = all.filter(c => this.isAnswering(c)).length;
    const maxPauseMs =
      answeringCount === 0 ? MAX_BACKOFF_OF_ALL_MS : MAX_VM_BACKOFF_MS;
    const idle = all.filter(({vm}) => this.isIdle(vm, nowMs, maxPauseMs));
    // A VM is kept for short requests only where long ones have another.
    const mayTakeLast = answeringCount <= 1;
    const answering = ownDomainFirst(idle.filter(c => this.isAnswering(c)));
    const failing = idle.filter(each => !this.isAnswering(each));
    for (const request of [...this.queued]) {
      const isShort = request.expectedMs <= SHORT_DECISION_MS;
      this.send(request, takeChannel(answering, isShort, mayTakeLast));
    }
    for (const request of [...this.queued].reverse()) {
      this.send(request, failing.pop());
    }
  }

  private send(
    request: QueuedRequest,
    channel: AdviceChannel | undefined,
  ): void {
    if (channel === undefined) return;
    this.queued.splice(this.queued.indexOf(request), 1);
    this.busy.add(channel.vm);
    void this.ask(channel, request);
  }

  private isIdle(vm: string, nowMs: number, maxPauseMs: number): boolean {
    if (this.busy.has(vm)) return false;
    const failures = this.failures.get(vm);
    if (failures === undefined) return true;
    const pauseMs = VM_BACKOFF_MS * 2 ** (failures.count - 1);
    return failures.lastMs + Math.min(maxPauseMs, pauseMs) <= nowMs;
  }

  /** Whether the last call through the VM, if any, was answered. */
  private isAnswering({vm}: AdviceChannel): boolean {
    return !this.failures.has(vm);
  }

  private recordFailure(vm: string): void {
    const count = (this.failures.get(vm)?.count ?? 0) + 1;
    this.failures.set(vm, {count, lastMs: this.nowMs()});
  }

  private async ask(
    channel: AdviceChannel,
    request: QueuedRequest,
  ): Promise<void> {
    const {step, executorIds, expectedMs, isSpeculative} = request;
    if (isSpeculative) this.speculativeCalls += 1;
    const timeoutMs = expectedMs + CALL_SLACK_MS;
    const name = stepName(step);
    const sentMs = this.nowMs();
    const tickets = await this.call(channel, name, executorIds, timeoutMs);
    this.busy.delete(channel.vm);
    step.isRequestingTickets = false;
    if (isSpeculative) this.speculativeCalls -= 1;
    this.recordCall(step.occurrence.job.queue.name, tickets, sentMs);
    if (tickets === null) {
      this.recordFailure(channel.vm);
    } else {
      this.failures.delete(channel.vm);
      const {advice} = step.occurrence.job.queue;
      const lifeMs = (advice?.validityMs ?? 0) - TICKET_MARGIN_MS;
      const issuedMs = Math.min(this.nowMs(), sentMs + expectedMs);
      const validUntilMs = issuedMs + lifeMs;
      recordTickets(step, tickets, validUntilMs, executorIds);
    }
    this.onTickets(step);
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

function ownDomainFirst(channels: readonly AdviceChannel[]): AdviceChannel[] {
  return [
    ...channels.filter(each => each.isInOwnerDomain),
    ...channels.filter(each => !each.isInOwnerDomain),
  ];
}

function takeChannel(
  channels: AdviceChannel[],
  isShort: boolean,
  mayTakeLast: boolean,
): AdviceChannel | undefined {
  if (isShort) return channels.shift();
  const isLast = channels.length === 1;
  if (isLast && channels[0]?.isInOwnerDomain && !mayTakeLast) return undefined;
  return channels.pop();
}

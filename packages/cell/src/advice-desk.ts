/** Gets tickets from the advice service through the VMs of the cell. */
import type {Ticket} from './executor-client.js';
import {URGENT_PRIORITY} from './service-room.js';
import type {TicketNeed} from './ticket-needs.js';
import {noteTickets, stepName, type StepState} from './job-state.js';

/** Decisions up to this long go to any VM, longer ones not to the owner's. */
const SHORT_DECISION_MS = 150;
/** Steps that wait for each VM; tickets for more would end before use. */
const WISHES_PER_LANE = 1;
/** Part of the VMs that may ask for work which has no room yet. */
const AHEAD_PART = 0.34;
/** How long a VM whose call failed is not asked again. */
const LANE_REST_MS = 500;
/** Added to the stated decision time before a call counts as failed. */
const CALL_SLACK_MS = 600;
/** Taken off a ticket's life for its way to the executor, in ms. */
const TICKET_MARGIN_MS = 250;

/** One VM through which the service is asked, one call at a time. */
export interface AdviceLane {
  readonly vm: string;
  /** Whether it is the owner's own VM or one in its failure domain. */
  readonly isNear: boolean;
  readonly ask: (
    step: string,
    executorIds: readonly string[],
    timeoutMs: number,
  ) => Promise<readonly Ticket[] | null>;
}

/** What a step asks for. */
export interface TicketRequest extends TicketNeed {
  readonly step: StepState;
  /** Lower goes first. */
  readonly precedence: number;
}

interface Wish extends TicketRequest {
  readonly expectedMs: number;
}

/** Calls for one queue since the last report. */
export interface AdviceRow {
  readonly queue: string;
  calls: number;
  failed: number;
  tickets: number;
  /** Time for which VMs were taken by these calls, in ms. */
  busyMs: number;
}

/** Spreads the calls over the VMs, the most urgent first. */
export class AdviceDesk {
  private readonly wishes: Wish[] = [];
  private readonly busy = new Set<string>();
  private readonly restsUntil = new Map<string, number>();
  private rows = new Map<string, AdviceRow>();
  private aheadCount = 0;

  constructor(
    private readonly lanes: () => readonly AdviceLane[],
    private readonly nowMs: () => number,
    private readonly onTickets: (step: StepState) => void,
  ) {}

  /**
   * Asks for tickets of a step; the answer comes by `onTickets`. Work that can
   * wait is not queued beyond what the VMs take next, and work without room
   * not at all: it asks again in a later round, in the order of then.
   */
  request({step, executorIds, precedence, isAhead}: TicketRequest): void {
    const {queue} = step.occurrence.job;
    if (step.isAsking || queue.advice === null) return;
    if (isAhead && !this.mayAskAhead()) return;
    const {decisionMs, perExecutorMs} = queue.advice;
    const expectedMs = decisionMs + perExecutorMs * executorIds.length;
    step.isAsking = true;
    this.wishes.push({step, executorIds, expectedMs, precedence, isAhead});
    this.wishes.sort(
      (a, b) => a.precedence - b.precedence || a.expectedMs - b.expectedMs,
    );
    this.dispatch();
    this.dropBeyond(WISHES_PER_LANE * this.lanes().length);
  }

  /** Whether few enough VMs ask for work that has no room yet. */
  private mayAskAhead(): boolean {
    if (this.wishes.length > 0) return false;
    return this.aheadCount < Math.floor(this.lanes().length * AHEAD_PART);
  }

  private dropBeyond(most: number): void {
    while (this.wishes.length > most) {
      const last = this.wishes.at(-1);
      if (last === undefined || last.precedence <= URGENT_PRIORITY) return;
      last.step.isAsking = false;
      this.wishes.pop();
    }
  }

  /** The calls of each queue since the last report. */
  takeReport(): readonly AdviceRow[] {
    const rows = [...this.rows.values()];
    this.rows = new Map();
    return rows;
  }

  /** Hands wishes to VMs that are free. */
  dispatch(): void {
    const nowMs = this.nowMs();
    const free = this.lanes().filter(({vm}) => this.isFree(vm, nowMs));
    const nearFirst = [
      ...free.filter(l => l.isNear),
      ...free.filter(l => !l.isNear),
    ];
    for (const wish of [...this.wishes]) {
      const lane = takeLane(nearFirst, wish.expectedMs <= SHORT_DECISION_MS);
      if (lane === undefined) continue;
      this.wishes.splice(this.wishes.indexOf(wish), 1);
      this.busy.add(lane.vm);
      void this.ask(lane, wish);
    }
  }

  private isFree(vm: string, nowMs: number): boolean {
    return !this.busy.has(vm) && (this.restsUntil.get(vm) ?? 0) <= nowMs;
  }

  private async ask(lane: AdviceLane, wish: Wish): Promise<void> {
    const {step, executorIds, expectedMs, isAhead} = wish;
    if (isAhead) this.aheadCount += 1;
    const timeoutMs = expectedMs + CALL_SLACK_MS;
    const name = stepName(step);
    const sentMs = this.nowMs();
    const tickets = await lane.ask(name, executorIds, timeoutMs);
    this.busy.delete(lane.vm);
    step.isAsking = false;
    if (isAhead) this.aheadCount -= 1;
    this.noteCall(step.occurrence.job.queue.name, tickets, sentMs);
    if (tickets === null) {
      this.restsUntil.set(lane.vm, this.nowMs() + LANE_REST_MS);
    } else {
      const {advice} = step.occurrence.job.queue;
      const lifeMs = (advice?.validityMs ?? 0) - TICKET_MARGIN_MS;
      const issuedMs = Math.min(this.nowMs(), sentMs + expectedMs);
      const validUntilMs = issuedMs + lifeMs;
      noteTickets(step, tickets, validUntilMs, executorIds);
    }
    this.onTickets(step);
    this.dispatch();
  }

  private noteCall(
    queue: string,
    tickets: readonly Ticket[] | null,
    sentMs: number,
  ): void {
    const row = this.rows.get(queue) ?? newRow(queue);
    this.rows.set(queue, row);
    row.calls += 1;
    row.busyMs += Math.round(this.nowMs() - sentMs);
    if (tickets === null) row.failed += 1;
    else row.tickets += tickets.length;
  }
}

function newRow(queue: string): AdviceRow {
  return {queue, calls: 0, failed: 0, tickets: 0, busyMs: 0};
}

function takeLane(
  lanes: AdviceLane[],
  isShort: boolean,
): AdviceLane | undefined {
  if (isShort) return lanes.shift();
  const last = lanes.at(-1);
  if (last === undefined) return undefined;
  if (last.isNear && lanes.length === 1) return undefined;
  return lanes.pop();
}

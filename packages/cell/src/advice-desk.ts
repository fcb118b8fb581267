/** Gets tickets from the advice service through the VMs of the cell. */
import type {Ticket} from './executor-client.js';
import {noteTickets, stepName, type StepState} from './job-state.js';

/** Decisions up to this long go to any VM, longer ones not to the owner's. */
const SHORT_DECISION_MS = 150;
/** Steps that wait for each VM; tickets for more would end before use. */
const WISHES_PER_LANE = 1;
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

interface Wish {
  readonly step: StepState;
  readonly executorIds: readonly string[];
  readonly expectedMs: number;
  readonly priority: number;
}

/** Spreads the calls over the VMs, the most urgent first. */
export class AdviceDesk {
  private readonly wishes: Wish[] = [];
  private readonly busy = new Set<string>();
  private readonly restsUntil = new Map<string, number>();

  constructor(
    private readonly lanes: () => readonly AdviceLane[],
    private readonly nowMs: () => number,
    private readonly onTickets: (step: StepState) => void,
  ) {}

  /** Asks for tickets of a step; the answer comes by `onTickets`. */
  request(step: StepState, executorIds: readonly string[]): void {
    const {queue} = step.occurrence.job;
    if (step.isAsking || queue.advice === null) return;
    // Work that can wait asks again in a later round, in the order of then.
    const most = WISHES_PER_LANE * this.lanes().length;
    if (queue.priority > 0 && this.wishes.length >= most) return;
    const {decisionMs, perExecutorMs} = queue.advice;
    const expectedMs = decisionMs + perExecutorMs * executorIds.length;
    step.isAsking = true;
    this.wishes.push({step, executorIds, expectedMs, priority: queue.priority});
    this.wishes.sort(
      (a, b) => a.priority - b.priority || a.expectedMs - b.expectedMs,
    );
    this.dispatch();
  }

  /** How many steps wait for a call. */
  waitingCount(): number {
    return this.wishes.length;
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
    const {step, executorIds, expectedMs} = wish;
    const timeoutMs = expectedMs + CALL_SLACK_MS;
    const name = stepName(step);
    const sentMs = this.nowMs();
    const tickets = await lane.ask(name, executorIds, timeoutMs);
    this.busy.delete(lane.vm);
    step.isAsking = false;
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

/** Log lines that tell what the first starts of an owner waited for. */
import type {StepState, TaskState} from './job-state.js';
import type {LogFunction} from './platform.js';

/** Later starts are told by the lines on the state of the cell, in ms. */
const LOGGED_MS = 5000;

/** When an owner could start tasks at the earliest, on the monotonic clock. */
export interface FirstStartTimes {
  readonly claimedMs: number;
  /** When the former owner could start nothing any more. */
  readonly leaseEndMs: number;
  /** When the stored state was loaded. */
  readonly activeMs: number;
  /** The same on the wall clock. */
  readonly activeWallMs: number;
}

/** Logs the first start of each queue whose jobs waited for this owner. */
export class FirstStarts {
  private readonly queues = new Set<string>();

  constructor(
    private readonly times: FirstStartTimes,
    private readonly log: LogFunction,
  ) {}

  /**
   * Records a start.
   *
   * @param pendingSteps the steps of the cell that have not ended
   * @example
   * firstStarts.record(tasks, state.pendingSteps, nowMs);
   */
  record(
    [first]: readonly TaskState[],
    pendingSteps: Iterable<StepState>,
    nowMs: number,
  ): void {
    const {claimedMs, leaseEndMs, activeMs, activeWallMs} = this.times;
    if (first === undefined || nowMs - activeMs > LOGGED_MS) return;
    const {queue, acceptedMs} = first.step.occurrence.job;
    if (acceptedMs > activeWallMs || this.queues.has(queue.name)) return;
    this.queues.add(queue.name);
    this.log('firstStart', {
      queue: queue.name,
      sinceClaimMs: Math.round(nowMs - claimedMs),
      sinceLeaseMs: Math.round(nowMs - leaseEndMs),
      sinceActiveMs: Math.round(nowMs - activeMs),
      ...countTickets(queue.name, pendingSteps, nowMs),
    });
  }
}

/** How many steps of the queue hold tickets, and how many ask for some. */
function countTickets(
  queue: string,
  steps: Iterable<StepState>,
  nowMs: number,
): object {
  let withTickets = 0;
  let asking = 0;
  for (const {occurrence, ticketsUntilMs, isRequestingTickets} of steps) {
    if (occurrence.job.queue.name !== queue) continue;
    if (ticketsUntilMs > nowMs) withTickets += 1;
    if (isRequestingTickets) asking += 1;
  }
  return {withTickets, asking};
}

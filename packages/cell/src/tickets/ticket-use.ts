/** Counts what becomes of tickets, for the log. */
import type {Ticket} from '../executor-client.js';
import {hasRoom, type ExecutorState} from '../executor-state.js';
import type {HeldTicket, StepState, TaskState} from '../job-state.js';

/** What became of the tickets of one queue since the last report. */
export interface TicketCounts {
  /** Tickets that arrived while their executor had room for a task. */
  readonly withRoom: number;
  /** Tickets that arrived for steps with nothing left to start. */
  readonly unneeded: number;
  /** Tickets with which a first task was started. */
  readonly used: number;
}

const NO_TICKETS: TicketCounts = {withRoom: 0, unneeded: 0, used: 0};

/** Counts the tickets of each queue from their arrival to their first use. */
export class TicketUse {
  private readonly usedTickets = new WeakSet<HeldTicket>();
  private countsByQueue = new Map<string, TicketCounts>();

  /** Counts tickets that have just arrived for a step. */
  recordArrival(
    step: StepState,
    tickets: readonly Ticket[],
    executors: ReadonlyMap<string, ExecutorState>,
  ): void {
    const isNeeded = step.tasks.some(({phase}) => phase === 'waiting');
    const withRoom = tickets.filter(({executorId}) => {
      const executor = executors.get(executorId);
      return executor !== undefined && hasRoom(executor, step.spec);
    });
    this.add(step, {
      withRoom: withRoom.length,
      unneeded: isNeeded ? 0 : tickets.length,
      used: 0,
    });
  }

  /** Counts the tickets with which tasks of a step are started. */
  recordStart(tasks: readonly TaskState[]): void {
    for (const {step, executor} of tasks) {
      const ticket = step.tickets.get(executor?.info.id ?? '');
      if (ticket === undefined || this.usedTickets.has(ticket)) continue;
      this.usedTickets.add(ticket);
      this.add(step, {...NO_TICKETS, used: 1});
    }
  }

  /**
   * Returns and resets the counts of all queues.
   *
   * @example
   * const counts = ticketUse.takeReport().get('quote');
   */
  takeReport(): ReadonlyMap<string, TicketCounts> {
    const counts = this.countsByQueue;
    this.countsByQueue = new Map();
    return counts;
  }

  private add({occurrence}: StepState, more: TicketCounts): void {
    const {name} = occurrence.job.queue;
    const known = this.countsByQueue.get(name) ?? NO_TICKETS;
    this.countsByQueue.set(name, {
      withRoom: known.withRoom + more.withRoom,
      unneeded: known.unneeded + more.unneeded,
      used: known.used + more.used,
    });
  }
}

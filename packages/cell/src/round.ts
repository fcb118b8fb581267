/** The inputs and working state of one scheduling round. */
import type {CellState} from './cell-state.js';
import type {ExecutorState} from './executor-state.js';
import type {StepState, TaskState} from './job-state.js';
import type {PlacementContext} from './placement.js';
import type {ResourceAmounts} from './resource-amounts.js';
import type {OpenExecutors} from './room/index.js';
import type {ServiceCapacity} from './service-capacity.js';
import type {TicketBudget} from './ticket-requester.js';

/** What starts are decided by besides the state. */
export interface StartContext {
  readonly nowMs: number;
  readonly wallMs: number;
  /**
   * Whether a former owner may have started a run of the task that this owner
   * does not know of.
   */
  readonly mayHaveUnknownRuns: (task: TaskState) => boolean;
}

/** What a round is given by the owner. */
export interface RoundContext extends StartContext {
  /**
   * By when these are expected to have ended, on the monotonic clock; null if
   * no task may have any.
   */
  readonly unknownRunsUntilMs: ((task: TaskState) => number) | null;
  /** How long a start of the step takes from now on, in ms. */
  readonly leadMs: (step: StepState) => number;
  /** The requests for tickets that can be sent before the next round. */
  readonly ticketBudget: TicketBudget;
}

/** What the starts of a step are decided by. */
export interface StartRound extends StartContext, PlacementContext {
  readonly state: CellState;
  /**
   * The executor withheld for each suspect of a crash that may start; null
   * while too many are withheld for others.
   */
  readonly isolatedExecutors: ReadonlyMap<TaskState, ExecutorState | null>;
}

/** A scheduling round in progress. */
export interface Round extends RoundContext, StartRound {
  /** Executors withheld for earlier steps without room, or for suspects. */
  readonly withheld: Set<ExecutorState>;
  /** Resources that only the step they are reserved for may use. */
  readonly reserved: Map<ExecutorState, ResourceAmounts>;
  /** The part of these that urgent work may not use either. */
  readonly reservedFromUrgent: Map<ExecutorState, ResourceAmounts>;
  /**
   * Resources for which an earlier step requests tickets. Later steps request
   * no tickets for them, but may still start tasks there.
   */
  readonly ticketReserved: Map<ExecutorState, ResourceAmounts>;
  /** The part of these for which urgent steps request none either. */
  readonly ticketReservedFromUrgent: Map<ExecutorState, ResourceAmounts>;
  readonly isolatedExecutors: Map<TaskState, ExecutorState | null>;
  readonly services: ReadonlyMap<string, ServiceCapacity>;
  readonly openExecutors: OpenExecutors;
}

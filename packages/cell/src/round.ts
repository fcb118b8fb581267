/** What one round of decisions works with. */
import type {CellState} from './cell-state.js';
import type {ExecutorState} from './executor-state.js';
import type {StepState} from './job-state.js';
import type {PlaceContext, Promised} from './place.js';
import type {ServiceRoom} from './service-room.js';

/** Times and doubts under which a round decides. */
export interface RoundContext {
  readonly nowMs: number;
  readonly wallMs: number;
  /** A former owner may have started tasks of the step unseen. */
  readonly isUnsure: (step: StepState) => boolean;
}

/** One round of decisions under way. */
export interface Round extends RoundContext, PlaceContext {
  readonly state: CellState;
  readonly reserved: Set<ExecutorState>;
  readonly promised: Map<ExecutorState, Promised>;
  /** Room that steps ahead will take once they have tickets for it. */
  readonly claimed: Map<ExecutorState, Promised>;
  readonly services: ReadonlyMap<string, ServiceRoom>;
}

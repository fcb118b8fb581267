/** A bounded log of the workers that got more room. */
import type {WorkerState} from './state.js';

const MAX_ENTRIES = 8_192;

/** Workers in the order in which they got room; old entries are dropped. */
export class FreedWorkerLog {
  private entries: WorkerState[] = [];
  /** The position of the first entry that is still kept. */
  start = 0;

  /** The position after the last entry. */
  get end(): number {
    return this.start + this.entries.length;
  }

  /** Adds a worker. */
  add(worker: WorkerState): void {
    this.entries.push(worker);
    if (this.entries.length <= MAX_ENTRIES) return;
    const droppedCount = MAX_ENTRIES / 2;
    this.entries = this.entries.slice(droppedCount);
    this.start += droppedCount;
  }

  /** The worker at a position. */
  at(position: number): WorkerState | undefined {
    return this.entries[position - this.start];
  }

  /** The distinct workers from a position on. */
  since(position: number): Iterable<WorkerState> {
    const first = position - this.start;
    if (first === this.entries.length - 1) return this.entries.slice(first);
    return new Set(this.entries.slice(first));
  }
}

/** Placement after the ideas of the related paper, to be weighed. */
import {
  addResources,
  fitsIn,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from '@dragonflyward/common';
import {
  PlacementPolicy,
  dominantShare,
  roomOn,
  type PlacementRequest,
  type WorkerState,
} from '@dragonflyward/policy';

/** Ranks workers by how full they are, the emptiest first. */
export class EmptiestPolicy extends PlacementPolicy {
  override choose(
    workers: Iterable<WorkerState>,
    ask: PlacementRequest,
  ): readonly WorkerState[] {
    let best: WorkerState | undefined;
    let bestFill = Infinity;
    for (const worker of workers) {
      if (worker.worker.condition !== 'ready') continue;
      if (!fitsIn(ask.size, roomOn(worker, ask))) continue;
      const fill = dominantShare(worker.used, worker.worker.capacity);
      if (fill >= bestFill) continue;
      best = worker;
      bestFill = fill;
    }
    return best === undefined ? [] : [best];
  }
}

/** Takes as used what was last reported, not what was placed since. */
export class ReportedUsePolicy extends PlacementPolicy {
  private readonly known = new Set<WorkerState>();
  private readonly reported = new Map<WorkerState, Resources>();

  /** Takes over what all workers use at the time of a report. */
  noteReport(): void {
    for (const worker of this.known) {
      let used = NO_RESOURCES;
      for (const {task} of worker.tasks) used = addResources(used, task.size);
      this.reported.set(worker, used);
    }
  }

  override choose(
    workers: Iterable<WorkerState>,
    ask: PlacementRequest,
  ): readonly WorkerState[] {
    for (const worker of workers) {
      this.known.add(worker);
      if (worker.worker.condition !== 'ready') continue;
      const used = this.reported.get(worker) ?? NO_RESOURCES;
      const room = subtractResources(worker.worker.capacity, used);
      if (fitsIn(ask.size, room)) return [worker];
    }
    return [];
  }
}

/** Placement policies after the related paper, for comparison only. */
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

/** Chooses the least loaded worker by its dominant share. */
export class LeastLoadedPolicy extends PlacementPolicy {
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

/** Ignores what was placed since a worker's last usage report. */
export class ReportedUsePolicy extends PlacementPolicy {
  private readonly seenWorkers = new Set<WorkerState>();
  private readonly reportedUse = new Map<WorkerState, Resources>();

  /** Records the current use of all known workers as reported. */
  recordReport(): void {
    for (const worker of this.seenWorkers) {
      let used = NO_RESOURCES;
      for (const {task} of worker.tasks) used = addResources(used, task.size);
      this.reportedUse.set(worker, used);
    }
  }

  override choose(
    workers: Iterable<WorkerState>,
    ask: PlacementRequest,
  ): readonly WorkerState[] {
    for (const worker of workers) {
      this.seenWorkers.add(worker);
      if (worker.worker.condition !== 'ready') continue;
      const used = this.reportedUse.get(worker) ?? NO_RESOURCES;
      const room = subtractResources(worker.worker.capacity, used);
      if (fitsIn(ask.size, room)) return [worker];
    }
    return [];
  }
}

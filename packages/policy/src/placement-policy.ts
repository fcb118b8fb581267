/** Policies that choose workers for tasks: pack, spread and gang. */
import {fitsIn, NO_RESOURCES, type Resources} from '@dragonflyward/common';
import {countFits, isZeroAmount} from './resource-math.js';
import {rackKey, workerKey} from './worker-table.js';
import {isSchedulable, type JobState, type WorkerState} from './state.js';

/** A request to place tasks of one job. */
export interface PlacementRequest {
  readonly state: JobState;
  /** What each task reserves. */
  readonly size: Resources;
  /** How many tasks have to be placed together. */
  readonly count: number;
  readonly isUrgent: boolean;
  /** When the tasks are expected to have ended. */
  readonly endMs: number;
  /** Held room that this job may use, by worker. */
  readonly usableHeld: ReadonlyMap<WorkerState, Resources>;
  /** Workers on which the job failed before. */
  readonly avoidedWorkers: ReadonlySet<string>;
}

/** Chooses a worker for each task of a request. */
export abstract class PlacementPolicy {
  /** Returns a worker for each task, or none if they don't all fit. */
  abstract choose(
    workers: Iterable<WorkerState>,
    request: PlacementRequest,
  ): readonly WorkerState[];
}

/** Chooses the one worker with the lowest cost. */
abstract class ScoredPolicy extends PlacementPolicy {
  override choose(
    workers: Iterable<WorkerState>,
    request: PlacementRequest,
  ): readonly WorkerState[] {
    let best: WorkerState | undefined;
    let bestCost = Infinity;
    for (const worker of workers) {
      if (!isSchedulable(worker) || !hasRoom(worker, request)) continue;
      const cost = this.cost(worker, request) + commonCost(worker, request);
      if (cost >= bestCost) continue;
      best = worker;
      bestCost = cost;
    }
    return best === undefined ? [] : [best];
  }

  protected abstract cost(
    worker: WorkerState,
    request: PlacementRequest,
  ): number;
}

/** Cost of using a worker with accelerators for a task that needs none. */
const STRANDED_ACCELERATOR_COST = 10;
/** Cost of using a worker on which the job failed before. */
const AVOIDED_WORKER_COST = 1_000;
/** Cost for each task of the job that is on the same rack or worker. */
const SAME_RACK_COST = 100;
const SAME_WORKER_COST = 50;

/** Best fit: chooses the fullest worker that still has room. */
export class PackPolicy extends ScoredPolicy {
  protected override cost(
    worker: WorkerState,
    request: PlacementRequest,
  ): number {
    return freeFractionAfter(worker, request.size);
  }
}

/** Spreads the tasks of a job over racks first, then over workers. */
export class SpreadPolicy extends ScoredPolicy {
  protected override cost(
    worker: WorkerState,
    request: PlacementRequest,
  ): number {
    const {taskCountByLocation} = request.state;
    const {rack, workerId} = worker.worker;
    const inRack = taskCountByLocation?.get(rackKey(rack)) ?? 0;
    const onWorker = taskCountByLocation?.get(workerKey(workerId)) ?? 0;
    const colocationCost =
      inRack * SAME_RACK_COST + onWorker * SAME_WORKER_COST;
    return colocationCost + freeFractionAfter(worker, request.size);
  }
}

/** How many tasks of a request fit on a worker. */
interface WorkerSlots {
  readonly worker: WorkerState;
  readonly slots: number;
}

/** Places all tasks of a job at once, on as few racks as possible. */
export class GangPolicy extends PlacementPolicy {
  override choose(
    workers: Iterable<WorkerState>,
    request: PlacementRequest,
  ): readonly WorkerState[] {
    const racks = new Map<string, WorkerSlots[]>();
    for (const worker of workers) {
      const slots = countSlots(worker, request);
      if (slots === 0) continue;
      const rackSlots = racks.get(worker.worker.rack) ?? [];
      rackSlots.push({worker, slots});
      racks.set(worker.worker.rack, rackSlots);
    }
    return takeSlots(
      orderRacks([...racks.values()], request.count),
      request.count,
    );
  }
}

/** The smallest rack that fits all tasks, or else the largest racks first. */
function orderRacks(
  racks: WorkerSlots[][],
  count: number,
): readonly WorkerSlots[] {
  const sized = racks.map(workers => ({
    workers,
    slots: sumSlots(workers),
  }));
  sized.sort((a, b) => a.slots - b.slots);
  const smallestFit = sized.find(rack => rack.slots >= count);
  const order = smallestFit === undefined ? sized.reverse() : [smallestFit];
  return order.flatMap(rack => rack.workers);
}

function sumSlots(workers: readonly WorkerSlots[]): number {
  return workers.reduce((sum, worker) => sum + worker.slots, 0);
}

function takeSlots(
  workers: readonly WorkerSlots[],
  count: number,
): readonly WorkerState[] {
  const chosen: WorkerState[] = [];
  for (const {worker, slots} of workers) {
    const taken = Math.min(slots, count - chosen.length);
    for (let i = 0; i < taken; i += 1) chosen.push(worker);
    if (chosen.length === count) return chosen;
  }
  return [];
}

/** Counts the tasks of a request that a worker can take now. */
function countSlots(worker: WorkerState, request: PlacementRequest): number {
  if (!isSchedulable(worker)) return 0;
  const slots = countFits(request.size, roomOn(worker, request));
  return worker.isOnProbation ? Math.min(1, slots) : slots;
}

function hasRoom(worker: WorkerState, request: PlacementRequest): boolean {
  if (!fitsIn(request.size, worker.free)) return false;
  if (isZeroAmount(worker.held)) return true;
  return fitsIn(request.size, roomOn(worker, request));
}

/**
 * What a worker has free for a request, without room that is held for others.
 * An urgent request, or one that ends before the held room is needed, may also
 * use room held for work that is not urgent.
 *
 * @example
 * const slots = countFits(request.size, roomOn(worker, request));
 */
export function roomOn(
  worker: WorkerState,
  request: PlacementRequest,
): Resources {
  const ignoresHolds = request.isUrgent || request.endMs <= worker.firstHoldMs;
  const held = ignoresHolds ? worker.heldUrgent : worker.held;
  const usableHeld = request.usableHeld.get(worker) ?? NO_RESOURCES;
  return {
    cpuMilli: subtractHeldAmount(
      worker.free.cpuMilli,
      held.cpuMilli - usableHeld.cpuMilli,
    ),
    memMb: subtractHeldAmount(worker.free.memMb, held.memMb - usableHeld.memMb),
    accel: subtractHeldAmount(worker.free.accel, held.accel - usableHeld.accel),
    slots: subtractHeldAmount(worker.free.slots, held.slots - usableHeld.slots),
  };
}

/** Subtracts held room; the result is negative only if `free` was. */
function subtractHeldAmount(free: number, held: number): number {
  if (held <= 0 || free <= 0) return free;
  return Math.max(0, free - held);
}

function commonCost(worker: WorkerState, request: PlacementRequest): number {
  const {capacity, workerId} = worker.worker;
  const isStranding = request.size.accel === 0 && capacity.accel > 0;
  const isAvoided = request.avoidedWorkers.has(workerId);
  return (
    (isStranding ? STRANDED_ACCELERATOR_COST : 0) +
    (isAvoided ? AVOIDED_WORKER_COST : 0)
  );
}

/** The fraction of the worker left free, summed over its resources. */
function freeFractionAfter(worker: WorkerState, size: Resources): number {
  const {capacity} = worker.worker;
  const {free} = worker;
  let sum = 0;
  if (capacity.cpuMilli > 0) {
    sum += (free.cpuMilli - size.cpuMilli) / capacity.cpuMilli;
  }
  if (capacity.memMb > 0) sum += (free.memMb - size.memMb) / capacity.memMb;
  if (capacity.accel > 0) sum += (free.accel - size.accel) / capacity.accel;
  return sum;
}

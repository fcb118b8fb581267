/** How a task's workers are chosen; each kind of work has its own way. */
import {fitsIn, NO_RESOURCES, type Resources} from '@dragonflyward/common';
import {countFits, isNothing} from './amounts.js';
import {rackKey, workerKey} from './cell.js';
import {isUsable, type JobState, type WorkerState} from './state.js';

/** Tasks of one job that look for room. */
export interface PlacementAsk {
  readonly state: JobState;
  /** What each task reserves. */
  readonly size: Resources;
  /** How many tasks need room at once. */
  readonly count: number;
  readonly isUrgent: boolean;
  /** When the tasks are expected to have ended. */
  readonly endMs: number;
  /** What is held for this job, by worker. */
  readonly own: ReadonlyMap<WorkerState, Resources>;
  /** Workers on which the job failed before. */
  readonly avoided: ReadonlySet<string>;
}

/** Chooses a worker for each task that is asked for. */
export abstract class PlacementPolicy {
  /** A worker for each task, or none where they do not all fit. */
  abstract choose(
    workers: Iterable<WorkerState>,
    ask: PlacementAsk,
  ): readonly WorkerState[];
}

/** Chooses one worker at a time by the least cost. */
abstract class ScoredPolicy extends PlacementPolicy {
  override choose(
    workers: Iterable<WorkerState>,
    ask: PlacementAsk,
  ): readonly WorkerState[] {
    let best: WorkerState | undefined;
    let bestCost = Infinity;
    for (const worker of workers) {
      if (!isUsable(worker) || !hasRoom(worker, ask)) continue;
      const cost = this.cost(worker, ask) + commonCost(worker, ask);
      if (cost >= bestCost) continue;
      best = worker;
      bestCost = cost;
    }
    return best === undefined ? [] : [best];
  }

  protected abstract cost(worker: WorkerState, ask: PlacementAsk): number;
}

/** What it costs to use a worker with accelerators for other work. */
const STRANDED_COST = 10;
/** What it costs to use a worker on which the job failed before. */
const AVOIDED_COST = 1_000;
/** What it costs to add to a rack or worker that has tasks of the job. */
const SAME_RACK_COST = 100;
const SAME_WORKER_COST = 50;

/** Fills the fullest worker that still has room. */
export class PackPolicy extends ScoredPolicy {
  protected override cost(worker: WorkerState, ask: PlacementAsk): number {
    return leftover(worker, ask.size);
  }
}

/** Keeps the tasks of a job apart: over racks first, then over workers. */
export class SpreadPolicy extends ScoredPolicy {
  protected override cost(worker: WorkerState, ask: PlacementAsk): number {
    const {placeCounts} = ask.state;
    const {rack, workerId} = worker.worker;
    const inRack = placeCounts?.get(rackKey(rack)) ?? 0;
    const onWorker = placeCounts?.get(workerKey(workerId)) ?? 0;
    const apart = inRack * SAME_RACK_COST + onWorker * SAME_WORKER_COST;
    return apart + leftover(worker, ask.size);
  }
}

interface Room {
  readonly worker: WorkerState;
  readonly slots: number;
}

/** Places all tasks of a job at once, on as few racks as it can. */
export class GangPolicy extends PlacementPolicy {
  override choose(
    workers: Iterable<WorkerState>,
    ask: PlacementAsk,
  ): readonly WorkerState[] {
    const racks = new Map<string, Room[]>();
    for (const worker of workers) {
      const slots = countSlots(worker, ask);
      if (slots === 0) continue;
      const rooms = racks.get(worker.worker.rack) ?? [];
      rooms.push({worker, slots});
      racks.set(worker.worker.rack, rooms);
    }
    return takeRooms(orderRacks([...racks.values()], ask.count), ask.count);
  }
}

/** The smallest rack that holds all, or else the largest racks first. */
function orderRacks(racks: Room[][], count: number): readonly Room[] {
  const sized = racks.map(rooms => ({rooms, slots: sumSlots(rooms)}));
  sized.sort((a, b) => a.slots - b.slots);
  const whole = sized.find(rack => rack.slots >= count);
  const order = whole === undefined ? sized.reverse() : [whole];
  return order.flatMap(rack => rack.rooms);
}

function sumSlots(rooms: readonly Room[]): number {
  return rooms.reduce((sum, room) => sum + room.slots, 0);
}

function takeRooms(
  rooms: readonly Room[],
  count: number,
): readonly WorkerState[] {
  const chosen: WorkerState[] = [];
  for (const {worker, slots} of rooms) {
    const taken = Math.min(slots, count - chosen.length);
    for (let i = 0; i < taken; i += 1) chosen.push(worker);
    if (chosen.length === count) return chosen;
  }
  return [];
}

/** How many tasks of the ask the worker can take now. */
function countSlots(worker: WorkerState, ask: PlacementAsk): number {
  if (!isUsable(worker)) return 0;
  const slots = countFits(ask.size, roomOn(worker, ask));
  return worker.isOnProbation ? Math.min(1, slots) : slots;
}

function hasRoom(worker: WorkerState, ask: PlacementAsk): boolean {
  if (!fitsIn(ask.size, worker.free)) return false;
  if (isNothing(worker.held)) return true;
  return fitsIn(ask.size, roomOn(worker, ask));
}

/**
 * What a worker has free for an ask: without what is held for others, unless
 * the ask is urgent or ends before the held room is needed.
 *
 * @example
 * const slots = countFits(ask.size, roomOn(worker, ask));
 */
export function roomOn(worker: WorkerState, ask: PlacementAsk): Resources {
  const passesHolds = ask.isUrgent || ask.endMs <= worker.heldFromMs;
  const held = passesHolds ? worker.heldUrgent : worker.held;
  const own = ask.own.get(worker) ?? NO_RESOURCES;
  return {
    cpuMilli: without(worker.free.cpuMilli, held.cpuMilli - own.cpuMilli),
    memMb: without(worker.free.memMb, held.memMb - own.memMb),
    accel: without(worker.free.accel, held.accel - own.accel),
    slots: without(worker.free.slots, held.slots - own.slots),
  };
}

/** The free part less what is held; a hold never makes it negative. */
function without(free: number, held: number): number {
  if (held <= 0 || free <= 0) return free;
  return Math.max(0, free - held);
}

function commonCost(worker: WorkerState, ask: PlacementAsk): number {
  const {capacity, workerId} = worker.worker;
  const isStranding = ask.size.accel === 0 && capacity.accel > 0;
  const isAvoided = ask.avoided.has(workerId);
  return (isStranding ? STRANDED_COST : 0) + (isAvoided ? AVOIDED_COST : 0);
}

/** The part of the worker that stays free, summed over its resources. */
function leftover(worker: WorkerState, size: Resources): number {
  const {capacity} = worker.worker;
  const {free} = worker;
  let rest = 0;
  if (capacity.cpuMilli > 0) {
    rest += (free.cpuMilli - size.cpuMilli) / capacity.cpuMilli;
  }
  if (capacity.memMb > 0) rest += (free.memMb - size.memMb) / capacity.memMb;
  if (capacity.accel > 0) rest += (free.accel - size.accel) / capacity.accel;
  return rest;
}

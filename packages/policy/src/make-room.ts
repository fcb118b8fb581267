/** Chooses which running tasks to preempt to make room for others. */
import {
  addResources,
  fitsIn,
  subtractResources,
  type Resources,
} from '@dragonflyward/common';
import type {EngineCore} from './core.js';
import {Heap} from './heap.js';
import {estimateFreeResources, type Hold} from './holds.js';
import {
  isSchedulable,
  type JobState,
  type RunningTask,
  type WorkerState,
} from './state.js';

/** Cost of preempting a task relative to a batch task of a borrowing team. */
const NORMAL_COST_FACTOR = 8;
const SERVICE_COST_FACTOR = 4;
const WITHIN_SHARE_COST_FACTOR = 4;

/** Workers that a search looks at, plus one for each wanted candidate. */
const BASE_SEARCH_LIMIT = 128;
/** Candidates that a search collects, plus some for each task. */
const MIN_CANDIDATES = 8;
const CANDIDATES_PER_TASK = 2;

/** Tasks of a job that need room, and which tasks they may preempt. */
export interface RoomRequest {
  readonly state: JobState;
  readonly size: Resources;
  /** How many tasks need room. */
  readonly count: number;
  /** Whether the tasks need room all at once, as those of a gang do. */
  readonly isAllOrNothing: boolean;
  readonly isUrgent: boolean;
  readonly untilMs: number;
  readonly reason: string;
  mayPreempt(running: RunningTask): boolean;
}

/** Tasks to preempt on a worker to make room for one task. */
interface PreemptionCandidate {
  readonly worker: WorkerState;
  readonly victims: readonly RunningTask[];
  readonly cost: number;
}

/** Candidates for tasks of one size, the cheapest first. */
export type CandidateHeap = Heap<PreemptionCandidate>;

/**
 * Collects workers on which room can be made, until there are enough to choose
 * from. Each search starts at the worker where the last one ended.
 *
 * @example
 * const candidates = findCandidates(core, request);
 */
export function findCandidates(
  core: EngineCore,
  request: RoomRequest,
): CandidateHeap {
  const candidates = new Heap<PreemptionCandidate>((a, b) => a.cost - b.cost);
  const workers = core.workerTable.workerList;
  const wantedCandidates = request.count * CANDIDATES_PER_TASK + MIN_CANDIDATES;
  const maxSearched = Math.min(
    workers.length,
    BASE_SEARCH_LIMIT + wantedCandidates,
  );
  for (
    let i = 0;
    i < maxSearched && candidates.size < wantedCandidates;
    i += 1
  ) {
    const worker = workers[core.nextWorkerIndex % workers.length];
    core.nextWorkerIndex = (core.nextWorkerIndex + 1) % workers.length;
    const candidate = worker && findCandidateOn(core, worker, request);
    if (candidate !== undefined) candidates.push(candidate);
  }
  return candidates;
}

/**
 * Preempts the cheapest tasks that make room for a request, and holds that
 * room. The preemptions are added to the pending decisions.
 *
 * @example
 * const made = makeRoom(core, candidates, request);
 *
 * @returns for how many tasks there will be room
 */
export function makeRoom(
  core: EngineCore,
  candidates: CandidateHeap,
  request: RoomRequest,
): number {
  const stopped: RunningTask[] = [];
  const slots = new Map(core.holds.get(request.state.job.jobId)?.slots);
  let made = 0;
  while (made < request.count) {
    const candidate = takeCheapest(core, candidates, request);
    if (candidate === undefined) break;
    stopped.push(...markVictimsStopping(core, candidate.victims));
    slots.set(candidate.worker, (slots.get(candidate.worker) ?? 0) + 1);
    core.holds.add(newHold(core, request, slots));
    made += 1;
    const next = findCandidateOn(core, candidate.worker, request);
    if (next !== undefined) candidates.push(next);
  }
  if (request.isAllOrNothing && made < request.count) {
    revertPreemptions(core, request, stopped);
    return 0;
  }
  for (const running of stopped) queuePreemption(core, running, request.reason);
  return made;
}

/** The cheapest candidate, computed again as it may be out of date. */
function takeCheapest(
  core: EngineCore,
  candidates: CandidateHeap,
  request: RoomRequest,
): PreemptionCandidate | undefined {
  for (;;) {
    const candidate = candidates.pop();
    if (candidate === undefined) return undefined;
    const fresh = findCandidateOn(core, candidate.worker, request);
    if (fresh === undefined) continue;
    if (fresh.cost <= candidate.cost) return fresh;
    candidates.push(fresh);
  }
}

function newHold(
  core: EngineCore,
  request: RoomRequest,
  slots: ReadonlyMap<WorkerState, number>,
): Hold {
  return {
    state: request.state,
    size: request.size,
    isUrgent: request.isUrgent,
    fromMs: core.nowMs,
    untilMs: request.untilMs,
    slots: new Map(slots),
  };
}

/** The cheapest way to make room for one more task on a worker. */
function findCandidateOn(
  core: EngineCore,
  worker: WorkerState,
  request: RoomRequest,
): PreemptionCandidate | undefined {
  if (!isSchedulable(worker)) return undefined;
  if (!fitsIn(request.size, worker.worker.capacity)) return undefined;
  const victims: RunningTask[] = [];
  let room = estimateFreeResources(worker, request.isUrgent, core.nowMs);
  let teamRoom = computeTeamRoom(core, request);
  const isEnough = (): boolean =>
    fitsIn(request.size, room) && fitsIn(request.size, teamRoom);
  if (!isEnough()) {
    for (const running of sortPreemptibleByCost(worker, request)) {
      victims.push(running);
      room = addResources(room, running.task.size);
      teamRoom = addResources(teamRoom, computeTeamRoomFreed(running, request));
      if (isEnough()) break;
    }
  }
  if (!isEnough()) return undefined;
  for (const running of [...victims].reverse()) {
    const roomWithout = subtractResources(room, running.task.size);
    const teamRoomWithout = subtractResources(
      teamRoom,
      computeTeamRoomFreed(running, request),
    );
    if (!fitsIn(request.size, roomWithout)) continue;
    if (!fitsIn(request.size, teamRoomWithout)) continue;
    victims.splice(victims.indexOf(running), 1);
    room = roomWithout;
    teamRoom = teamRoomWithout;
  }
  const cost = victims.reduce(
    (sum, running) => sum + preemptionCost(running),
    0,
  );
  return {worker, victims, cost};
}

/** The team's allowance left once its stopping tasks have ended. */
function computeTeamRoom(core: EngineCore, request: RoomRequest): Resources {
  const {team, job} = request.state;
  const kept = subtractResources(team.used, team.stoppingResources);
  const held = core.holds.getHeldResources(job.jobId);
  let room = subtractResources(team.team.allowance, kept);
  for (const amount of held.values()) room = subtractResources(room, amount);
  return room;
}

/** What a task's end frees of the allowance of the requesting team. */
function computeTeamRoomFreed(
  running: RunningTask,
  request: RoomRequest,
): Resources {
  const isOwn = running.job.team === request.state.team;
  return isOwn
    ? running.task.size
    : subtractResources(request.size, request.size);
}

function sortPreemptibleByCost(
  worker: WorkerState,
  request: RoomRequest,
): readonly RunningTask[] {
  const preemptible: RunningTask[] = [];
  for (const task of worker.tasks) {
    if (!task.isStopping && request.mayPreempt(task)) preemptible.push(task);
  }
  return preemptible.sort((a, b) => preemptionCost(a) - preemptionCost(b));
}

/** The memory to checkpoint, for the whole gang, weighted by importance. */
function preemptionCost(running: RunningTask): number {
  const {job, queue} = running.job;
  const tasks = job.isGang ? running.job.running.size : 1;
  const priorityFactor = queue.priority === 'batch' ? 1 : NORMAL_COST_FACTOR;
  const serviceFactor = job.isService ? SERVICE_COST_FACTOR : 1;
  const {netShare, fairShare} = running.job.team;
  const shareFactor = netShare > fairShare ? 1 : WITHIN_SHARE_COST_FACTOR;
  const sizeMb = Math.max(1, running.task.size.memMb);
  return sizeMb * tasks * priorityFactor * serviceFactor * shareFactor;
}

/** Marks tasks as stopping, together with the rest of their gangs. */
function markVictimsStopping(
  core: EngineCore,
  victims: readonly RunningTask[],
): readonly RunningTask[] {
  const stopped: RunningTask[] = [];
  for (const victim of victims) {
    const {job, running} = victim.job;
    const gangOrVictim = job.isGang ? [...running.values()] : [victim];
    for (const task of gangOrVictim) {
      if (task.isStopping) continue;
      core.workerTable.markStopping(task, core.nowMs);
      stopped.push(task);
    }
  }
  return stopped;
}

function revertPreemptions(
  core: EngineCore,
  request: RoomRequest,
  stopped: readonly RunningTask[],
): void {
  core.holds.remove(request.state.job.jobId);
  for (const running of stopped) core.workerTable.unmarkStopping(running);
}

/**
 * Adds the preemption of a task to the pending decisions.
 *
 * @example
 * queuePreemption(core, running, 'urgent work of team a needs the room');
 */
export function queuePreemption(
  core: EngineCore,
  running: RunningTask,
  reason: string,
): void {
  const {taskId, workerId} = running.task;
  core.pendingDecisions.push({kind: 'preempt', taskId, workerId, reason});
}

/** The default engine: fair shares, priorities, gangs and team limits. */
import {
  newCore,
  findUnplaceableReason,
  getQueue,
  addRunningTask,
} from './core.js';
import type {EngineCore, FairShareOptions} from './core.js';
import {
  PlacementEngine,
  type Decision,
  type PlacedTask,
  type PlacedTaskEnd,
  type PolicyJob,
  type PolicyQueue,
  type PolicyTeam,
  type PolicyWorker,
  type TeamDemand,
  type UsageSample,
} from './engine.js';
import {recordUsage} from './resize-reservations.js';
import {decideAll} from './decide.js';
import {newJobState, type JobState} from './state.js';
import {enqueueOrSetAside, recordTaskEnd} from './task-ends.js';
import {dequeue, enqueue} from './waiting-list.js';

/** Places jobs by weighted dominant resource fairness. */
export class FairShareEngine extends PlacementEngine {
  private readonly core: EngineCore;

  constructor(options: FairShareOptions = {}) {
    super();
    this.core = newCore(options);
  }

  override setQueues(queues: readonly PolicyQueue[]): void {
    this.core.queues.clear();
    for (const queue of queues) this.core.queues.set(queue.queue, queue);
    for (const state of this.core.jobs.values()) this.refreshQueue(state);
  }

  override setTeams(teams: readonly PolicyTeam[]): void {
    this.core.teams.setTeams(teams);
  }

  override setWorker(worker: PolicyWorker): void {
    this.core.workerTable.setWorker(worker);
  }

  override removeWorker(workerId: string): void {
    const state = this.core.workerTable.workers.get(workerId);
    if (state === undefined) return;
    this.core.holds.removeWorker(state);
    this.core.health.removeWorker(state);
    for (const {job} of this.core.workerTable.removeWorker(workerId)) {
      this.removeIfIdle(job);
    }
  }

  override findUnplaceableReason(job: PolicyJob): string {
    return findUnplaceableReason(this.core, job);
  }

  override submit(job: PolicyJob): void {
    const state = this.getOrAddJob(job);
    dequeue(this.core, state);
    this.updateJob(state, job);
    for (const index of job.taskIndexes) {
      if (!state.running.has(index)) state.pending.add(index);
    }
    enqueueOrSetAside(this.core, state);
  }

  override cancel(jobId: string): readonly PlacedTask[] {
    const state = this.core.jobs.get(jobId);
    if (state === undefined) return [];
    dequeue(this.core, state);
    this.core.holds.remove(jobId);
    state.pending.clear();
    const placed = [...state.running.values()].map(running => running.task);
    this.removeIfIdle(state);
    return placed;
  }

  override adopt(task: PlacedTask): void {
    if (this.core.workerTable.tasks.has(task.taskId)) return;
    const state =
      this.core.jobs.get(task.jobId) ?? this.addPlaceholderJob(task);
    const isWaiting = state.waitClass !== null;
    dequeue(this.core, state);
    state.pending.delete(task.taskIndex);
    if (isWaiting) enqueue(this.core, state);
    addRunningTask(this.core, state, task);
  }

  override ended(taskId: string, end: PlacedTaskEnd, nowMs: number): void {
    const running = this.core.workerTable.tasks.get(taskId);
    if (running === undefined) return;
    this.core.nowMs = Math.max(this.core.nowMs, nowMs);
    this.core.workerTable.release(running);
    recordTaskEnd(this.core, running, end);
    this.requeueGang(running.job);
    this.removeIfIdle(running.job);
  }

  override recordUsage(samples: readonly UsageSample[], nowMs: number): void {
    this.core.nowMs = Math.max(this.core.nowMs, nowMs);
    recordUsage(this.core, samples);
  }

  override *decide(nowMs: number): Generator<Decision> {
    this.core.nowMs = Math.max(this.core.nowMs, nowMs);
    yield* decideAll(this.core);
  }

  override explain(jobId: string): string {
    const state = this.core.jobs.get(jobId);
    if (state === undefined) return 'no task of it waits or runs here';
    const {waitClass, pending, running, setAsideReason} = state;
    const workers = [...running.values()].map(({task}) => task.workerId);
    const runs = `${running.size} placed (${workers.slice(0, 8).join(', ')})`;
    if (setAsideReason !== '') return `set aside: ${setAsideReason}; ${runs}`;
    if (waitClass === null) return runs;
    const obstacle = findUnplaceableReason(this.core, state.job);
    const reason = obstacle === '' ? waitClass.waitReason : obstacle;
    return `${pending.size} waiting: ${reason}; ${runs}`;
  }

  override getDemand(): readonly TeamDemand[] {
    return [...this.core.teams.values()].map(team => ({
      team: team.team.team,
      running: team.used,
      waiting: team.waitingResources,
    }));
  }

  override countWaitingTasks(): number {
    return this.core.waitingTasks;
  }

  private getOrAddJob(job: PolicyJob): JobState {
    const known = this.core.jobs.get(job.jobId);
    if (known !== undefined) return known;
    const team = this.core.teams.get(job.team);
    const state = newJobState(job, getQueue(this.core, job.queue), team);
    this.core.jobs.set(job.jobId, state);
    return state;
  }

  /** Adds a placeholder for a job of which only a running task is known. */
  private addPlaceholderJob(task: PlacedTask): JobState {
    return this.getOrAddJob({
      jobId: task.jobId,
      team: '',
      queue: '',
      taskIndexes: [],
      isGang: false,
      isService: false,
      isIdempotent: false,
      size: task.size,
      runMs: 0,
      acceptedMs: this.core.nowMs,
    });
  }

  /** Replaces the description of a job by that of a later submission. */
  private updateJob(state: JobState, job: PolicyJob): void {
    const team = this.core.teams.get(job.team);
    state.job = job;
    state.queue = getQueue(this.core, job.queue);
    this.core.workerTable.countPlaces(state);
    if (state.team === team) return;
    for (const {task, isUrgent} of state.running.values()) {
      this.core.teams.release(state.team, task.size, isUrgent);
      this.core.teams.charge(team, task.size, isUrgent);
    }
    state.team = team;
  }

  private refreshQueue(state: JobState): void {
    const queue = getQueue(this.core, state.job.queue);
    const {priority, policy} = state.queue;
    if (queue.priority === priority && queue.policy === policy) return;
    const isWaiting = state.waitClass !== null;
    dequeue(this.core, state);
    state.queue = queue;
    this.core.workerTable.countPlaces(state);
    if (isWaiting) enqueue(this.core, state);
  }

  /** Queues the rest of a gang once its last stopping task has ended. */
  private requeueGang(state: JobState): void {
    if (!state.job.isGang || state.waitClass !== null) return;
    if (state.setAsideReason === '') enqueueOrSetAside(this.core, state);
  }

  private removeIfIdle(state: JobState): void {
    if (state.pending.size > 0 || state.running.size > 0) return;
    this.core.holds.remove(state.job.jobId);
    this.core.jobs.delete(state.job.jobId);
  }
}

/** A baseline engine: first come, first served, first fit. */
import {
  addResources,
  fitsIn,
  NO_RESOURCES,
  scaleResources,
  subtractResources,
  type Resources,
} from '@dragonflyward/common';
import {
  PlacementEngine,
  type Decision,
  type PlacedTask,
  type PolicyJob,
  type PolicyTeam,
  type PolicyWorker,
  type TeamDemand,
} from './engine.js';

interface WaitingJob {
  readonly job: PolicyJob;
  readonly taskIndexes: number[];
}

/** Places jobs first come, first served; serves as a baseline. */
export class FirstFitEngine extends PlacementEngine {
  private readonly workers = new Map<string, PolicyWorker>();
  private readonly used = new Map<string, Resources>();
  private readonly teams = new Map<string, PolicyTeam>();
  private readonly teamUsed = new Map<string, Resources>();
  private readonly waiting = new Map<string, WaitingJob>();
  private readonly placed = new Map<string, PlacedTask>();
  private readonly teamOfJob = new Map<string, string>();
  private nextTask = 1;

  override setQueues(): void {
    // This engine ignores queues.
  }

  override setTeams(teams: readonly PolicyTeam[]): void {
    this.teams.clear();
    for (const team of teams) this.teams.set(team.team, team);
  }

  override setWorker(worker: PolicyWorker): void {
    this.workers.set(worker.workerId, worker);
  }

  override removeWorker(workerId: string): void {
    this.workers.delete(workerId);
  }

  override findUnplaceableReason(job: PolicyJob): string {
    for (const worker of this.workers.values()) {
      if (fitsIn(job.size, worker.capacity)) return '';
    }
    return 'no worker is large enough';
  }

  override submit(job: PolicyJob): void {
    this.teamOfJob.set(job.jobId, job.team);
    const known = this.waiting.get(job.jobId)?.taskIndexes ?? [];
    const taskIndexes = [...new Set([...known, ...job.taskIndexes])];
    this.waiting.set(job.jobId, {job, taskIndexes});
  }

  override cancel(jobId: string): readonly PlacedTask[] {
    this.waiting.delete(jobId);
    return [...this.placed.values()].filter(task => task.jobId === jobId);
  }

  override adopt(task: PlacedTask): void {
    this.charge(task);
  }

  override ended(taskId: string): void {
    const task = this.placed.get(taskId);
    if (task === undefined) return;
    this.placed.delete(taskId);
    const used = this.used.get(task.workerId) ?? NO_RESOURCES;
    this.used.set(task.workerId, subtractResources(used, task.size));
    const team = this.teamOfJob.get(task.jobId) ?? '';
    const teamUsed = this.teamUsed.get(team) ?? NO_RESOURCES;
    this.teamUsed.set(team, subtractResources(teamUsed, task.size));
  }

  override recordUsage(): void {
    // This engine reserves the declared size.
  }

  override *decide(): Generator<Decision> {
    for (const [jobId, entry] of this.waiting) {
      const tasks = this.place(entry);
      if (entry.job.isGang && tasks.length < entry.taskIndexes.length) {
        for (const task of tasks) this.ended(task.taskId);
        continue;
      }
      entry.taskIndexes.splice(0, tasks.length);
      if (entry.taskIndexes.length === 0) this.waiting.delete(jobId);
      for (const task of tasks) yield {kind: 'start', task};
    }
  }

  override explain(jobId: string): string {
    if (this.waiting.has(jobId)) return 'waits for a worker with room';
    return 'all tasks are placed';
  }

  override getDemand(): readonly TeamDemand[] {
    return [...this.teams.keys()].map(team => ({
      team,
      running: this.teamUsed.get(team) ?? NO_RESOURCES,
      waiting: this.waitingOf(team),
    }));
  }

  override countWaitingTasks(): number {
    let count = 0;
    for (const entry of this.waiting.values()) {
      count += entry.taskIndexes.length;
    }
    return count;
  }

  private waitingOf(team: string): Resources {
    let sum = NO_RESOURCES;
    for (const {job, taskIndexes} of this.waiting.values()) {
      if (job.team !== team) continue;
      sum = addResources(sum, scaleResources(job.size, taskIndexes.length));
    }
    return sum;
  }

  private place(entry: WaitingJob): readonly PlacedTask[] {
    const tasks: PlacedTask[] = [];
    for (const taskIndex of entry.taskIndexes) {
      const task = this.placeOne(entry.job, taskIndex);
      if (task === undefined) break;
      tasks.push(task);
    }
    return tasks;
  }

  private placeOne(job: PolicyJob, taskIndex: number): PlacedTask | undefined {
    const allowance = this.teams.get(job.team)?.allowance ?? NO_RESOURCES;
    const teamUsed = this.teamUsed.get(job.team) ?? NO_RESOURCES;
    if (!fitsIn(job.size, subtractResources(allowance, teamUsed))) return;
    for (const worker of this.workers.values()) {
      if (worker.condition !== 'ready') continue;
      const used = this.used.get(worker.workerId) ?? NO_RESOURCES;
      const free = subtractResources(worker.capacity, used);
      if (!fitsIn(job.size, free)) continue;
      return this.charge(this.makeTask(job, taskIndex, worker));
    }
    return undefined;
  }

  private makeTask(
    job: PolicyJob,
    taskIndex: number,
    worker: PolicyWorker,
  ): PlacedTask {
    const taskId = `${job.jobId}.${taskIndex}.${this.nextTask}`;
    this.nextTask += 1;
    const {workerId} = worker;
    return {taskId, jobId: job.jobId, taskIndex, workerId, size: job.size};
  }

  private charge(task: PlacedTask): PlacedTask {
    this.placed.set(task.taskId, task);
    const used = this.used.get(task.workerId) ?? NO_RESOURCES;
    this.used.set(task.workerId, addResources(used, task.size));
    const team = this.teamOfJob.get(task.jobId) ?? '';
    const teamUsed = this.teamUsed.get(team) ?? NO_RESOURCES;
    this.teamUsed.set(team, addResources(teamUsed, task.size));
    return task;
  }
}

/** Checks the decisions of an engine against its invariants. */
import {
  addResources,
  fitsIn,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from '@dragonflyward/common';
import type {Decision, PlacedTask, PolicyTeam, PolicyWorker} from './engine.js';

/** Tracks all reservations independently of the engine. */
export class DecisionAudit {
  /** One line for each broken invariant. */
  readonly breaches: string[] = [];
  readonly running = new Map<string, PlacedTask>();
  private readonly teamOfJob = new Map<string, string>();
  private readonly workers = new Map<string, PolicyWorker>();
  private readonly teams = new Map<string, PolicyTeam>();
  private readonly usageByWorker = new Map<string, Resources>();
  private readonly usageByTeam = new Map<string, Resources>();
  private readonly taskIdByKey = new Map<string, string>();

  setWorker(worker: PolicyWorker): void {
    this.workers.set(worker.workerId, worker);
  }

  removeWorker(workerId: string): void {
    this.workers.delete(workerId);
    for (const task of [...this.running.values()]) {
      if (task.workerId === workerId) this.recordEnd(task.taskId);
    }
  }

  setTeams(teams: readonly PolicyTeam[]): void {
    this.teams.clear();
    for (const team of teams) this.teams.set(team.team, team);
  }

  /** Sets the team whose limit a job counts against. */
  setJob(jobId: string, team: string): void {
    this.teamOfJob.set(jobId, team);
  }

  /** What the running tasks of a team reserve. */
  getTeamUsage(team: string): Resources {
    return this.usageByTeam.get(team) ?? NO_RESOURCES;
  }

  /** What is reserved on a worker. */
  usageOfWorker(workerId: string): Resources {
    return this.usageByWorker.get(workerId) ?? NO_RESOURCES;
  }

  /** Adds a task that was found running. */
  recordAdopted(task: PlacedTask): void {
    this.add(task);
  }

  /** Applies a decision and checks its result. */
  recordDecision(decision: Decision): void {
    if (decision.kind === 'start') this.recordStart(decision.task);
    if (decision.kind === 'resize') {
      this.recordResize(decision.taskId, decision.size);
    }
  }

  /** Releases the reservation of a task that no longer runs. */
  recordEnd(taskId: string): void {
    const task = this.running.get(taskId);
    if (task === undefined) return;
    this.running.delete(taskId);
    this.taskIdByKey.delete(taskKey(task));
    this.addUsage(task, subtractResources(NO_RESOURCES, task.size));
  }

  private recordStart(task: PlacedTask): void {
    const runningTaskId = this.taskIdByKey.get(taskKey(task));
    if (runningTaskId !== undefined) {
      this.breaches.push(`${task.taskId} starts while ${runningTaskId} runs`);
    }
    const condition = this.workers.get(task.workerId)?.condition ?? 'unknown';
    if (condition !== 'ready') {
      this.breaches.push(`${task.taskId} starts on a ${condition} worker`);
    }
    this.add(task);
    this.checkLimits(task);
  }

  private recordResize(taskId: string, size: Resources): void {
    const task = this.running.get(taskId);
    if (task === undefined) {
      this.breaches.push(`${taskId} is resized but does not run`);
      return;
    }
    const change = subtractResources(size, task.size);
    this.running.set(taskId, {...task, size});
    this.addUsage(task, change);
    if (!fitsIn(change, NO_RESOURCES)) this.checkLimits(task);
  }

  private add(task: PlacedTask): void {
    this.running.set(task.taskId, task);
    this.taskIdByKey.set(taskKey(task), task.taskId);
    this.addUsage(task, task.size);
  }

  private addUsage(task: PlacedTask, change: Resources): void {
    const {workerId} = task;
    const team = this.teamOfJob.get(task.jobId) ?? '';
    this.usageByWorker.set(
      workerId,
      addResources(this.usageOfWorker(workerId), change),
    );
    this.usageByTeam.set(team, addResources(this.getTeamUsage(team), change));
  }

  private checkLimits(task: PlacedTask): void {
    const capacity = this.workers.get(task.workerId)?.capacity ?? NO_RESOURCES;
    if (!fitsIn(this.usageOfWorker(task.workerId), capacity)) {
      this.breaches.push(`${task.taskId} passes capacity: ${task.workerId}`);
    }
    const team = this.teamOfJob.get(task.jobId) ?? '';
    const allowance = this.teams.get(team)?.allowance ?? NO_RESOURCES;
    if (!fitsIn(this.getTeamUsage(team), allowance)) {
      this.breaches.push(`${task.taskId} passes the limit of team ${team}`);
    }
  }
}

/** Identifies a task of a job across its attempts. */
function taskKey(task: PlacedTask): string {
  return `${task.jobId}.${task.taskIndex}`;
}

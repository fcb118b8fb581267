/** Recounts what an engine decides, and notes each breach of a promise. */
import {
  addResources,
  fitsIn,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from '@dragonflyward/common';
import type {Decision, PlacedTask, PolicyTeam, PolicyWorker} from './engine.js';

/** A second account of all reservations, kept apart from the engine's own. */
export class DecisionAudit {
  /** What was breached, one line each. */
  readonly breaches: string[] = [];
  readonly running = new Map<string, PlacedTask>();
  private readonly teamOfJob = new Map<string, string>();
  private readonly workers = new Map<string, PolicyWorker>();
  private readonly teams = new Map<string, PolicyTeam>();
  private readonly workerUse = new Map<string, Resources>();
  private readonly teamUse = new Map<string, Resources>();
  private readonly places = new Map<string, string>();

  setWorker(worker: PolicyWorker): void {
    this.workers.set(worker.workerId, worker);
  }

  removeWorker(workerId: string): void {
    this.workers.delete(workerId);
    for (const task of [...this.running.values()]) {
      if (task.workerId === workerId) this.noteEnd(task.taskId);
    }
  }

  setTeams(teams: readonly PolicyTeam[]): void {
    this.teams.clear();
    for (const team of teams) this.teams.set(team.team, team);
  }

  /** Tells which team's limit a job counts against. */
  setJob(jobId: string, team: string): void {
    this.teamOfJob.set(jobId, team);
  }

  /** What a team has running. */
  useOf(team: string): Resources {
    return this.teamUse.get(team) ?? NO_RESOURCES;
  }

  /** What is reserved on a worker. */
  useOn(workerId: string): Resources {
    return this.workerUse.get(workerId) ?? NO_RESOURCES;
  }

  /** Counts a task that was found running. */
  noteAdopted(task: PlacedTask): void {
    this.add(task);
  }

  /** Counts a decision and checks what it leads to. */
  noteDecision(decision: Decision): void {
    if (decision.kind === 'start') this.noteStart(decision.task);
    if (decision.kind === 'resize') {
      this.noteResize(decision.taskId, decision.size);
    }
  }

  /** Counts that a task runs no more. */
  noteEnd(taskId: string): void {
    const task = this.running.get(taskId);
    if (task === undefined) return;
    this.running.delete(taskId);
    this.places.delete(placeOf(task));
    this.addUse(task, subtractResources(NO_RESOURCES, task.size));
  }

  private noteStart(task: PlacedTask): void {
    const former = this.places.get(placeOf(task));
    if (former !== undefined) {
      this.breaches.push(`${task.taskId} starts while ${former} runs`);
    }
    const condition = this.workers.get(task.workerId)?.condition ?? 'unknown';
    if (condition !== 'ready') {
      this.breaches.push(`${task.taskId} starts on a ${condition} worker`);
    }
    this.add(task);
    this.check(task);
  }

  private noteResize(taskId: string, size: Resources): void {
    const task = this.running.get(taskId);
    if (task === undefined) {
      this.breaches.push(`${taskId} is resized but does not run`);
      return;
    }
    const change = subtractResources(size, task.size);
    this.running.set(taskId, {...task, size});
    this.addUse(task, change);
    if (!fitsIn(change, NO_RESOURCES)) this.check(task);
  }

  private add(task: PlacedTask): void {
    this.running.set(task.taskId, task);
    this.places.set(placeOf(task), task.taskId);
    this.addUse(task, task.size);
  }

  private addUse(task: PlacedTask, change: Resources): void {
    const {workerId} = task;
    const team = this.teamOfJob.get(task.jobId) ?? '';
    this.workerUse.set(workerId, addResources(this.useOn(workerId), change));
    this.teamUse.set(team, addResources(this.useOf(team), change));
  }

  private check(task: PlacedTask): void {
    const capacity = this.workers.get(task.workerId)?.capacity ?? NO_RESOURCES;
    if (!fitsIn(this.useOn(task.workerId), capacity)) {
      this.breaches.push(`${task.taskId} passes capacity: ${task.workerId}`);
    }
    const team = this.teamOfJob.get(task.jobId) ?? '';
    const allowance = this.teams.get(team)?.allowance ?? NO_RESOURCES;
    if (!fitsIn(this.useOf(team), allowance)) {
      this.breaches.push(`${task.taskId} passes the limit of team ${team}`);
    }
  }
}

function placeOf(task: PlacedTask): string {
  return `${task.jobId}.${task.taskIndex}`;
}

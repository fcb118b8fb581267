/** A baseline engine: fair shares without backfill. */
import {
  FirstFitEngine,
  type Decision,
  type PlacedTaskEnd,
  type PolicyJob,
  type PolicyTeam,
  type TeamDemand,
} from '@dragonflyward/policy';

/**
 * Serves the team furthest below its share first. While that team's next job
 * finds no room, no other job starts.
 */
export class ShareOnlyEngine extends FirstFitEngine {
  private readonly queues = new Map<string, PolicyJob[]>();
  private readonly shares = new Map<string, number>();

  override setTeams(teams: readonly PolicyTeam[]): void {
    super.setTeams(teams);
    for (const team of teams) {
      this.shares.set(team.team, team.share * team.organisationShare);
    }
  }

  override submit(job: PolicyJob): void {
    const queue = this.queues.get(job.team) ?? [];
    queue.push(job);
    this.queues.set(job.team, queue);
  }

  override cancel(jobId: string) {
    for (const [team, queue] of this.queues) {
      this.queues.set(
        team,
        queue.filter(job => job.jobId !== jobId),
      );
    }
    return super.cancel(jobId);
  }

  override ended(taskId: string, end?: PlacedTaskEnd): void {
    super.ended(taskId);
    void end;
  }

  /** Submits one job at a time to first fit, until one finds no room. */
  override *decide(): Generator<Decision> {
    for (;;) {
      const team = this.nextTeam();
      const job = team === undefined ? undefined : this.queues.get(team)?.[0];
      if (team === undefined || job === undefined) return;
      super.submit(job);
      let started = 0;
      for (const decision of super.decide()) {
        started += 1;
        yield decision;
      }
      if (super.countWaitingTasks() === 0) {
        this.queues.get(team)?.shift();
        continue;
      }
      super.cancel(job.jobId);
      this.requeueRemainder(team, job, started);
      return;
    }
  }

  override getDemand(): readonly TeamDemand[] {
    return super.getDemand().map(({team, running}) => {
      let [cpuMilli, memMb, accel, slots] = [0, 0, 0, 0];
      for (const {size, taskIndexes} of this.queues.get(team) ?? []) {
        cpuMilli += size.cpuMilli * taskIndexes.length;
        memMb += size.memMb * taskIndexes.length;
        accel += size.accel * taskIndexes.length;
        slots += size.slots * taskIndexes.length;
      }
      return {team, running, waiting: {cpuMilli, memMb, accel, slots}};
    });
  }

  override countWaitingTasks(): number {
    let count = 0;
    for (const queue of this.queues.values()) {
      for (const job of queue) count += job.taskIndexes.length;
    }
    return count;
  }

  private requeueRemainder(
    team: string,
    job: PolicyJob,
    started: number,
  ): void {
    const taskIndexes = job.taskIndexes.slice(started);
    const remainder = {...job, taskIndexes};
    this.queues.get(team)?.splice(0, 1, remainder);
  }

  private nextTeam(): string | undefined {
    let best: string | undefined;
    let bestRatio = Infinity;
    for (const {team, running} of super.getDemand()) {
      if ((this.queues.get(team)?.length ?? 0) === 0) continue;
      const ratio = running.cpuMilli / (this.shares.get(team) ?? 1);
      if (ratio >= bestRatio) continue;
      best = team;
      bestRatio = ratio;
    }
    return best;
  }
}

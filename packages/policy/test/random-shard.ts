/** Random shards for the property tests, and the steps that befall them. */
import type {Resources} from '@dragonflyward/common';
import {
  DecisionAudit,
  type PlacedTask,
  type PlacedTaskEnd,
  type PlacementEngine,
  type PolicyJob,
  type PolicyTeam,
  type PolicyWorker,
  type WorkerCondition,
} from '@dragonflyward/policy';
import fc from 'fast-check';

export const FC_SEED = 20261204;

const TASKS_PER_TERM = 1_000_000;

const QUEUES = [
  {queue: 'quotes', priority: 'urgent', policy: 'pack'},
  {queue: 'shops', priority: 'normal', policy: 'spread'},
  {queue: 'renders', priority: 'batch', policy: 'pack'},
  {queue: 'kilns', priority: 'batch', policy: 'gang'},
] as const;

export interface JobPlan {
  readonly team: number;
  readonly queue: number;
  readonly tasks: number;
  readonly isGang: boolean;
  readonly isService: boolean;
  readonly isIdempotent: boolean;
  readonly size: Resources;
  readonly runMs: number;
}

export type Step =
  | {readonly kind: 'submit'; readonly job: JobPlan}
  | {readonly kind: 'wait'; readonly ms: number}
  | {readonly kind: 'decide'; readonly most: number}
  | {readonly kind: 'end'; readonly pick: number; readonly end: PlacedTaskEnd}
  | {readonly kind: 'cancel'; readonly pick: number}
  | {readonly kind: 'worker'; readonly pick: number; readonly to: number}
  | {readonly kind: 'limit'; readonly pick: number; readonly part: number}
  | {readonly kind: 'learn'; readonly factor: number}
  | {readonly kind: 'takeOver'};

export interface ShardPlan {
  readonly capacities: readonly Resources[];
  readonly teams: readonly PolicyTeam[];
  readonly steps: readonly Step[];
}

const CONDITIONS: readonly WorkerCondition[] = ['ready', 'silent', 'leaving'];

function sizes(cpu: number, mem: number, accel: number) {
  return fc.record({
    cpuMilli: fc.integer({min: 1, max: cpu}).map(n => n * 500),
    memMb: fc.integer({min: 1, max: mem}).map(n => n * 512),
    accel: fc.integer({min: 0, max: accel}),
    slots: fc.constant(0),
  });
}

const jobPlan: fc.Arbitrary<JobPlan> = fc.record({
  team: fc.nat(3),
  queue: fc.nat(QUEUES.length - 1),
  tasks: fc.integer({min: 1, max: 5}),
  isGang: fc.boolean(),
  isService: fc.boolean(),
  isIdempotent: fc.boolean(),
  size: sizes(8, 8, 1),
  runMs: fc.constantFrom(0, 500, 5_000, 60_000),
});

const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({kind: fc.constant('submit' as const), job: jobPlan}),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      ms: fc.constantFrom(10, 300, 4_000, 70_000),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant('decide' as const),
      most: fc.constantFrom(1, 1_000),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant('end' as const),
      pick: fc.nat(),
      end: fc.constantFrom<PlacedTaskEnd>('succeeded', 'failed', 'notRunning'),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('cancel' as const),
      pick: fc.nat(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('worker' as const),
      pick: fc.nat(),
      to: fc.nat(3),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('limit' as const),
      pick: fc.nat(),
      part: fc.integer({min: 0, max: 8}),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('learn' as const),
      factor: fc.constantFrom(0.1, 0.5, 1, 3, 10),
    }),
  },
  {weight: 1, arbitrary: fc.record({kind: fc.constant('takeOver' as const)})},
);

const ALLOWANCE = {cpuMilli: 1_000, memMb: 1_024, accel: 1, slots: 0};

function allowance(part: number): Resources {
  const {cpuMilli, memMb, accel} = ALLOWANCE;
  const scaled = {cpuMilli: cpuMilli * part, memMb: memMb * part};
  return {...scaled, accel: Math.floor((accel * part) / 2), slots: 0};
}

const teams: fc.Arbitrary<readonly PolicyTeam[]> = fc
  .array(
    fc.record({
      share: fc.integer({min: 1, max: 4}),
      part: fc.integer({min: 1, max: 16}),
    }),
    {minLength: 4, maxLength: 4},
  )
  .map(plans =>
    plans.map(({share, part}, i) => ({
      team: `team-${i}`,
      organisation: `org-${i % 2}`,
      share,
      organisationShare: 1 + (i % 2),
      allowance: allowance(part),
    })),
  );

export const shardPlan: fc.Arbitrary<ShardPlan> = fc.record({
  capacities: fc.array(sizes(16, 16, 2), {minLength: 1, maxLength: 5}),
  teams,
  steps: fc.array(step, {minLength: 5, maxLength: 80, size: 'max'}),
});

/** Plays a plan on an engine and notes what is breached. */
export class RandomShard {
  readonly audit = new DecisionAudit();
  readonly breaches: string[] = [];
  private engine: PlacementEngine;
  private readonly jobs = new Map<string, PolicyJob>();
  private readonly pending = new Map<string, Set<number>>();
  private readonly workers = new Map<string, PolicyWorker>();
  private readonly known: readonly PolicyWorker[];
  private teams: readonly PolicyTeam[];
  private nowMs = 0;
  private terms = 0;
  /** Whether decisions are counted that were not asked for yet. */
  private isCut = false;
  private readonly taskIds = new Set<string>();
  private readonly resubmitted = new Set<string>();

  constructor(
    private readonly newEngine: (firstTaskNumber: number) => PlacementEngine,
    private readonly plan: ShardPlan,
  ) {
    this.teams = plan.teams;
    plan.capacities.forEach((capacity, i) => {
      const workerId = `w${i}`;
      const rack = `r${i >> 1}`;
      this.workers.set(workerId, {
        workerId,
        rack,
        capacity,
        condition: 'ready',
      });
    });
    this.known = [...this.workers.values()];
    this.engine = this.start(1);
    this.audit.setTeams(this.teams);
    for (const worker of this.workers.values()) this.audit.setWorker(worker);
  }

  play(): void {
    for (const next of this.plan.steps) {
      this.take(next);
      this.compareUse();
    }
    this.endAll();
  }

  private start(firstTaskNumber: number): PlacementEngine {
    const engine = this.newEngine(firstTaskNumber);
    engine.setQueues(QUEUES);
    engine.setTeams(this.teams);
    for (const worker of this.workers.values()) engine.setWorker(worker);
    return engine;
  }

  private take(next: Step): void {
    switch (next.kind) {
      case 'submit':
        return this.submit(next.job);
      case 'wait':
        this.nowMs += next.ms;
        return;
      case 'decide':
        return this.decide(next.most);
      case 'end':
        return this.end(next.pick, next.end);
      case 'cancel':
        return this.cancel(next.pick);
      case 'worker':
        return this.changeWorker(next.pick, next.to);
      case 'limit':
        return this.changeLimit(next.pick, next.part);
      case 'learn':
        return this.learn(next.factor);
      case 'takeOver':
        return this.takeOver();
    }
  }

  private submit(plan: JobPlan): void {
    const jobId = `j${this.jobs.size}`;
    const taskIndexes = Array.from({length: plan.tasks}, (_, i) => i);
    const queue = QUEUES[plan.queue]?.queue ?? '';
    const team = `team-${plan.team}`;
    const job = {
      ...plan,
      jobId,
      team,
      queue,
      taskIndexes,
      acceptedMs: this.nowMs,
    };
    this.jobs.set(jobId, job);
    this.pending.set(jobId, new Set(taskIndexes));
    this.audit.setJob(jobId, team);
    this.engine.findObstacle(job);
    this.engine.submit(job);
    this.engine.explain(jobId);
  }

  private decide(most: number): void {
    let count = 0;
    for (const decision of this.engine.decide(this.nowMs)) {
      this.audit.noteDecision(decision);
      if (decision.kind === 'start') this.noteStart(decision.task);
      count += 1;
      if (count < most) continue;
      this.isCut = true;
      return;
    }
    this.isCut = false;
    this.checkGangs();
  }

  private noteStart(task: PlacedTask): void {
    if (this.taskIds.has(task.taskId)) {
      this.breaches.push(`the id ${task.taskId} is given twice`);
    }
    this.taskIds.add(task.taskId);
    if (this.pending.get(task.jobId)?.delete(task.taskIndex) === true) return;
    this.breaches.push(`${task.taskId} starts but does not wait`);
  }

  /** A change between the starts of a gang may keep the rest from starting. */
  private excuseGangs(): void {
    if (!this.isCut) return;
    for (const jobId of this.jobs.keys()) this.resubmitted.add(jobId);
  }

  /** Of a gang's waiting tasks, a whole decision starts all or none. */
  private checkGangs(): void {
    for (const {task} of this.started()) {
      const job = this.jobs.get(task.jobId);
      const rest = this.pending.get(task.jobId)?.size ?? 0;
      if (job?.isGang !== true || rest === 0) continue;
      if (this.resubmitted.has(task.jobId)) continue;
      this.breaches.push(`gang ${task.jobId} runs without ${rest} tasks`);
    }
  }

  private *started(): Generator<{readonly task: PlacedTask}> {
    for (const task of this.audit.running.values()) yield {task};
  }

  private end(pick: number, end: PlacedTaskEnd): void {
    const tasks = [...this.audit.running.values()];
    const task = tasks[pick % Math.max(1, tasks.length)];
    if (task === undefined) return;
    this.audit.noteEnd(task.taskId);
    this.engine.ended(task.taskId, end, this.nowMs);
    const job = this.jobs.get(task.jobId);
    if (end === 'succeeded' || job === undefined) return;
    this.resubmitted.add(task.jobId);
    this.pending.get(task.jobId)?.add(task.taskIndex);
    this.engine.submit({...job, taskIndexes: [task.taskIndex]});
  }

  private cancel(pick: number): void {
    const ids = [...this.jobs.keys()];
    const jobId = ids[pick % Math.max(1, ids.length)];
    if (jobId === undefined) return;
    this.pending.get(jobId)?.clear();
    for (const {taskId} of this.engine.cancel(jobId)) {
      this.audit.noteEnd(taskId);
      this.engine.ended(taskId, 'notRunning', this.nowMs);
    }
  }

  private changeWorker(pick: number, to: number): void {
    this.excuseGangs();
    const known = this.known[pick % this.known.length];
    if (known === undefined) return;
    const worker = this.workers.get(known.workerId) ?? known;
    const condition = CONDITIONS[to];
    if (condition === undefined) {
      this.dropTasks(worker.workerId);
      this.workers.delete(worker.workerId);
      this.engine.removeWorker(worker.workerId);
      this.audit.removeWorker(worker.workerId);
      return;
    }
    const changed = {...worker, condition};
    this.workers.set(worker.workerId, changed);
    this.engine.setWorker(changed);
    this.audit.setWorker(changed);
  }

  /** The owner resubmits what ran on a worker that is gone. */
  private dropTasks(workerId: string): void {
    for (const task of [...this.audit.running.values()]) {
      if (task.workerId !== workerId) continue;
      this.audit.noteEnd(task.taskId);
      this.engine.ended(task.taskId, 'notRunning', this.nowMs);
    }
  }

  private changeLimit(pick: number, part: number): void {
    this.excuseGangs();
    const changed = pick % this.teams.length;
    this.teams = this.teams.map((team, i) =>
      i === changed ? {...team, allowance: allowance(part)} : team,
    );
    this.engine.setTeams(this.teams);
    this.audit.setTeams(this.teams);
  }

  private learn(factor: number): void {
    const samples = [...this.audit.running.values()].map(task => {
      const size = this.jobs.get(task.jobId)?.size ?? task.size;
      const {cpuMilli, memMb} = size;
      return {
        taskId: task.taskId,
        cpuMilli: cpuMilli * factor,
        memMb: memMb * factor,
      };
    });
    this.engine.learn(samples, this.nowMs);
  }

  /** A new owner adopts what runs, before or after it knows the jobs. */
  private takeOver(): void {
    this.excuseGangs();
    this.terms += 1;
    this.engine = this.start(this.terms * TASKS_PER_TERM);
    this.isCut = false;
    const tasks = [...this.audit.running.values()];
    const early = tasks.filter((_, i) => i % 2 === 0);
    for (const task of early) this.engine.adopt(task);
    for (const job of this.jobs.values()) {
      const rest = [...(this.pending.get(job.jobId) ?? [])];
      this.engine.submit({...job, taskIndexes: rest});
    }
    for (const task of tasks) this.engine.adopt(task);
  }

  private compareUse(): void {
    if (this.isCut) return;
    for (const {team, running} of this.engine.demand()) {
      const own = this.audit.useOf(team);
      const isSame =
        running.cpuMilli === own.cpuMilli && running.memMb === own.memMb;
      if (!isSame) this.breaches.push(`the use of ${team} is miscounted`);
    }
  }

  private endAll(): void {
    for (const {taskId} of [...this.audit.running.values()]) {
      this.audit.noteEnd(taskId);
      this.engine.ended(taskId, 'succeeded', this.nowMs);
    }
    this.decide(Infinity);
    this.compareUse();
  }
}

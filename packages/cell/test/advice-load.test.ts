/**
 * Simulates a load under which the advice service is the bottleneck: gangs that
 * wait for room in one service, and work of another service that has room.
 * Without a limit, ticket requests of the gangs would starve the other work.
 */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  TicketRequester,
  CellState,
  decideRound,
  type AdviceChannel,
  type ExecutorInfo,
  type Queue,
  type StepSpec,
  type TaskState,
} from '@dragonflyward/cell';
import {CONFIG, QUEUE, STEP} from './rig.js';

/** Time between two scheduling rounds, in ms. */
const ROUND_MS = 10;
/** Number of VMs through which the advice service is called. */
const VM_COUNT = 9;
/** One executor in three may run a gang step, one in two a batch step. */
const GANG_ALLOWED_OF = 3;
const BATCH_ALLOWED_OF = 2;

const GANG_ADVICE = {decisionMs: 560, perExecutorMs: 8, validityMs: 1500};
const BATCH_ADVICE = {decisionMs: 170, perExecutorMs: 2.4, validityMs: 1500};

const GANGS: Queue = {
  ...QUEUE,
  name: 'gangs',
  service: 'large',
  priority: 1,
  advice: GANG_ADVICE,
};
const BATCH: Queue = {
  ...QUEUE,
  name: 'batch',
  service: 'small',
  priority: 2,
  stretch: 4,
  objectiveMs: 3000,
  advice: BATCH_ADVICE,
};
const GANG: StepSpec = {
  ...STEP,
  isGang: true,
  count: 2,
  estimatedMs: 4500,
  size: {cpuMilli: 62_000, memMb: 160_000, accel: 8, slots: 0},
};
const WIDE: StepSpec = {
  ...STEP,
  count: 10,
  estimatedMs: 3600,
  size: {cpuMilli: 3300, memMb: 9400, accel: 0, slots: 0},
};

interface ScheduledEnd {
  readonly atMs: number;
  readonly task: TaskState;
}

/** Scheduling rounds and ticket requests on a manual clock. */
class LoadSimulation {
  nowMs = 1000;
  readonly state: CellState;
  private readonly ticketRequester: TicketRequester;
  private scheduledEnds: ScheduledEnd[] = [];
  private pendingAnswers: {
    readonly atMs: number;
    readonly answer: () => void;
  }[] = [];
  private endNumber = 0;

  constructor() {
    this.state = new CellState(1, {
      onProgress: () => undefined,
      onPhaseChange: () => undefined,
      onStop: () => undefined,
      onOrphan: () => undefined,
    });
    this.state.setConfig({...CONFIG, queues: [GANGS, BATCH]});
    const channels = [...Array(VM_COUNT).keys()].map(i => this.newChannel(i));
    this.ticketRequester = new TicketRequester(
      () => channels,
      () => this.nowMs,
      () => undefined,
    );
  }

  addExecutors(service: string, count: number, cores: number): void {
    for (let i = 0; i < count; i += 1) {
      const info: ExecutorInfo = {
        id: `${service}-${i}`,
        service,
        ip: '',
        port: 1,
        domain: 'd',
        rack: 'r',
        labels: [],
        capacity: {
          cpuMilli: cores * 1000,
          memMb: cores * 4000,
          accel: 8,
          slots: 0,
        },
        isDraining: false,
        drainRemainingMs: 0,
        bornMs: 1,
      };
      this.state.setExecutor(info).isReached = true;
    }
  }

  addJob(id: string, queue: Queue, step: StepSpec): void {
    const repetition = {times: 1, firstMs: 0, intervalMs: 0};
    const spec = {payload: '', steps: [step], repetition};
    const acceptedMs = this.nowMs;
    this.state.addJob({id, queue, organisation: '', spec, acceptedMs});
  }

  async runUntil(endMs: number): Promise<void> {
    while (this.nowMs < endMs) {
      this.nowMs += ROUND_MS;
      this.endDueTasks();
      this.sendDueAnswers();
      // Answers are processed in promise callbacks.
      await Promise.resolve();
      await Promise.resolve();
      this.decide();
    }
  }

  completed(prefix: string): number {
    const jobs = [...this.state.jobs.values()];
    return jobs.filter(
      ({id, phase}) => id.startsWith(prefix) && phase === 'completed',
    ).length;
  }

  private newChannel(index: number): AdviceChannel {
    return {
      vm: `vm-${index}`,
      isInOwnerDomain: index === 0,
      ask: (step, executorIds) =>
        new Promise(resolve => {
          const isGang = step.startsWith('gang');
          const {decisionMs, perExecutorMs} = isGang
            ? GANG_ADVICE
            : BATCH_ADVICE;
          const of = isGang ? GANG_ALLOWED_OF : BATCH_ALLOWED_OF;
          const allowed = executorIds.filter(id => isPermitted(step, id, of));
          const tookMs = decisionMs + perExecutorMs * executorIds.length;
          const answer = (): void =>
            resolve(allowed.map(executorId => ({executorId, ticket: 't'})));
          this.pendingAnswers.push({atMs: this.nowMs + tookMs, answer});
        }),
    };
  }

  private sendDueAnswers(): void {
    const due = this.pendingAnswers.filter(({atMs}) => atMs <= this.nowMs);
    this.pendingAnswers = this.pendingAnswers.filter(
      ({atMs}) => atMs > this.nowMs,
    );
    for (const {answer} of due) answer();
  }

  private endDueTasks(): void {
    const due = this.scheduledEnds.filter(({atMs}) => atMs <= this.nowMs);
    this.scheduledEnds = this.scheduledEnds.filter(
      ({atMs}) => atMs > this.nowMs,
    );
    for (const {task} of due) {
      if (task.executor === null) continue;
      this.endNumber += 1;
      const {step, index, run} = task;
      const {job} = step.occurrence;
      const end = {
        number: this.endNumber,
        task: `${job.id}.0.${step.index}.${index}`,
        run,
        how: 'done' as const,
        checkpoint: '',
      };
      this.state.recordEnd(task.executor, end, this.nowMs);
    }
  }

  private decide(): void {
    const context = {
      nowMs: this.nowMs,
      wallMs: this.nowMs,
      mayHaveUnknownRuns: () => false,
    };
    for (const decision of decideRound(this.state, context)) {
      if (decision.kind === 'advise') {
        this.ticketRequester.request(decision);
        continue;
      }
      for (const task of decision.tasks) {
        task.phase = 'running';
        const atMs = this.nowMs + task.step.spec.estimatedMs;
        this.scheduledEnds.push({atMs, task});
      }
    }
  }
}

/** Whether a step may run on an executor; the answer never changes. */
function isPermitted(step: string, executorId: string, of: number): boolean {
  let hash = 7;
  for (const char of step + executorId) {
    hash = (hash * 31 + char.charCodeAt(0)) % 1_000_003;
  }
  return hash % of === 0;
}

const load = suite('advice load');

load('gangs without room do not keep other work from its tickets', async () => {
  const rig = new LoadSimulation();
  rig.addExecutors('large', 10, 128);
  rig.addExecutors('small', 24, 16);
  for (let i = 0; i < 40; i += 1) rig.addJob(`gang${i}`, GANGS, GANG);
  for (let i = 0; i < 30; i += 1) rig.addJob(`batch${i}`, BATCH, WIDE);
  await rig.runUntil(31_000);
  // There is room for about 96 of the 300 batch tasks: four waves of 3.6 s.
  assert.is(rig.completed('batch'), 30);
  // There is room for five gangs at a time, each on a third of the executors:
  // two at a time give 12 in 30 s.
  assert.ok(rig.completed('gang') >= 12, `${rig.completed('gang')} gangs`);
});

load.run();

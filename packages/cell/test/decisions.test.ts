/** Scheduling rounds without I/O: order, placement, preemption, tickets. */
import {ManualClock} from '@dragonflyward/common';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  CellState,
  ClosedDomains,
  coldCost,
  decideRound,
  RunTimeEstimates,
  TicketBudget,
  RuntimeMonitor,
  stateLines,
  newJobState,
  openOccurrence,
  tasksOf,
  nextFillerPercent,
  orderSteps,
  type Decision,
  type ExecutorInfo,
  type ExecutorState,
  type JobState,
  type Queue,
  type RoundContext,
  type StepSpec,
  encodeProgress,
  taskName,
  type TaskState,
} from '@dragonflyward/cell';
import {CONFIG, QUEUE, STEP} from './rig.js';

const NOW_MS = 100_000;
/** The platform's limit on a record of the store. */
const MAX_RECORD_BYTES = 262_144;
const URGENT: Queue = {...QUEUE, name: 'urgent', priority: 0};
const BATCH: Queue = {...QUEUE, name: 'batch', priority: 2};
const GANG: StepSpec = {...STEP, isGang: true, count: 2};
const ADVICE = {decisionMs: 20, perExecutorMs: 1, validityMs: 2000};

const stopped: string[] = [];

function newState(): CellState {
  stopped.length = 0;
  const state = new CellState(1, {
    onProgress: () => undefined,
    onPhaseChange: () => undefined,
    onStop: task => stopped.push(`${task.step.occurrence.job.id}`),
    onOrphan: () => undefined,
    onCrash: () => undefined,
  });
  state.setConfig({...CONFIG, queues: [URGENT, QUEUE, BATCH]});
  return state;
}

function addExecutor(
  state: CellState,
  id: string,
  change: Partial<ExecutorInfo> = {},
): ExecutorState {
  const info = {
    id,
    service: QUEUE.service,
    ip: '',
    port: 1,
    domain: 'd',
    rack: 'r',
    labels: ['a'],
    capacity: {cpuMilli: 4000, memMb: 10_000, accel: 8, slots: 0},
    isDraining: false,
    drainRemainingMs: 0,
    coldRemainingMs: 0,
    bornMs: 1,
    ...change,
  };
  const executor = state.setExecutor(info, NOW_MS);
  executor.isReached = true;
  return executor;
}

function addJob(
  state: CellState,
  id: string,
  queue: Queue,
  steps: readonly StepSpec[],
): JobState {
  return state.addJob({
    id,
    queue,
    organisation: '',
    spec: {
      payload: '',
      steps,
      repetition: {times: 1, firstMs: 0, intervalMs: 0},
    },
    acceptedMs: NOW_MS,
  });
}

function newContext(nowMs = NOW_MS): RoundContext {
  return {
    nowMs,
    wallMs: NOW_MS,
    mayHaveUnknownRuns: () => false,
    unknownRunsUntilMs: null,
    leadMs: () => 0,
    ticketBudget: new TicketBudget(Infinity, Infinity),
  };
}

function decide(state: CellState, nowMs = NOW_MS): readonly Decision[] {
  return [...decideRound(state, newContext(nowMs))];
}

/** Closes the failure domains and opens all others. */
function closeDomains(state: CellState, ...names: string[]): ClosedDomains {
  const domains = new ClosedDomains();
  for (const [offset, domain] of names.entries()) {
    domains.apply({domain, isClosed: true}, {key: domain, offset});
  }
  state.setClosedDomains(domains);
  return domains;
}

/** The wait reasons of all steps, and the line on the cell. */
function readLines(state: CellState, domains: ClosedDomains): object {
  const lines = [...stateLines(state, newContext(), domains.list)];
  const closedWaits = lines.reduce((sum, each) => sum + each.closedWaits, 0);
  const [cell, ...queues] = lines.map(({fields}) => fields);
  const reasons = queues.map(fields => fields['reasons']);
  return {closed: cell?.['closedDomains'], reasons, closedWaits};
}

function countTicketRequests(state: CellState): number {
  return decide(state).filter(({kind}) => kind === 'advise').length;
}

/** The executors on which a job's tasks were placed, in order. */
function executorIdsOf(job: JobState): readonly string[] {
  const tasks = [...tasksOf(job)];
  return tasks.map(({executor}) => executor?.info.id ?? '');
}

function markRunning(job: JobState): void {
  for (const task of job.occurrences.get(0)?.steps[0]?.tasks ?? []) {
    if (task.phase === 'starting') task.phase = 'running';
  }
}

const decisions = suite('decisions');

decisions('never fills an executor beyond its capacity', () => {
  const state = newState();
  addExecutor(state, 'x');
  const job = addJob(state, 'j', URGENT, [{...STEP, count: 9}]);
  decide(state);
  assert.is(executorIdsOf(job).filter(id => id === 'x').length, 4);
  assert.equal(decide(state), []);
});

decisions('starts a step only after its dependencies', () => {
  const state = newState();
  addExecutor(state, 'x');
  const job = addJob(state, 'j', QUEUE, [STEP, {...STEP, after: [0]}]);
  decide(state);
  assert.equal(executorIdsOf(job), ['x', '']);
});

decisions('puts a gang on executors all at once or not at all', () => {
  const state = newState();
  addExecutor(state, 'x');
  const big = {...GANG, size: {...STEP.size, cpuMilli: 3000}};
  const job = addJob(state, 'j', QUEUE, [big]);
  decide(state);
  assert.equal(executorIdsOf(job), ['', '']);
  addExecutor(state, 'y');
  decide(state);
  assert.equal([...executorIdsOf(job)].sort(), ['x', 'y']);
});

decisions('withholds executors from less urgent work for a gang', () => {
  const state = newState();
  addExecutor(state, 'x');
  addExecutor(state, 'y');
  const first = addJob(state, 'first', QUEUE, [STEP]);
  decide(state);
  markRunning(first);
  const whole = {...GANG, size: {...STEP.size, cpuMilli: 4000}};
  addJob(state, 'gang', QUEUE, [whole]);
  const small = addJob(state, 'small', BATCH, [{...STEP, count: 8}]);
  decide(state);
  const free = executorIdsOf(small).filter(id => id === '');
  assert.is(free.length, 8);
});

decisions('respects labels, drains and the limit per executor', () => {
  const state = newState();
  addExecutor(state, 'x', {isDraining: true});
  addExecutor(state, 'y', {labels: ['b']});
  addExecutor(state, 'z');
  const step = {...STEP, count: 3, requiredLabel: 'a', maxPerExecutor: 2};
  const job = addJob(state, 'j', QUEUE, [step]);
  decide(state);
  assert.equal(executorIdsOf(job), ['z', 'z', '']);
});

decisions('preempts work that saves its progress for urgent work', () => {
  const state = newState();
  addExecutor(state, 'x');
  const saving = {...STEP, count: 4, savesProgress: true};
  const batch = addJob(state, 'batch', {...BATCH, service: 'svc'}, [saving]);
  batch.queue = {...BATCH, priority: 1};
  state.setConfig({...CONFIG, queues: [QUEUE]});
  decide(state);
  markRunning(batch);
  const urgent = addJob(state, 'urgent', URGENT, [{...STEP, count: 2}]);
  decide(state);
  assert.equal(stopped, ['batch', 'batch']);
  assert.equal(executorIdsOf(urgent), ['', '']);
  decide(state);
  assert.equal(stopped, ['batch', 'batch'], 'preempts only once');
});

decisions('never stops a service task or one that would lose its work', () => {
  const state = newState();
  addExecutor(state, 'x');
  const service = {...STEP, count: 2, isService: true, savesProgress: true};
  const kept = addJob(state, 'service', BATCH, [service]);
  const losing = addJob(state, 'losing', BATCH, [{...STEP, count: 2}]);
  decide(state);
  markRunning(kept);
  markRunning(losing);
  addJob(state, 'urgent', URGENT, [{...STEP, count: 4}]);
  decide(state);
  assert.equal(stopped, []);
});

decisions('keeps an organisation within its limit', () => {
  const state = newState();
  addExecutor(state, 'x');
  const limit = {cpuMilli: 2000, memMb: 0, accel: 0, slots: 0};
  const organisations = [{name: 'o', weight: 1, limit}];
  state.setConfig({...CONFIG, organisations});
  const job = state.addJob({
    id: 'j',
    queue: QUEUE,
    organisation: 'o',
    spec: {
      payload: '',
      steps: [{...STEP, count: 4}],
      repetition: {times: 1, firstMs: 0, intervalMs: 0},
    },
    acceptedMs: NOW_MS,
  });
  decide(state);
  assert.is(executorIdsOf(job).filter(id => id !== '').length, 2);
});

decisions('requests tickets first and starts only with them', () => {
  const state = newState();
  addExecutor(state, 'x');
  addExecutor(state, 'y');
  const queue = {...QUEUE, name: 'advised', advice: ADVICE};
  const job = addJob(state, 'j', queue, [STEP]);
  const [ask] = decide(state);
  assert.is(ask?.kind, 'advise');
  assert.equal(executorIdsOf(job), ['']);
  const step = job.occurrences.get(0)?.steps[0];
  step?.checkedExecutors.add('x').add('y');
  step?.allowed.add('y');
  step?.tickets.set('y', {ticket: 't', validUntilMs: NOW_MS + 1000});
  decide(state);
  assert.equal(executorIdsOf(job), ['y']);
});

// Until the first step's tickets arrive, its room would stay idle.
for (const [cpuMilli, startedOn] of [
  [1000, 'y'],
  [8000, ''],
] as const) {
  const what = `tasks of ${cpuMilli} millicores`;
  decisions(`uses urgent room that waits for tickets, ${what}`, () => {
    const state = newState();
    const capacity = {cpuMilli: 16_000, memMb: 10_000, accel: 0, slots: 0};
    addExecutor(state, 'y', {capacity});
    const queue = {...URGENT, name: 'advised', advice: ADVICE};
    const step = {...STEP, size: {...STEP.size, cpuMilli}};
    const wide = {...step, count: 16_000 / cpuMilli};
    addJob(state, 'first', queue, [{...wide, estimatedMs: 100}]);
    const later = addJob(state, 'later', queue, [step]);
    const held = later.occurrences.get(0)?.steps[0];
    held?.checkedExecutors.add('y');
    held?.allowed.add('y');
    held?.tickets.set('y', {ticket: 't', validUntilMs: NOW_MS + 1000});
    const asked = decide(state).filter(({kind}) => kind === 'advise');
    assert.is(asked.length, 1);
    assert.equal(executorIdsOf(later), [startedOn]);
  });
}

decisions('starts nothing with an expired ticket', () => {
  const state = newState();
  addExecutor(state, 'x');
  const queue = {...QUEUE, name: 'advised', advice: ADVICE};
  const job = addJob(state, 'j', queue, [STEP]);
  const step = job.occurrences.get(0)?.steps[0];
  step?.checkedExecutors.add('x');
  step?.allowed.add('x');
  step?.tickets.set('x', {ticket: 't', validUntilMs: NOW_MS});
  decide(state);
  assert.equal(executorIdsOf(job), ['']);
});

decisions('places work on the executors of its service only', () => {
  const state = newState();
  addExecutor(state, 'other', {service: 'other'});
  const job = addJob(state, 'j', QUEUE, [STEP]);
  decide(state);
  assert.equal(executorIdsOf(job), ['']);
  // A queue may move to another service after its tickets were issued.
  const advised = {...QUEUE, name: 'advised', advice: ADVICE};
  const moved = addJob(state, 'moved', advised, [STEP]);
  const step = moved.occurrences.get(0)?.steps[0];
  step?.checkedExecutors.add('other');
  step?.allowed.add('other');
  step?.tickets.set('other', {ticket: 't', validUntilMs: NOW_MS + 1000});
  decide(state);
  assert.equal(executorIdsOf(moved), ['']);
});

decisions('stops the rest of a gang when one of its tasks fails', () => {
  const state = newState();
  const x = addExecutor(state, 'x');
  const job = addJob(state, 'j', QUEUE, [GANG]);
  decide(state);
  markRunning(job);
  const [first] = job.occurrences.get(0)?.steps[0]?.tasks ?? [];
  const end = {number: 1, task: 'j.0.0.0', run: 1, checkpoint: ''};
  state.recordEnd(x, {...end, how: 'failed'}, NOW_MS);
  assert.is(first?.phase, 'waiting');
  assert.equal(stopped, ['j']);
});

decisions('requests tickets for an executor added after a refusal', () => {
  const state = newState();
  addExecutor(state, 'x');
  const queue = {...QUEUE, name: 'advised', advice: ADVICE};
  const job = addJob(state, 'j', queue, [STEP]);
  job.occurrences.get(0)?.steps[0]?.checkedExecutors.add('x');
  assert.equal(decide(state), []);
  addExecutor(state, 'new');
  const [ask] = decide(state);
  assert.equal(ask?.kind === 'advise' ? ask.executorIds : [], ['new']);
});

decisions('requests no tickets for an organisation at its limit', () => {
  const state = newState();
  addExecutor(state, 'x');
  const limit = {cpuMilli: 500, memMb: 0, accel: 0, slots: 0};
  const queue = {...QUEUE, name: 'advised', advice: ADVICE};
  const organisations = [{name: '', weight: 1, limit}];
  state.setConfig({...CONFIG, queues: [queue], organisations});
  addJob(state, 'j', queue, [STEP]);
  assert.equal(decide(state), []);
});

const ADVISED = {...QUEUE, name: 'advised', advice: ADVICE};

/** Requests of a round in which any task may have unknown runs. */
function earlyRequests(
  state: CellState,
  {leftMs = 0, budget = Infinity} = {},
): readonly string[] {
  const round = decideRound(state, {
    nowMs: NOW_MS,
    wallMs: NOW_MS,
    mayHaveUnknownRuns: () => true,
    unknownRunsUntilMs: () => NOW_MS + leftMs,
    leadMs: () => 0,
    ticketBudget: new TicketBudget(budget, budget),
  });
  return [...round].map(each => {
    assert.is(each.kind, 'advise');
    return each.kind === 'advise' ? each.step.occurrence.job.id : '';
  });
}

decisions('requests early tickets in the order of starts', () => {
  const state = newState();
  addExecutor(state, 'x');
  addJob(state, 'batch', {...BATCH, name: 'advisedBatch', advice: ADVICE}, [
    STEP,
  ]);
  addJob(state, 'usual', ADVISED, [STEP]);
  addJob(state, 'urgent', {...ADVISED, name: 'advisedUrgent', priority: 0}, [
    STEP,
  ]);
  assert.equal(earlyRequests(state), ['urgent', 'usual', 'batch']);
  assert.equal(earlyRequests(state, {budget: 2}), ['urgent', 'usual']);
});

decisions('requests early tickets where orders will soon be given', () => {
  const state = newState();
  const executor = addExecutor(state, 'x');
  addJob(state, 'j', ADVISED, [STEP]);
  addJob(state, 'lasting', ADVISED, [{...STEP, isService: true}]);
  executor.isHeld = true;
  assert.equal(earlyRequests(state), []);
  executor.isHeldBriefly = true;
  assert.equal(earlyRequests(state), ['lasting', 'j']);
  addJob(state, 'startable', QUEUE, [STEP]);
  assert.equal(decide(state), []);
});

decisions('requests early tickets for no more than has room', () => {
  const state = newState();
  addExecutor(state, 'x');
  const large = {...STEP, size: {...STEP.size, cpuMilli: 3000}};
  addJob(state, 'usual', ADVISED, [large]);
  addJob(state, 'urgent', {...ADVISED, name: 'advisedUrgent', priority: 0}, [
    large,
  ]);
  assert.equal(earlyRequests(state), ['urgent']);
});

decisions('requests no early tickets long before the wait ends', () => {
  const state = newState();
  addExecutor(state, 'x');
  addJob(state, 'j', ADVISED, [STEP]);
  addJob(state, 'lasting', ADVISED, [{...STEP, isService: true}]);
  assert.equal(earlyRequests(state, {leftMs: ADVICE.validityMs}), []);
});

decisions('requests no early tickets for a step that is not ready', () => {
  const state = newState();
  addExecutor(state, 'x');
  const steps = [STEP, {...STEP, after: [0]}];
  addJob(state, 'j', ADVISED, steps);
  assert.equal(earlyRequests(state), ['j']);
});

decisions('requests no early tickets for a gang that is not complete', () => {
  const state = newState();
  const executor = addExecutor(state, 'x');
  const job = addJob(state, 'j', ADVISED, [GANG]);
  const task = job.occurrences.get(0)?.steps[0]?.tasks[1];
  assert.ok(task);
  state.adoptRun(executor, task, 1, NOW_MS);
  assert.equal(earlyRequests(state), []);
});

decisions('requests no early tickets at the limit of an organisation', () => {
  const state = newState();
  addExecutor(state, 'x');
  const limit = {cpuMilli: 500, memMb: 0, accel: 0, slots: 0};
  const organisations = [{name: '', weight: 1, limit}];
  state.setConfig({...CONFIG, queues: [QUEUE], organisations});
  addJob(state, 'j', ADVISED, [STEP]);
  assert.equal(earlyRequests(state), []);
});

// They end with the wait.
decisions('requests early tickets whatever unknown runs may use', () => {
  const state = newState();
  addExecutor(state, 'x');
  const limit = {cpuMilli: 1000, memMb: 0, accel: 0, slots: 0};
  const organisations = [{name: '', weight: 1, limit}];
  state.setConfig({...CONFIG, queues: [QUEUE], organisations});
  const used = {cpuMilli: 1000, memMb: 100, accel: 0};
  state.organisations.setUnknownUsage(new Map([['', used]]));
  addJob(state, 'j', ADVISED, [STEP]);
  assert.equal(earlyRequests(state), ['j']);
});

decisions('limits ticket renewals of gangs without room', () => {
  const state = newState();
  const x = addExecutor(state, 'x');
  addExecutor(state, 'y');
  const queue = {...QUEUE, name: 'advised', advice: ADVICE};
  const whole = {...GANG, size: {...STEP.size, cpuMilli: 4000}};
  x.usedCpuMilli = 1000;
  for (let i = 0; i < 9; i += 1) {
    const job = addJob(state, `gang${i}`, queue, [whole]);
    const step = job.occurrences.get(0)?.steps[0];
    step?.checkedExecutors.add('x').add('y');
    step?.allowed.add('x').add('y');
  }
  assert.is(countTicketRequests(state), 3);
  for (const job of state.jobs.values()) {
    const step = job.occurrences.get(0)?.steps[0];
    if (step !== undefined) step.isRequestingTickets = true;
  }
  assert.is(countTicketRequests(state), 0);
});

decisions('requests tickets for the same room for one step at a time', () => {
  const state = newState();
  addExecutor(state, 'x');
  const queue = {...QUEUE, name: 'advised', advice: ADVICE};
  addJob(state, 'first', queue, [{...STEP, count: 3}]);
  addJob(state, 'second', queue, [{...STEP, count: 3}]);
  addJob(state, 'third', queue, [{...STEP, count: 3}]);
  const asks = decide(state).map(d => d.kind === 'advise' && !d.isSpeculative);
  assert.equal(asks, [true, true, false]);
});

decisions('orders by priority, with work that is too late last', () => {
  const estimates = new RunTimeEstimates();
  const make = (id: string, queue: Queue, acceptedMs: number): JobState =>
    newJobState({
      id,
      queue,
      organisation: '',
      spec: {
        payload: '',
        steps: [STEP],
        repetition: {times: 1, firstMs: 0, intervalMs: 0},
      },
      acceptedMs,
    });
  const jobs = [
    make('lost', URGENT, NOW_MS - 4501),
    make('late', QUEUE, NOW_MS - 2000),
    make('fresh', QUEUE, NOW_MS),
    make('tight', QUEUE, NOW_MS - 500),
    make('urgent', URGENT, NOW_MS),
  ];
  const steps = jobs.flatMap(job => openOccurrence(job, 0).steps);
  const order = orderSteps(steps, estimates, NOW_MS);
  const ids = order.map(({step}) => step.occurrence.job.id);
  assert.equal(ids, ['urgent', 'tight', 'fresh', 'late', 'lost']);
});

decisions('slows fillers down faster than it speeds them up', () => {
  assert.is(nextFillerPercent(100, 0.9), 50);
  assert.is(nextFillerPercent(100, 1.2), 0);
  assert.is(nextFillerPercent(0, 0.3), 20);
  assert.is(nextFillerPercent(50, 0.7), 50);
});

decisions('frees what an orphan run used, whenever its job is known', () => {
  const state = newState();
  const limit = {...STEP.size, cpuMilli: 1000, memMb: 0, accel: 0};
  const organisations = [{name: '', weight: 1, limit}];
  state.setConfig({...CONFIG, organisations});
  const executor = addExecutor(state, 'x');
  state.recordOrphan(executor, 'later.0.0.0', 1);
  addJob(state, 'later', QUEUE, [STEP]);
  assert.is(executor.usedCpuMilli, STEP.size.cpuMilli);
  assert.is(state.organisations.mayRun('', STEP.size, 1), false);
  addJob(state, 'removed', QUEUE, [STEP]);
  state.recordOrphan(executor, 'removed.0.0.0', 1);
  state.cancelJob('removed');
  state.removeJob('removed');
  state.dropOrphan(executor, 'later.0.0.0', 1);
  state.dropOrphan(executor, 'removed.0.0.0', 1);
  assert.is(executor.usedCpuMilli, 0);
  assert.is(state.organisations.mayRun('', STEP.size, 1), true);
  assert.is(decide(state).length, 1);
});

// A peer may name any number of them. The store has the cancels of all.
decisions('remember few cancels of unknown jobs that notices name', () => {
  const state = newState();
  const ids = [...Array(5000).keys()].map(i => `j-${i}`);
  for (const id of ids) state.cancelNotified(id);
  const phases = ids.map(id => addJob(state, id, QUEUE, [STEP]).phase);
  assert.is(phases.filter(phase => phase === 'cancelled').length, 1000);
  assert.is(phases.at(-1), 'cancelled');
  state.cancelJob('stored');
  for (const id of ids) state.cancelNotified(`other-${id}`);
  assert.is(addJob(state, 'stored', QUEUE, [STEP]).phase, 'cancelled');
});

// A former owner slowed it down beside a service task that is gone since.
decisions('keeps a record of progress small while a service fails', () => {
  const state = newState();
  const x = addExecutor(state, 'x');
  const spec = {...STEP, isService: true, count: 300};
  const job = addJob(state, 'j', QUEUE, [spec]);
  const tasks = job.occurrences.get(0)?.steps[0]?.tasks ?? [];
  for (let run = 1; run <= 400; run += 1) {
    for (const task of tasks) {
      const end = {number: run, task: taskName(task), run, checkpoint: ''};
      state.recordEnd(x, {...end, how: 'failed'}, NOW_MS);
    }
  }
  assert.ok(encodeProgress(job).length < MAX_RECORD_BYTES);
  assert.is(tasks[0]?.notBeforeMs, NOW_MS + 1600);
});

decisions('gives an adopted filler its processor share back', () => {
  const state = newState();
  const executor = addExecutor(state, 'x');
  const job = addJob(state, 'j', QUEUE, [{...STEP, isFiller: true}]);
  const task = job.occurrences.get(0)?.steps[0]?.tasks[0];
  if (task === undefined) throw new Error('no task');
  state.adoptRun(executor, task, 1, NOW_MS);
  task.percent = 0;
  const shares: number[] = [];
  const limitCpu = (_task: TaskState, percent: number): void => {
    shares.push(percent);
  };
  const clock = new ManualClock(NOW_MS);
  const monitor = new RuntimeMonitor(state, clock, () => undefined, limitCpu);
  monitor.checkExecutors();
  assert.equal(shares, [100]);
  task.percent = 100;
  monitor.checkExecutors();
  assert.equal(shares, [100]);
});

decisions('starts tasks outside closed failure domains only', () => {
  const state = newState();
  addExecutor(state, 'x', {domain: 'a'});
  addExecutor(state, 'y', {domain: 'b'});
  closeDomains(state, 'a');
  const spread = {...GANG, count: 3, maxPerExecutor: 1};
  const gang = addJob(state, 'g', URGENT, [spread]);
  const job = addJob(state, 'j', QUEUE, [{...STEP, count: 9}]);
  // Neither a new executor there nor a new record of a known one opens it.
  addExecutor(state, 'z', {domain: 'a'});
  addExecutor(state, 'x', {domain: 'a', labels: []});
  decide(state);
  assert.equal([...new Set(executorIdsOf(job))].sort(), ['', 'y']);
  assert.equal(executorIdsOf(gang), ['', '', '']);
  closeDomains(state);
  decide(state);
  assert.equal([...executorIdsOf(gang)].sort(), ['x', 'y', 'z']);
});

decisions('requests no tickets for executors in closed domains', () => {
  const state = newState();
  addExecutor(state, 'x', {domain: 'a'});
  addExecutor(state, 'y', {domain: 'b'});
  closeDomains(state, 'a');
  addJob(state, 'j', {...QUEUE, name: 'advised', advice: ADVICE}, [STEP]);
  const ids = decide(state).flatMap(each =>
    each.kind === 'advise' ? each.executorIds : [],
  );
  assert.equal(ids, ['y']);
});

decisions('preempts nothing in closed domains', () => {
  const state = newState();
  addExecutor(state, 'x', {domain: 'a'});
  const saving = {...STEP, count: 4, savesProgress: true};
  markRunning(addJob(state, 'batch', BATCH, [saving]));
  decide(state);
  closeDomains(state, 'a');
  addJob(state, 'urgent', URGENT, [STEP]);
  decide(state);
  assert.equal(stopped, []);
});

// Half of all executors would be all that are open.
decisions('withholds at most half of the open executors', () => {
  const state = newState();
  for (const id of ['x', 'y']) addExecutor(state, id, {domain: 'a'});
  for (const id of ['u', 'v']) addExecutor(state, id, {domain: 'b'});
  addJob(state, 'first', QUEUE, [{...STEP, count: 2, maxPerExecutor: 1}]);
  closeDomains(state, 'a');
  decide(state);
  const large = {...STEP, size: {...STEP.size, cpuMilli: 4000}};
  addJob(state, 'large', QUEUE, [large]);
  const gang = {...GANG, size: large.size, maxPerExecutor: 1};
  addJob(state, 'gang', QUEUE, [gang]);
  const small = addJob(state, 'small', BATCH, [STEP]);
  decide(state);
  assert.not.equal(executorIdsOf(small), ['']);
});

decisions('says which steps wait for closed domains', () => {
  const state = newState();
  addExecutor(state, 'x', {domain: 'a'});
  addExecutor(state, 'y', {domain: 'b', labels: ['b']});
  addJob(state, 'j', BATCH, [{...STEP, requiredLabel: 'a'}]);
  decide(state);
  addJob(state, 'k', BATCH, [{...STEP, requiredLabel: 'a'}]);
  const onX = {domain: 'a', executors: 1, tasks: 1};
  assert.equal(readLines(state, closeDomains(state, 'a')), {
    closed: [onX],
    reasons: [{closed: 1}],
    closedWaits: 1,
  });
  // The headroom for urgent work is none where nothing is open.
  const all = closeDomains(state, 'b', 'a', 'odd');
  assert.equal(readLines(state, all), {
    closed: [
      {domain: 'b', executors: 1, tasks: 0},
      onX,
      {domain: 'odd', executors: 0, tasks: 0},
    ],
    reasons: [{closed: 1}],
    closedWaits: 1,
  });
  const none = {closed: undefined, reasons: [{unsuited: 1}], closedWaits: 0};
  addExecutor(state, 'x', {domain: 'a', isDraining: true});
  assert.equal(readLines(state, closeDomains(state)), none);
});

/**
 * How many of `count` tasks start on each of two executors that are that cold,
 * beside two others; all are idle.
 */
function countColdStarts(
  coldRemainingMs: number,
  count: number,
  afterMs = 0,
): readonly number[] {
  const state = newState();
  const cold = ['c1', 'c2'].map(id =>
    addExecutor(state, id, {coldRemainingMs}),
  );
  for (const id of ['w1', 'w2']) addExecutor(state, id);
  addJob(state, 'j', URGENT, [{...STEP, count}]);
  decide(state, NOW_MS + afterMs);
  return cold.map(({tasks}) => tasks.size);
}

// A domain that is opened again has many idle executors, which would be packed
// one after the other while they are slow.
decisions('starts little on cold executors, and in even shares', () => {
  assert.equal(countColdStarts(0, 4), [4, 0]);
  assert.equal(countColdStarts(0, 12), [4, 4]);
  for (const coldRemainingMs of [1, 5000, 60_000]) {
    assert.equal(countColdStarts(coldRemainingMs, 8), [0, 0]);
    assert.equal(countColdStarts(coldRemainingMs, 12), [2, 2]);
  }
  assert.equal(countColdStarts(5000, 8, 4900), [0, 0]);
  assert.equal(countColdStarts(5000, 8, 5000), [4, 4]);
});

decisions('requests tickets for warm executors first', () => {
  const state = newState();
  for (let i = 0; i < 40; i += 1) {
    addExecutor(state, `c${i}`, {coldRemainingMs: 20_000});
  }
  for (let i = 0; i < 20; i += 1) addExecutor(state, `w${i}`);
  addJob(state, 'j', {...QUEUE, name: 'advised', advice: ADVICE}, [STEP]);
  const ids = decide(state).flatMap(each =>
    each.kind === 'advise' ? each.executorIds : [],
  );
  assert.is(ids.filter(id => id.startsWith('w')).length, 20);
});

decisions('prefers an executor less the longer it stays cold', () => {
  const costs = [20_000, 10_000, 5000, 100, 0, -1].map(leftMs =>
    coldCost({coldUntilMs: NOW_MS + leftMs}, NOW_MS, 2, 0.5),
  );
  assert.equal(costs, [4, 4, 2.5, 1.03, 0, 0]);
});

decisions.run();

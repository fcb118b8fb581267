import {
  FairShareEngine,
  type Decision,
  type PolicyJob,
  type PolicyTeam,
  type PolicyWorker,
} from '@dragonflyward/policy';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';

const URGENT_WAIT_LIMIT_MS = 9_400;
const test = suite('engine cases');

const SMALL = {cpuMilli: 1_000, memMb: 1_024, accel: 0, slots: 0};
const LARGE = {cpuMilli: 4_000, memMb: 4_096, accel: 0, slots: 0};

function worker(workerId: string, capacity = LARGE): PolicyWorker {
  return {workerId, rack: 'r', capacity, condition: 'ready'};
}

function team(name: string, allowance = LARGE): PolicyTeam {
  const shares = {share: 1, organisationShare: 1};
  return {team: name, organisation: name, allowance, ...shares};
}

function job(jobId: string, changes: Partial<PolicyJob> = {}): PolicyJob {
  return {
    ...{jobId, team: 'a', queue: 'renders', taskIndexes: [0], runMs: 1_000},
    ...{isGang: false, isService: false, isIdempotent: true, acceptedMs: 0},
    ...{size: SMALL, ...changes},
  };
}

function newEngine(...workers: readonly PolicyWorker[]): FairShareEngine {
  const engine = new FairShareEngine();
  engine.setQueues([
    {queue: 'quotes', priority: 'urgent', policy: 'pack'},
    {queue: 'renders', priority: 'batch', policy: 'pack'},
  ]);
  engine.setTeams([team('a'), team('b')]);
  for (const each of workers) engine.setWorker(each);
  return engine;
}

function decide(engine: FairShareEngine, nowMs: number): readonly Decision[] {
  return [...engine.decide(nowMs)];
}

test('a job is set aside when the only worker it fits on is gone', () => {
  const engine = newEngine(worker('w1'), worker('w2', SMALL));
  engine.submit(job('j', {size: LARGE}));
  engine.removeWorker('w1');
  assert.equal(decide(engine, 0), []);
  assert.match(engine.explain('j'), 'no worker is large enough');
  const [decision] = decide(engine, 700_000);
  assert.is(decision?.kind, 'setAside');
  assert.is(engine.countWaitingTasks(), 0);
});

test('a job whose worker comes back in time is not set aside', () => {
  const engine = newEngine(worker('w1'), worker('w2', SMALL));
  engine.submit(job('j', {size: LARGE}));
  engine.removeWorker('w1');
  decide(engine, 0);
  engine.setWorker(worker('w1'));
  const [decision] = decide(engine, 700_000);
  assert.is(decision?.kind, 'start');
});

test('urgent work of a team at its limit preempts its own batch work', () => {
  const engine = newEngine(worker('w1'), worker('w2'));
  engine.submit(job('batch', {taskIndexes: [0, 1, 2, 3]}));
  assert.is(decide(engine, 0).length, 4);
  engine.submit(job('quote', {queue: 'quotes', acceptedMs: 100}));
  const [stop] = decide(engine, 100);
  assert.is(stop?.kind, 'preempt');
  if (stop?.kind !== 'preempt') return;
  engine.ended(stop.taskId, 'notRunning', 600);
  const [start] = decide(engine, 600);
  assert.is(start?.kind === 'start' && start.task.jobId, 'quote');
});

test('urgent work tries elsewhere when a stop is never confirmed', () => {
  const engine = newEngine(worker('w1', SMALL), worker('w2', SMALL));
  engine.submit(job('batch', {team: 'b', taskIndexes: [0, 1]}));
  decide(engine, 0);
  engine.submit(job('quote', {queue: 'quotes', acceptedMs: 0}));
  const stopped = new Set<string>();
  for (let nowMs = 100; nowMs < URGENT_WAIT_LIMIT_MS; nowMs += 100) {
    for (const decision of decide(engine, nowMs)) {
      if (decision.kind === 'preempt') stopped.add(decision.taskId);
    }
  }
  assert.is(stopped.size, 2);
});

test('work that is not idempotent is never stopped for other work', () => {
  const engine = newEngine(worker('w1', SMALL));
  engine.submit(job('batch', {team: 'b', isIdempotent: false}));
  decide(engine, 0);
  engine.submit(job('quote', {queue: 'quotes'}));
  assert.equal(decide(engine, 60_000), []);
});

test('a worker that fails every task is retried after growing delays', () => {
  const engine = newEngine(worker('bad'));
  const asideMs: number[] = [];
  let next = 0;
  let sinceMs = 0;
  for (let nowMs = 0; nowMs < 400_000; nowMs += 1_000) {
    if (engine.countWaitingTasks() === 0) {
      engine.submit(job(`j${next}`, {acceptedMs: nowMs}));
      next += 1;
    }
    for (const decision of decide(engine, nowMs)) {
      if (decision.kind === 'start') {
        engine.ended(decision.task.taskId, 'failed', nowMs);
      }
      if (decision.kind !== 'worker') continue;
      if (decision.isQuarantined) sinceMs = nowMs;
      else asideMs.push(nowMs - sinceMs);
    }
  }
  assert.ok(asideMs.length >= 3);
  for (let i = 1; i < asideMs.length; i += 1) {
    assert.ok((asideMs[i] ?? 0) > (asideMs[i - 1] ?? 0));
  }
});

test.run();

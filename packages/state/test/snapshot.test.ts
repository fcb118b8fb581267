import {
  EventRing,
  HybridClock,
  ManualClock,
  newId,
} from '@dragonflyward/common';
import {
  MemoryLog,
  MemoryLogClient,
  StreamTail,
  StreamWriter,
  type ApplyResult,
  type LogRecord,
} from '@dragonflyward/log';
import {
  ENDED_JOB_RETENTION_MS,
  isSnapshotDue,
  RECORD_VERSION,
  ShardState,
  SnapshotTask,
} from '@dragonflyward/state';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {jobSpec} from './records.js';

const SEED = 20261204;
const RUNS = 300;
const STREAM = 'shard-north-1';
const V = RECORD_VERSION;

function processOf(n: number): object {
  return {vm: `vm${n}`, incarnation: 1};
}

const TERM = fc.constantFrom(0, 1, 1, 1, 2, 3);
const JOB_ID = fc.nat(6).map(n => `north-1:${n}`);
const TASK = fc.nat(2);

/** Valid records of all types, based on any state. */
const VALID_RECORDS = fc.oneof(
  fc.record({
    type: fc.constant('claim'),
    prevTerm: TERM,
    prevListVersion: fc.nat(5),
    owner: fc.nat(3).map(processOf),
    successors: fc.array(fc.nat(3).map(processOf), {maxLength: 2}),
  }),
  fc.record({
    type: fc.constant('jobAccepted'),
    term: TERM,
    acceptedMs: fc.nat(),
    job: JOB_ID.map(jobSpec),
  }),
  fc.record({
    type: fc.constant('taskStarting'),
    term: TERM,
    jobId: JOB_ID,
    taskIndex: TASK,
    taskId: fc.string({minLength: 1}),
    workerId: fc.constant('w'),
  }),
  fc.record({
    type: fc.constant('taskEnded'),
    term: TERM,
    jobId: JOB_ID,
    taskIndex: TASK,
    result: fc.string(),
  }),
  fc.record({
    type: fc.constant('jobEnded'),
    term: TERM,
    jobId: JOB_ID,
    end: fc.constantFrom('succeeded', 'cancelled'),
    reason: fc.string(),
  }),
);

/** Arbitrary values, and valid records with invalid members. */
const INVALID_DATA = fc.oneof(
  fc.anything(),
  VALID_RECORDS.map(record => ({...record, v: 99})),
  VALID_RECORDS.map(record => ({...record, v: V, type: 'unheardOf'})),
  VALID_RECORDS.map(record => ({...record, v: V, term: 'x', prevTerm: null})),
  fc.constant({v: V, type: 'snapshot', snapshotId: 's', covers: 1e9, body: ''}),
);

const DATA = fc.oneof(
  {weight: 4, arbitrary: VALID_RECORDS.map(record => ({...record, v: V}))},
  {weight: 1, arbitrary: INVALID_DATA},
);

/** Puts the records into a stream, minutes apart so that ended jobs expire. */
function toStream(data: readonly unknown[]): LogRecord[] {
  return data.map((value, offset) => ({
    offset,
    timeMs: offset * (ENDED_JOB_RETENTION_MS / 10),
    id: `r${offset}`,
    data: value,
  }));
}

function stateOf(state: ShardState): string {
  const bodies = state.snapshot('x').map(({body}) => body);
  return bodies.join('\n');
}

interface SnapshotRun {
  readonly full: ShardState;
  readonly records: readonly LogRecord[];
  /** Offset at which a late reader starts. */
  readonly first: number;
}

/**
 * Writes a snapshot in the middle; a late reader starts at the first record it
 * does not cover.
 */
function writeWithSnapshot(
  data: readonly unknown[],
  at: number,
  between: number,
  makeState: () => ShardState,
): SnapshotRun {
  const full = makeState();
  const before = toStream(data);
  const covers = Math.min(at, before.length);
  for (const record of before.slice(0, covers)) full.apply(record);
  const parts = full.snapshot(newId('s'));
  const rest = data.slice(covers);
  const all = [...data.slice(0, covers), ...rest.slice(0, between)];
  const records = toStream([...all, ...parts, ...rest.slice(between)]);
  for (const record of records.slice(covers)) full.apply(record);
  return {full, records, first: covers};
}

function readFromSnapshot(
  {records, first}: SnapshotRun,
  state: ShardState,
): ShardState {
  state.skipTo(first);
  for (const record of records.slice(first)) state.apply(record);
  return state;
}

/** Starts from a snapshot but drops the records after it. */
class DroppedRecordsState extends ShardState {
  override apply(record: LogRecord): ApplyResult {
    const wasComplete = this.isComplete;
    const result = super.apply(record);
    if (!wasComplete && this.isComplete) this.restartHere();
    return result;
  }

  private restartHere(): void {
    const [part] = this.snapshot('x');
    if (part !== undefined) this.adopt([{...part, covers: Infinity}]);
  }
}

const FIRST_CLAIM = {
  v: V,
  type: 'claim',
  prevTerm: 0,
  prevListVersion: 0,
  owner: processOf(1),
  successors: [],
};

const SNAPSHOT_RUN_INPUTS = fc.tuple(
  fc.array(DATA, {maxLength: 60}).map(data => [FIRST_CLAIM, ...data]),
  fc.nat(60),
  fc.nat(8),
);

const snapshots = suite('snapshots');

snapshots('a late start equals a full replay', () => {
  const holds = fc.property(SNAPSHOT_RUN_INPUTS, ([data, at, between]) => {
    const carried = writeWithSnapshot(
      data,
      at,
      between,
      () => new ShardState(),
    );
    if (carried.first === 0) return;
    const late = readFromSnapshot(carried, new ShardState());
    assert.ok(late.isComplete);
    assert.is(stateOf(late), stateOf(carried.full));
  });
  fc.assert(holds, {seed: SEED, numRuns: RUNS});
});

snapshots(
  'a late start that drops later records differs from a full replay',
  () => {
    const run = fc.check(
      fc.property(SNAPSHOT_RUN_INPUTS, ([data, at, between]) => {
        const carried = writeWithSnapshot(
          data,
          at,
          between,
          () => new ShardState(),
        );
        if (carried.first === 0) return;
        const late = readFromSnapshot(carried, new DroppedRecordsState());
        assert.is(stateOf(late), stateOf(carried.full));
      }),
      {seed: SEED, numRuns: RUNS, endOnFailure: true},
    );
    assert.ok(run.failed);
  },
);

snapshots('all readers skip the same records and none stops', () => {
  const holds = fc.property(fc.array(DATA), data => {
    const records = toStream(data);
    const [a, b] = [new ShardState(), new ShardState()];
    const verdicts = [a, b].map(state => records.map(r => state.apply(r)));
    assert.equal(verdicts[0], verdicts[1]);
    assert.is(stateOf(a), stateOf(b));
    const skipped = verdicts[0]?.filter(v => v === 'skipped').length;
    assert.is(a.skippedCount, skipped);
  });
  fc.assert(holds, {seed: SEED, numRuns: RUNS});
});

snapshots('ended jobs are forgotten, live ones are not', () => {
  const state = new ShardState();
  const under = {v: V, term: 1};
  const accept = {...under, type: 'jobAccepted', acceptedMs: 0};
  const end = {end: 'succeeded', reason: ''};
  const data = [
    FIRST_CLAIM,
    {...accept, job: jobSpec('north-1:1')},
    {...accept, job: jobSpec('north-1:2')},
    {...under, type: 'jobEnded', jobId: 'north-1:1', ...end},
    {...under, type: 'jobEnded', jobId: 'north-1:9', ...end},
  ];
  const records = toStream(data);
  const last = records.at(-1);
  assert.ok(last);
  for (const record of records.slice(0, -1)) state.apply(record);
  assert.is(state.jobs.size, 2);
  state.apply({...last, timeMs: last.timeMs + ENDED_JOB_RETENTION_MS});
  assert.equal([...state.jobs.keys()], ['north-1:2']);
});

snapshots('are due before the log forgets the newest one', () => {
  const age = {covers: 60, nextOffset: 100, ageMs: 0, periodMs: 1_000};
  assert.not(isSnapshotDue({...age, oldestOffset: 0}));
  assert.not(isSnapshotDue({...age, oldestOffset: 10}));
  assert.ok(isSnapshotDue({...age, oldestOffset: 30}));
  assert.ok(isSnapshotDue({...age, oldestOffset: 0, ageMs: 1_000}));
});

/** Runs one writer against a log that retains few records. */
async function runWriter(log: MemoryLog, clock: ManualClock): Promise<string> {
  const state = new ShardState();
  const client = new MemoryLogClient(log);
  const base = {client, stream: STREAM, clock};
  const tail = new StreamTail({...base, state, waitMs: 100});
  const writer = new StreamWriter({...base, tail});
  const events = new EventRing('p', new HybridClock(clock));
  const isAllowed = (): boolean => true;
  const options = {state, tail, writer, clock, events, isAllowed};
  const task = new SnapshotTask(options);
  let isRunning = true;
  tail.start();
  void task.run(() => isRunning);
  const {term: prevTerm, listVersion: prevListVersion} = state;
  const claim = {v: V, type: 'claim', prevTerm, prevListVersion};
  void writer.write({...claim, owner: processOf(1), successors: []});
  for (let i = 0; i < 300; i += 1) {
    await clock.advance(100);
    const job = jobSpec(`north-1:${i % 40}`);
    const under = {v: V, type: 'jobAccepted', term: state.term};
    void writer.write({...under, acceptedMs: 0, job});
  }
  await clock.advance(1_000);
  isRunning = false;
  tail.stop();
  await clock.advance(5_000);
  return stateOf(state);
}

snapshots('a whole fleet starts again from what the log keeps', async () => {
  const clock = new ManualClock();
  const log = new MemoryLog(clock);
  log.maxRetainedRecords = 80;
  const before = await runWriter(log, clock);
  assert.ok(log.page(STREAM, 0, 1).first > 0);
  const state = new ShardState();
  const client = new MemoryLogClient(log);
  const base = {client, stream: STREAM, clock};
  const tail = new StreamTail({...base, state, waitMs: 100});
  await tail.readOnce();
  assert.ok(state.isComplete);
  assert.is(stateOf(state), before);
});

snapshots.run();

/** Progress of jobs that does not fit into one record of the store. */
import {
  applyProgress,
  newJobState,
  openOccurrence,
  progressRecords,
  PROGRESS_TOPIC,
  recordSize,
  tasksOf,
  type JobState,
  type KeyedRecord,
  type StepSpec,
} from '@dragonflyward/cell';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ONCE, QUEUE, Rig, STEP} from './rig.js';

const LIMITS = {recordBytes: 262_144, appendBytes: 2_097_152};
/** The limit of a store that takes small records only. */
const SMALL_RECORDS = {recordBytes: 2000, appendBytes: 16_000};

const progress = suite('progress in parts');

function newJob(steps: readonly StepSpec[]): JobState {
  const spec = {payload: '', steps, repetition: ONCE};
  const job = {id: 'job', spec, queue: QUEUE, organisation: '', acceptedMs: 0};
  const state = newJobState(job);
  state.phase = 'running';
  openOccurrence(state, 0);
  return state;
}

function failAll(job: JobState): void {
  for (const task of tasksOf(job)) {
    task.failedRuns = [1001, 2001, 3001];
    task.checkpoint = `checkpoint of ${task.index}`;
  }
}

// The record was refused for ever, and no progress of any job was stored.
progress('of any job fits into records of the store', () => {
  const many = newJob([{...STEP, count: 20_000}]);
  failAll(many);
  const steps = newJob(Array<StepSpec>(20_000).fill(STEP));
  for (const step of openOccurrence(steps, 0).steps) {
    step.doneCount = step.tasks.length;
  }
  for (const job of [many, steps]) {
    const records = progressRecords(job, LIMITS);
    assert.ok(records.length > 2);
    for (const {value} of records) {
      assert.ok(value.length < LIMITS.recordBytes, `${value.length}`);
    }
  }
});

// Up to 500 tasks were written in one row, however long their checkpoints.
progress('fits into records with the longest checkpoints', () => {
  for (const [count, length] of [
    [520, 640],
    [3000, 6000],
    [40, 60_000],
    [3, 300_000],
  ] as const) {
    const job = newJob([{...STEP, count}]);
    for (const task of tasksOf(job)) {
      task.checkpoint = `${task.index} `.padEnd(length, 'c');
    }
    const records = progressRecords(job, LIMITS);
    for (const record of records) {
      assert.ok(recordSize(record) <= LIMITS.recordBytes, `${count} tasks`);
    }
    const read = newJob([{...STEP, count}]);
    for (const {value} of records) {
      applyProgress(read, value, index => openOccurrence(read, index));
    }
    const isStored = length < LIMITS.recordBytes;
    for (const [i, {checkpoint}] of [...tasksOf(read)].entries()) {
      const expected = isStored ? `${i} `.padEnd(length, 'c') : '';
      assert.ok(checkpoint === expected, `task ${i} of ${count}`);
    }
  }
});

progress('is written again only where it has changed', () => {
  const job = newJob([{...STEP, count: 20_000}]);
  failAll(job);
  const all = progressRecords(job, LIMITS).length;
  const [task] = tasksOf(job);
  assert.ok(task !== undefined && all > 2);
  task.checkpoint = 'newer';
  assert.is(progressRecords(job, LIMITS).length, 2);
});

progress('leaves no part behind once the job has ended', () => {
  const job = newJob([{...STEP, count: 20_000}]);
  failAll(job);
  const stored = new Map<string, KeyedRecord>();
  const store = (): void => {
    for (const record of progressRecords(job, LIMITS)) {
      if (record.value.length === 0) stored.delete(record.key);
      else stored.set(record.key, record);
    }
  };
  store();
  assert.ok(stored.size > 2);
  job.phase = 'completed';
  store();
  assert.equal([...stored.keys()], ['p/job']);
});

function countParts(rig: Rig): number {
  const keys = [...rig.memory.topic(PROGRESS_TOPIC).newest.keys()];
  return keys.filter(key => key.startsWith('p/series/')).length;
}

// Small jobs stayed `running` for ever behind the record that was refused.
progress('is whole again after a change of the owner', async () => {
  const rig = new Rig(3, () => ({ms: 150, how: 'done'}));
  const first = rig.newNode('v0');
  first.store.faults.limits = SMALL_RECORDS;
  void rig.claim(first);
  await rig.run(3000);
  const steps = [...Array(60).keys()].map(i => ({
    ...STEP,
    after: i < 6 ? [] : [i - 6],
  }));
  const firstMs = rig.clock.wallMs();
  const repetition = {times: 6, firstMs, intervalMs: 200};
  rig.submit('series', steps, [first], QUEUE, repetition);
  await rig.run(3500);
  assert.ok(countParts(rig) > 1, `${countParts(rig)} parts`);
  rig.kill(first);
  const second = rig.newNode('v1');
  second.store.faults.limits = SMALL_RECORDS;
  void rig.claim(second);
  await rig.run(5000);
  rig.submit('small', [STEP], [second]);
  await rig.run(60_000);
  assert.is(rig.rows.get('small')?.phase, 'completed');
  assert.is(rig.rows.get('series')?.phase, 'completed');
  assert.is(rig.checker.doneTasks.size, 6 * 60 + 1);
  assert.equal(rig.checker.violations, []);
  assert.is(countParts(rig), 0);
});

progress.run();

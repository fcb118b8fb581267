import {readFileSync, readdirSync} from 'node:fs';
import {
  FirstFitEngine,
  Replay,
  FairShareEngine,
  type ReplayRecord,
  type FairShareFeatures,
  type Trace,
} from '@dragonflyward/policy';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';

const TRACES = new URL('../../test/traces/', import.meta.url);
const test = suite('traces');

function readTrace(file: string): Trace {
  return JSON.parse(readFileSync(new URL(file, TRACES), 'utf8')) as Trace;
}

/** Yields a line for each deviation of a replay from the expected outcome. */
function* findMisses(trace: Trace, record: ReplayRecord): Generator<string> {
  const {outcome} = trace;
  for (const [name, bound] of Object.entries(outcome.maxWaitMs ?? {})) {
    const waitMs = record.waitMs(name, 100);
    if (waitMs > bound) yield `${name} waited ${waitMs} ms`;
    const count = record.countNeverStarted(name);
    if (count > 0) yield `${count} tasks of ${name} never started`;
  }
  for (const name of outcome.succeed ?? []) {
    const count = record.countUnfinished(name);
    if (count > 0) yield `${count} tasks of ${name} have not succeeded`;
  }
  if (record.packing < (outcome.minPacking ?? 0)) {
    yield `packing was ${record.packing}`;
  }
  if (outcome.noUseAboveCapacity === true && record.maxMemoryUse > 1) {
    yield `a worker's tasks used ${record.maxMemoryUse} of its memory`;
  }
  for (const [team, ratio] of record.attainments()) {
    const gap = Math.abs(1 - ratio);
    if (gap > (outcome.maxShareGap ?? Infinity)) {
      yield `${team} had ${ratio} of its share`;
    }
  }
}

function assertSetAside(trace: Trace, record: ReplayRecord): void {
  const {setAside, workersSetAside} = trace.outcome;
  if (setAside) assert.equal([...record.setAsideJobs].sort(), setAside);
  if (workersSetAside) {
    assert.equal([...record.setAsideWorkers].sort(), workersSetAside);
  }
}

for (const file of readdirSync(TRACES).sort()) {
  test(`the outcome of ${file} holds`, () => {
    const trace = readTrace(file);
    const replay = new Replay(new FairShareEngine(), trace);
    const record = replay.run();
    assert.equal([...findMisses(trace, record)], []);
    assert.equal(replay.audit.breaches, []);
    assertSetAside(trace, record);
  });
}

/** Traces whose outcome must not hold for an engine without a feature. */
const NEGATIVE_CONTROLS: readonly (readonly [
  string,
  keyof FairShareFeatures,
])[] = [
  ['valbrenta-day.json', 'preempts'],
  ['mtindo-day.json', 'preempts'],
];

for (const [file, feature] of NEGATIVE_CONTROLS) {
  test(`without "${feature}" the outcome of ${file} does not hold`, () => {
    const trace = readTrace(file);
    const engine = new FairShareEngine({features: {[feature]: false}});
    const record = new Replay(engine, trace).run();
    assert.ok([...findMisses(trace, record)].length > 0);
  });
}

test('first come, first served does not keep shares on a full fleet', () => {
  const trace = readTrace('full-fleet.json');
  const record = new Replay(new FirstFitEngine(), trace).run();
  assert.ok([...findMisses(trace, record)].length > 0);
});

test.run();

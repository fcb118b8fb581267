import {readdirSync, readFileSync} from 'node:fs';
import {ManualClock} from '@dragonflyward/common';
import {MemoryLog, type ApplyResult} from '@dragonflyward/log';
import {
  ConfigState,
  ShardState,
  type SnapshottedState,
} from '@dragonflyward/state';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';

const TRACES = new URL('../../test/traces/', import.meta.url);

interface Trace {
  readonly stream: 'shard' | 'config';
  readonly what: string;
  readonly steps: readonly {
    readonly by: string;
    readonly record: unknown;
    readonly verdict: ApplyResult;
  }[];
  readonly outcome: Readonly<Record<string, unknown>>;
}

function summarize(state: ShardState | ConfigState): Trace['outcome'] {
  if (state instanceof ShardState) {
    const {term, owner, jobs} = state;
    return {term, owner: owner?.vm, jobs: [...jobs.keys()]};
  }
  const valid = state.keys().filter(({isWithdrawn}) => !isWithdrawn);
  return {
    revision: state.revision,
    verdicts: state.history().map(({verdict}) => verdict),
    validKeys: valid.map(({keyId}) => keyId),
  };
}

function replay(
  {stream, steps}: Trace,
  state: Pick<SnapshottedState<never>, 'apply'>,
): readonly ApplyResult[] {
  const log = new MemoryLog(new ManualClock());
  for (const [i, {by, record}] of steps.entries()) {
    log.appendNow(stream, [{id: `${by}-${i}`, data: record}]);
  }
  return log.records(stream).map(record => state.apply(record));
}

const traces = suite('recorded traces');

for (const file of readdirSync(TRACES).sort()) {
  const text = readFileSync(new URL(file, TRACES), 'utf8');
  const trace = JSON.parse(text) as Trace;
  traces(`${file}: ${trace.what}`, () => {
    const isShard = trace.stream === 'shard';
    const state = isShard ? new ShardState() : new ConfigState();
    const verdicts = replay(trace, state);
    assert.equal(
      verdicts,
      trace.steps.map(({verdict}) => verdict),
    );
    assert.equal(summarize(state), trace.outcome);
  });
}

traces.run();

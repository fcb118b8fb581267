import {DragonflywardError, ManualClock} from '@dragonflyward/common';
import {MemoryLog, MemoryLogClient} from '@dragonflyward/log';
import {CONFIG_STREAM, type ConfigRecord} from '@dragonflyward/state';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ConfigLog} from '../src/config-log.js';

const DRAFT: ConfigRecord = {
  v: 1,
  type: 'config',
  base: -1,
  author: 'ada',
  reason: 'first',
  configuration: {
    defaults: {queues: {}, organisations: {}, teams: {}},
    exceptions: [],
  },
};

const configLog = suite('config log');

/** Advances the clock until the work has settled. */
async function finish<T>(clock: ManualClock, work: Promise<T>): Promise<T> {
  let isDone = false;
  const ended = work.finally(() => (isDone = true));
  ended.catch(() => undefined);
  while (!isDone) await clock.advance(50);
  return ended;
}

configLog(
  'finds a record whose reply was lost and writes it once',
  async () => {
    const clock = new ManualClock();
    const log = new MemoryLog(clock);
    log.lostReplies = 1;
    log.delayedEffectMs = 1_000;
    const operator = new ConfigLog(new MemoryLogClient(log), clock);
    const verdict = await finish(clock, operator.append(DRAFT));
    assert.equal(verdict, {offset: 0, result: 'applied'});
    await clock.advance(10_000);
    assert.is(log.records(CONFIG_STREAM).length, 1);
  },
);

configLog(
  'reports an unknown outcome if a lost append is not found',
  async () => {
    const clock = new ManualClock();
    const log = new MemoryLog(clock);
    log.lostReplies = 1;
    log.delayedEffectMs = 60_000;
    const operator = new ConfigLog(new MemoryLogClient(log), clock);
    try {
      await finish(clock, operator.append(DRAFT));
      assert.unreachable();
    } catch (err) {
      assert.instance(err, DragonflywardError);
      assert.is((err as DragonflywardError).kind, 'appendUnknown');
    }
  },
);

configLog('tells the loser of a race that it is void', async () => {
  const clock = new ManualClock();
  const log = new MemoryLog(clock);
  const client = new MemoryLogClient(log);
  const ada = new ConfigLog(client, clock);
  const ben = new ConfigLog(client, clock);
  const [first, second] = await finish(
    clock,
    Promise.all([ada.append(DRAFT), ben.append({...DRAFT, author: 'ben'})]),
  );
  assert.is(first.result, 'applied');
  assert.is(second.result, 'void');
  assert.is(ben.state.revision, first.offset);
});

configLog.run();

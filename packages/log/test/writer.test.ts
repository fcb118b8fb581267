import {
  DragonflywardError,
  ManualClock,
  type ErrorKind,
} from '@dragonflyward/common';
import {
  MemoryLog,
  MemoryLogClient,
  StreamState,
  StreamTail,
  StreamWriter,
  type ApplyResult,
  type LogRecord,
} from '@dragonflyward/log';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';

const STREAM = 's';

/** Applies each value once; duplicates are void. */
class SetState extends StreamState {
  override nextOffset = 0;
  override readonly isComplete = true;
  readonly values = new Set<unknown>();

  override apply(record: LogRecord): ApplyResult {
    this.nextOffset = record.offset + 1;
    if (this.values.has(record.data)) return 'void';
    this.values.add(record.data);
    return 'applied';
  }

  override skipTo(offset: number): void {
    this.nextOffset = offset;
  }
}

function setUp() {
  const clock = new ManualClock();
  const log = new MemoryLog(clock);
  const client = new MemoryLogClient(log);
  const state = new SetState();
  const base = {client, stream: STREAM, clock};
  const tail = new StreamTail({...base, state, waitMs: 50});
  const writer = new StreamWriter({...base, tail});
  tail.start();
  return {clock, log, client, state, tail, writer};
}

async function kindOf(promise: Promise<unknown>): Promise<ErrorKind | 'none'> {
  try {
    await promise;
    return 'none';
  } catch (err) {
    return err instanceof DragonflywardError ? err.kind : 'internal';
  }
}

const writer = suite('writer');

writer('commits many records with one append', async () => {
  const {clock, log, writer, tail} = setUp();
  const writes = Array.from({length: 100}, (_, i) => writer.write(i));
  await clock.advance(500);
  const results = await Promise.all(writes);
  assert.is(results.filter(res => res === 'applied').length, 100);
  assert.is(log.appends, 1);
  tail.stop();
});

for (const delayedEffectMs of [0, 800, 4_000]) {
  writer(`applies once after a lost reply, ${delayedEffectMs} ms`, async () => {
    const {clock, log, writer, state, tail} = setUp();
    log.lostReplies = 1;
    log.delayedEffectMs = delayedEffectMs;
    const write = writer.write('x');
    await clock.advance(10_000);
    assert.is(await write, 'applied');
    assert.equal([...state.values], ['x']);
    tail.stop();
  });
}

writer('says logDown only where nothing can take effect', async () => {
  const {clock, log, writer, tail} = setUp();
  log.isDown = true;
  const refused = kindOf(writer.write('x'));
  await clock.advance(10_000);
  assert.is(await refused, 'logDown');
  assert.is(log.records(STREAM).length, 0);
  tail.stop();
});

writer('says appendUnknown where the effect cannot be read back', async () => {
  const {clock, log, writer, tail} = setUp();
  log.lostReplies = 1;
  log.delayedEffectMs = 100;
  const unknown = kindOf(writer.write('x'));
  await clock.advance(50);
  log.isDown = true;
  await clock.advance(20_000);
  assert.is(await unknown, 'appendUnknown');
  assert.is(log.records(STREAM).length, 1);
  tail.stop();
});

writer('dates its proof by the sending of the read', async () => {
  const {clock, log, tail} = setUp();
  await clock.advance(200);
  assert.ok(tail.lastCaughtUpMs <= clock.monotonicMs());
  log.isDown = true;
  await clock.advance(5_000);
  assert.ok(tail.lastCaughtUpMs <= 200);
  assert.not(tail.isUp);
  tail.stop();
});

writer.run();

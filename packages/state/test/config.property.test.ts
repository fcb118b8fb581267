import {ManualClock} from '@dragonflyward/common';
import {MemoryLog, MemoryLogClient, StreamTail} from '@dragonflyward/log';
import {
  CONFIG_STREAM,
  ConfigExchange,
  ConfigFreshness,
  ConfigPeers,
  ConfigState,
  type ConfigTail,
  type ListedPeer,
} from '@dragonflyward/state';
import {promiseTest} from '@dragonflyward/common/promise-test';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {configRecord, grant, withdraw} from './records.js';

const SEED = 20261204;
const RUNS = 200;
const READERS = 3;
const OPS = [
  'publish',
  'publishStale',
  'grant',
  'withdraw',
  'cut',
  'heal',
  'outage',
  'outageEnds',
  'replace',
  'forget',
] as const;

interface Op {
  readonly op: (typeof OPS)[number];
  readonly readerIndex: number;
  readonly durationMs: number;
}

const ALL_OPS = fc.array(
  fc.record({
    op: fc.constantFrom(...OPS),
    readerIndex: fc.nat(READERS - 1),
    durationMs: fc.integer({min: 50, max: 4_000}),
  }),
  {minLength: 4, maxLength: 40},
);

type StateClass = typeof ConfigState;

interface Reader {
  readonly client: MemoryLogClient;
  readonly state: ConfigState;
  readonly exchange: ConfigExchange;
  readonly tail: StreamTail;
  readonly withdrawnKeyIds: Set<string>;
  lastRevision: number;
  isRunning: boolean;
}

/**
 * Peers answer with different delays, so answers come late and out of order.
 */
class SlowPeers extends ConfigPeers {
  constructor(private readonly fleet: Fleet) {
    super();
  }

  override listedPeers(): readonly ListedPeer[] {
    const names = [...this.fleet.readers.keys()];
    return names.map(i => ({vm: String(i), domain: 'north-1'}));
  }

  override async requestTail(vm: string, from: number): Promise<ConfigTail> {
    const peer = this.fleet.readers[Number(vm)];
    if (peer === undefined) throw new Error();
    const answer = peer.exchange.answer(from);
    await this.fleet.clock.sleep(Number(vm) * 700);
    return answer;
  }
}

class Fleet {
  readonly clock = new ManualClock();
  readonly log = new MemoryLog(this.clock);
  readonly readers: Reader[] = [];
  hasReverted = false;
  private revision = -1;

  constructor(private readonly stateClass: StateClass) {
    for (let i = 0; i < READERS; i += 1) this.readers.push(this.start());
  }

  async play(ops: readonly Op[]): Promise<boolean> {
    for (const {op, readerIndex, durationMs} of ops) {
      this.inject(op, readerIndex);
      for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
        await this.clock.advance(100);
        for (const reader of this.readers) this.checkReader(reader);
      }
    }
    for (const reader of this.readers) this.stop(reader);
    return !this.hasReverted;
  }

  private inject(op: Op['op'], readerIndex: number): void {
    const reader = this.readers[readerIndex];
    if (op === 'publish') this.revision = this.publish(this.revision);
    if (op === 'publishStale') this.publish(this.revision - 1);
    if (op === 'grant') this.push(grant(`k${readerIndex}`, 's', 'roofs'));
    if (op === 'withdraw') this.push(withdraw(`k${readerIndex}`));
    if (op === 'outage') this.log.isDown = true;
    if (op === 'outageEnds') this.log.isDown = false;
    if (op === 'forget') this.truncateLog();
    if (reader === undefined) return;
    if (op === 'cut') reader.client.isOffline = true;
    if (op === 'heal') reader.client.isOffline = false;
    if (op !== 'replace') return;
    this.stop(reader);
    this.readers[readerIndex] = this.start();
  }

  private checkReader(reader: Reader): void {
    const {state, withdrawnKeyIds} = reader;
    if (state.revision < reader.lastRevision) this.hasReverted = true;
    reader.lastRevision = state.revision;
    for (const {keyId, isWithdrawn} of state.keys()) {
      if (isWithdrawn) withdrawnKeyIds.add(keyId);
    }
    for (const keyId of withdrawnKeyIds) {
      if (state.teamOfKey(`${keyId}.s`) !== undefined) this.hasReverted = true;
    }
  }

  /** Writes a snapshot and drops the records that it covers. */
  private truncateLog(): void {
    const whole = new ConfigState();
    const {first} = this.log.page(CONFIG_STREAM, 0, 1);
    if (first > 0) whole.skipTo(first);
    for (const record of this.log.records(CONFIG_STREAM)) whole.apply(record);
    const covers = whole.nextOffset;
    for (const part of whole.snapshot(`s${covers}`)) this.push(part);
    this.log.dropBefore(CONFIG_STREAM, covers);
  }

  private publish(base: number): number {
    return this.push(configRecord(base, 'ada'));
  }

  private push(data: unknown): number {
    const id = `r${this.log.appends}`;
    return this.log.appendNow(CONFIG_STREAM, [{id, data}]);
  }

  private stop(reader: Reader): void {
    reader.isRunning = false;
    reader.tail.stop();
  }

  private start(): Reader {
    const {clock, log} = this;
    const client = new MemoryLogClient(log);
    const state = new this.stateClass();
    const stream = CONFIG_STREAM;
    const tail = new StreamTail({client, stream, state, clock, waitMs: 300});
    const base = {clock, state, maxAgeMs: 1_000};
    const freshness = new ConfigFreshness({...base, domain: 'north-1'});
    const peers = new SlowPeers(this);
    const parts = {tail, freshness, peers, maxRecentRecords: 1};
    const exchange = new ConfigExchange({...base, ...parts});
    const flags = {lastRevision: -1, isRunning: true};
    const withdrawnKeyIds = new Set<string>();
    const reader = {client, state, exchange, tail, withdrawnKeyIds, ...flags};
    tail.start();
    void exchange.run(() => reader.isRunning);
    return reader;
  }
}

/** Adopts any peer's snapshot, also an older one. */
class OlderSnapshotState extends ConfigState {
  protected override isNewer(): boolean {
    return true;
  }
}

function check(name: string, type: StateClass, shouldHold: boolean): void {
  const body = async (): Promise<void> => {
    const holds = (ops: readonly Op[]) => new Fleet(type).play(ops);
    const options = {seed: SEED, numRuns: RUNS, endOnFailure: true};
    const run = await fc.check(fc.asyncProperty(ALL_OPS, holds), options);
    assert.is(!run.failed, shouldHold, JSON.stringify(run.counterexample));
  };
  if (shouldHold) promiseTest(configuration, 'config-in-force', name, body);
  else configuration(name, body);
}

const configuration = suite('configuration under random faults');

check('never reverts, nor does a withdrawal', ConfigState, true);
check('reverts where older snapshots are adopted', OlderSnapshotState, false);

configuration.run();

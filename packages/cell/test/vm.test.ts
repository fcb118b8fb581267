/** VMs that are connected over TCP: what happens while an owner loads. */
import {Metrics, SystemClock} from '@dragonflyward/common';
import {
  OWNER_TOPIC,
  Platform,
  PROGRESS_TOPIC,
  Vm,
  type CellConfig,
  type ExecutorClient,
  type NewestPage,
  type OwnerAddress,
  type StoreReply,
} from '@dragonflyward/cell';
import {encode} from 'cbor-x';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {MemoryStore, StoreClient} from './memory-store.js';
import {CONFIG, EXECUTORS_TOPIC, ONCE, QUEUE, STEP} from './rig.js';

const LOOPBACK = '127.0.0.1';
const SELF = {vm: 'a', ip: LOOPBACK, port: 1, incarnation: 1};
const CONFIG_TOPIC = 'keyed.config';
const POLL_MS = 50;
/** Time within which a larger VM has the cell, in ms. */
const HANDOVER_TIMEOUT_MS = 6000;
const GRACE_MS = 300;
const UPTIME_MS = 3_600_000;
/** A count of waiting jobs that was known this long ago is unknown, in ms. */
const STALE_MS = 2500;

/** The clock of a machine that has been up for long. */
class UptimeClock extends SystemClock {
  override monotonicMs(): number {
    return super.monotonicMs() + UPTIME_MS;
  }
}

/** A store whose reads of the progress can be held up. */
class HeldStore extends StoreClient {
  isHeld = false;
  private readonly waiting: (() => void)[] = [];

  override async newestPage(topic: string, after: string): Promise<NewestPage> {
    if (topic === PROGRESS_TOPIC && this.isHeld) {
      await new Promise<void>(resolve => this.waiting.push(resolve));
    }
    return super.newestPage(topic, after);
  }

  get heldCalls(): number {
    return this.waiting.length;
  }

  release(): void {
    this.isHeld = false;
    for (const resolve of this.waiting) resolve();
  }
}

class TestPlatform extends Platform {
  override readonly advice = null;
  override readonly executorsTopic = EXECUTORS_TOPIC;
  override readonly operatorTopic = CONFIG_TOPIC;
  override readonly mayCloseDomains = false;

  constructor(override readonly store: StoreClient) {
    super();
  }

  override decodeExecutor(): null {
    return null;
  }

  override decodeDomainClosure(): null {
    return null;
  }

  override decodeConfig(): CellConfig {
    return CONFIG;
  }

  override connect(): ExecutorClient {
    throw new Error('there are no executors');
  }
}

interface TestVm {
  readonly vm: Vm;
  readonly store: HeldStore;
  readonly events: string[];
}

async function startVm(
  memory: MemoryStore,
  self: OwnerAddress,
  cores: number,
  seeds: readonly OwnerAddress[],
  isHeld: boolean,
): Promise<TestVm> {
  const clock = new UptimeClock();
  const store = new HeldStore(memory, clock);
  store.isHeld = isHeld;
  const events: string[] = [];
  const vm = new Vm({
    self,
    domain: 'd',
    cores,
    seeds,
    platform: new TestPlatform(store),
    clock,
    metrics: new Metrics(),
    log: event => events.push(event),
  });
  await vm.start();
  return {vm, store, events};
}

async function waitFor(
  what: string,
  isTrue: () => boolean,
  timeoutMs = HANDOVER_TIMEOUT_MS,
): Promise<void> {
  const clock = new SystemClock();
  for (let ms = 0; !isTrue(); ms += POLL_MS) {
    assert.ok(ms < timeoutMs, what);
    await clock.sleep(POLL_MS);
  }
}

/** Returns an address with a port that is free. */
async function newAddress(vm: string): Promise<OwnerAddress> {
  const server = createServer().listen(0, LOOPBACK);
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return {vm, ip: LOOPBACK, port, incarnation: port};
}

/** Starts an owner and another VM that is connected to it. */
async function startPair(): Promise<{
  readonly memory: MemoryStore;
  readonly owner: TestVm;
  readonly other: TestVm;
}> {
  const memory = new MemoryStore();
  memory.append(CONFIG_TOPIC, [{key: 'config', value: Uint8Array.of(1)}], {});
  const at = await newAddress('owner');
  const owner = await startVm(memory, at, 2, [], false);
  await waitFor('owner', () => owner.events.includes('ownerActive'));
  const other = await startVm(memory, await newAddress('b'), 1, [at], false);
  await waitFor('connection', () => other.vm.isReady);
  return {memory, owner, other};
}

const vms = suite('VMs');

// What it was still loading must not make it act.
vms('hand the cell to a larger one in the middle of a load', async () => {
  const memory = new MemoryStore();
  const value = Uint8Array.of(1);
  memory.append(CONFIG_TOPIC, [{key: 'config', value}], {});
  const at = await newAddress('small');
  const small = await startVm(memory, at, 0.3, [], true);
  await waitFor('claim', () => small.events.includes('ownerClaimed'));
  assert.is(small.vm.heartbeat().isActing, false);
  const other = await newAddress('large');
  const large = await startVm(memory, other, 2, [at], false);
  await waitFor('handover', () => large.events.includes('ownerActive'));
  assert.is(large.vm.heartbeat().isActing, true);
  small.store.release();
  await new SystemClock().sleep(GRACE_MS);
  assert.not.ok(small.events.includes('ownerActive'));
  assert.is(small.vm.heartbeat().isActing, false);
  assert.is(small.vm.heartbeat().owner?.vm, 'large');
  assert.is(small.vm.isReady, true);
  small.vm.close();
  large.vm.close();
});

// If the owner is killed, a claimant knows since when its record is stored.
vms('tell of the newest record if they own the cell', async () => {
  const {memory, owner, other} = await startPair();
  const ownerTopic = memory.topic(OWNER_TOPIC);
  const {storedEndOffset = Infinity} = owner.vm.heartbeat();
  assert.ok(storedEndOffset <= memory.endOffset(ownerTopic));
  await waitFor('renewal', () => {
    const {storedEndOffset: later = 0} = owner.vm.heartbeat();
    return later > storedEndOffset;
  });
  assert.is(other.vm.heartbeat().owner?.vm, 'owner');
  assert.is(other.vm.heartbeat().storedEndOffset, undefined);
  owner.vm.close();
  other.vm.close();
});

// The end had been stored, and the owner before was lost before it told of it.
vms('show no job as open that had ended before they own the cell', async () => {
  const {memory, owner, other} = await startPair();
  const id = 'job';
  const caller = {organisation: '', queue: QUEUE, timeoutMs: 3000};
  const spec = {payload: '', steps: [STEP], repetition: ONCE};
  const answer = await other.vm.frontend.submit({...caller, id, spec});
  assert.equal(answer, {kind: 'done'});
  const value = encode({phase: 'completed', steps: []});
  memory.append(PROGRESS_TOPIC, [{key: `p/${id}`, value}], {});
  owner.vm.close();
  await waitFor('claim', () => other.events.includes('ownerActive'));
  const phase = await other.vm.frontend.phase(id, caller);
  other.vm.close();
  assert.equal(phase, {kind: 'phase', phase: 'completed'});
});

vms('replace what an owner has told when the next one has loaded', async () => {
  const {memory, owner, other} = await startPair();
  const seeds = [owner.vm, other.vm].map(vm => vm.hello().self);
  const third = await startVm(memory, await newAddress('c'), 0.5, seeds, false);
  await waitFor('connection', () => third.vm.isReady);
  const id = 'job';
  const caller = {organisation: '', queue: QUEUE, timeoutMs: 3000};
  const spec = {payload: '', steps: [STEP], repetition: ONCE};
  const answer = await third.vm.frontend.submit({...caller, id, spec});
  assert.equal(answer, {kind: 'done'});
  const before = await third.vm.frontend.phase(id, caller);
  assert.equal(before, {kind: 'phase', phase: 'queued'});
  const value = encode({phase: 'completed', steps: []});
  memory.append(PROGRESS_TOPIC, [{key: `p/${id}`, value}], {});
  owner.vm.close();
  const isActive = ({events}: TestVm): boolean =>
    events.includes('ownerActive');
  await waitFor('claim', () => isActive(other) || isActive(third));
  await new SystemClock().sleep(GRACE_MS);
  const phases = [
    await other.vm.frontend.phase(id, caller),
    await third.vm.frontend.phase(id, caller),
  ];
  other.vm.close();
  third.vm.close();
  const completed = {kind: 'phase', phase: 'completed'} as const;
  assert.equal(phases, [completed, completed]);
});

// It was frozen before it sent the row, and wakes after the next owner's claim.
vms('show no job as open for a late row of a former owner', async () => {
  const {memory, owner, other} = await startPair();
  const seeds = [owner.vm, other.vm].map(vm => vm.hello().self);
  const third = await startVm(memory, await newAddress('c'), 0.5, seeds, false);
  await waitFor('connection', () => third.vm.isReady);
  const id = 'job';
  const caller = {organisation: '', queue: QUEUE, timeoutMs: 3000};
  const spec = {payload: '', steps: [STEP], repetition: ONCE};
  const answer = await third.vm.frontend.submit({...caller, id, spec});
  assert.equal(answer, {kind: 'done'});
  const vms = [other, third];
  const haveAll = (count: number): boolean =>
    vms.every(({vm}) => vm.frontend.countWaiting(QUEUE.name) === count);
  await waitFor('row', () => haveAll(1));
  const value = encode({phase: 'completed', steps: []});
  memory.append(PROGRESS_TOPIC, [{key: `p/${id}`, value}], {});
  const {term} = owner.vm.heartbeat();
  owner.vm.close();
  const isActive = ({events}: TestVm): boolean =>
    events.includes('ownerActive');
  await waitFor('claim', () => vms.some(isActive));
  await waitFor('rows of the next owner', () => haveAll(0));
  const phases = [];
  for (const {vm} of vms) {
    const late = {id, phase: 'running', queue: 'q', organisation: ''} as const;
    const rows = {type: 'jobs', term, rows: [late]} as const;
    vm.handleNotice(owner.vm.hello(), {...rows, isFull: false});
    vm.handleNotice(owner.vm.hello(), {...rows, isFull: true});
    phases.push(await vm.frontend.phase(id, caller));
  }
  await new SystemClock().sleep(STALE_MS);
  // It is unknown for a moment where the owner's rows are late.
  await waitFor('counts', () => haveAll(0));
  const counts = vms.map(({vm}) => vm.frontend.countWaiting(QUEUE.name));
  for (const {vm} of vms) vm.close();
  const completed = {kind: 'phase', phase: 'completed'} as const;
  assert.equal(
    {phases, counts},
    {
      phases: [completed, completed],
      counts: [0, 0],
    },
  );
});

// Each call takes a connection, and those that were asked for had no bound.
vms('make a bounded number of calls to the store for peers', async () => {
  const {owner, other} = await startPair();
  const {vm, store} = other;
  store.isHeld = true;
  const ask = (by: string, topic: string, after = '') => {
    const from = {...owner.vm.hello(), self: {...SELF, vm: by}};
    const call = {op: 'newest', topic, after} as const;
    return vm.handleAsk(from, {type: 'storeAsk', call});
  };
  const held = Array.from({length: 1000}, () => ask('a', PROGRESS_TOPIC));
  const clock = new SystemClock();
  await clock.sleep(GRACE_MS);
  const {heldCalls} = store;
  assert.ok(heldCalls > 0 && heldCalls < 100, `${heldCalls} calls`);
  const sentMs = clock.monotonicMs();
  for (const [by, topic] of [
    ['a', OWNER_TOPIC],
    ['b', CONFIG_TOPIC],
  ] as const) {
    assert.is(((await ask(by, topic)) as StoreReply).failure, null, by);
  }
  assert.ok(clock.monotonicMs() - sentMs < GRACE_MS, 'another call waited');
  store.release();
  assert.is((await Promise.all(held)).length, 1000);
  owner.vm.close();
  other.vm.close();
});

vms.run();

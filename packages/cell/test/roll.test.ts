/** Which VM gets the cell while all VMs are restarted one after the other. */
import {chooseSuccessor, type Member} from '@dragonflyward/cell';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Cell, HEARTBEAT_PERIOD_MS, type VmSpec} from './processes.js';

/** How long all processes have run before the roll, in ms. */
const UPTIME_MS = 60_000;
/** Interval between two VMs of a roll: longer than a restart, in ms. */
const GAP_MS = 4000;
const SETTLE_MS = 5000;
const DOMAINS = ['d0', 'd1'];
const VMS_PER_DOMAIN = 4;

/** Large VMs in all domains. */
function largeVms(): readonly VmSpec[] {
  return Array.from({length: VMS_PER_DOMAIN * DOMAINS.length}, (_, i) => ({
    vm: `v${i}`,
    domain: DOMAINS[i % DOMAINS.length] ?? '',
    cores: 2,
  }));
}

/** Permutes the VMs in a way that differs for each seed. */
function shuffled(vms: readonly string[], seed: number): readonly string[] {
  const left = [...vms];
  const order: string[] = [];
  let state = seed;
  while (left.length > 0) {
    state = (state * 48_271) % 2_147_483_647;
    order.push(...left.splice(state % left.length, 1));
  }
  return order;
}

/** Starts a cell and waits until it has an owner. */
async function startCell(uptimeMs = UPTIME_MS): Promise<Cell> {
  const cell = new Cell(largeVms());
  await cell.clock.advance(uptimeMs);
  assert.ok(cell.owner);
  return cell;
}

async function roll(
  cell: Cell,
  order: readonly string[],
  gapMs: number,
): Promise<void> {
  for (const vm of order) {
    void cell.restart(vm);
    await cell.clock.advance(gapMs);
  }
  await cell.clock.advance(SETTLE_MS);
}

const rolls = suite('owners in a roll');

// The first successor can't be known to be spared, the next one can.
rolls('changes the owner no more than twice in a roll', async () => {
  const changes = [];
  for (let seed = 1; seed <= 10; seed += 1) {
    const cell = await startCell();
    const first = cell.owner?.spec.vm ?? '';
    const others = [...cell.running.keys()].filter(vm => vm !== first);
    const before = cell.owners.length;
    await roll(cell, [first, ...shuffled(others, seed)], GAP_MS);
    assert.ok(cell.owner);
    changes.push(cell.owners.length - before);
  }
  assert.ok(Math.max(...changes) <= 2, `changes of the owner: ${changes}`);
});

/** The VM that the owner would hand the cell to. */
function nextOwner({owner}: Cell): string {
  assert.ok(owner);
  const {domain} = owner.spec;
  const nowMs = owner.clockMs();
  const members = owner.members.connected();
  return chooseSuccessor(members, {domain, nowMs})?.address.vm ?? '';
}

rolls('hands no cell to a VM that was told to stop just before', async () => {
  const cell = await startCell();
  const leaving = nextOwner(cell);
  const before = cell.owners.length;
  void cell.restart(leaving);
  // Shorter than the time to its next heartbeat.
  await cell.clock.advance(HEARTBEAT_PERIOD_MS / 5);
  void cell.restart(cell.owner?.spec.vm ?? '');
  await cell.clock.advance(SETTLE_MS);
  assert.is(cell.owners.length, before + 1);
  assert.is.not(cell.owner?.spec.vm, leaving);
});

// The handover and the news of the shutdown are on the way at the same time.
rolls('needs no claim if the successor is told to stop as well', async () => {
  const cell = await startCell();
  const leaving = nextOwner(cell);
  const claims = cell.claims;
  const first = cell.owner?.spec.vm ?? '';
  void cell.restart(first);
  void cell.restart(leaving);
  await cell.clock.advance(SETTLE_MS);
  assert.ok(![first, leaving, undefined].includes(cell.owner?.spec.vm));
  assert.is(cell.claims, claims);
});

// Its connection stays open until it has been silent for a while.
rolls('hands no cell to a VM that has just lost power', async () => {
  const cell = await startCell();
  const silent = nextOwner(cell);
  const claims = cell.claims;
  void cell.cutPower(silent);
  await cell.clock.advance(2 * HEARTBEAT_PERIOD_MS);
  void cell.restart(cell.owner?.spec.vm ?? '');
  await cell.clock.advance(SETTLE_MS);
  assert.ok(cell.owner);
  assert.is(cell.claims, claims);
});

// The notice tells what former owners ordered, which a claim would lose.
rolls('takes over by a notice that other VMs overtake', async () => {
  const cell = await startCell();
  const next = nextOwner(cell);
  const claims = cell.claims;
  cell.handoverDelayMs = HEARTBEAT_PERIOD_MS / 5;
  void cell.restart(cell.owner?.spec.vm ?? '');
  await cell.clock.advance(SETTLE_MS);
  assert.is(cell.owner?.spec.vm, next);
  assert.is(cell.claims, claims);
});

rolls('owns the cell once if a notice meets its own claim', async () => {
  for (let delayMs = 250; delayMs <= 350; delayMs += 2) {
    const cell = await startCell(SETTLE_MS);
    const next = nextOwner(cell);
    const before = cell.owners.length;
    cell.handoverDelayMs = delayMs;
    void cell.restart(cell.owner?.spec.vm ?? '');
    await cell.clock.advance(SETTLE_MS);
    assert.is(cell.owner?.spec.vm, next);
    assert.is(cell.owners.length, before + 1, `${delayMs} ms`);
  }
});

rolls('claims the cell if the notice of its handover is lost', async () => {
  const cell = await startCell();
  const next = nextOwner(cell);
  cell.lostHandovers = 1;
  void cell.restart(cell.owner?.spec.vm ?? '');
  await cell.clock.advance(SETTLE_MS);
  assert.is(cell.lostHandovers, 0);
  assert.is(cell.owner?.spec.vm, next);
});

// It may crash again, and a crash does not show that a roll has passed it.
rolls('does not prefer a VM that came back from a crash', async () => {
  const cell = await startCell();
  const first = cell.owner;
  assert.ok(first);
  const {domain} = first.spec;
  const specs = [...cell.running.values()].map(({spec}) => spec);
  const distant = specs.find(spec => spec.domain !== domain);
  void cell.crash(distant?.vm ?? '');
  await cell.clock.advance(SETTLE_MS);
  void cell.restart(first.spec.vm);
  await cell.clock.advance(SETTLE_MS);
  assert.is(cell.owner?.spec.domain, domain);
});

const NOW_MS = 1_000_000;

function member(vm: string, state: Partial<Member> = {}): Member {
  return {
    address: {vm, ip: '', port: 0, incarnation: 1},
    domain: 'd0',
    cores: 2,
    isStoreOk: true,
    isDraining: false,
    configVersion: 1,
    restartedMs: -Infinity,
    heartbeatAt: {monotonicMs: NOW_MS, wallMs: NOW_MS},
    ...state,
  } as Member;
}

function choose(members: readonly Member[]): string {
  const predecessor = {domain: 'd0', nowMs: NOW_MS};
  return chooseSuccessor(members, predecessor)?.address.vm ?? '';
}

rolls('hands no cell to a VM without a configuration', () => {
  const starting = {configVersion: -1, restartedMs: NOW_MS - 10, cores: 8};
  assert.is(choose([member('a', starting), member('b')]), 'b');
});

rolls('hands the cell to a large VM rather than a restarted one', () => {
  const small = member('a', {cores: 1, restartedMs: NOW_MS - 1000});
  assert.is(choose([small, member('b')]), 'b');
});

rolls('hands the cell to the larger VM that the roll has passed', () => {
  const passed = {domain: 'd1', restartedMs: NOW_MS - 1000};
  assert.is(choose([member('a'), member('b', passed)]), 'b');
});

rolls('forgets a roll that was long ago', () => {
  const passed = {domain: 'd1', restartedMs: NOW_MS - 700_000};
  assert.is(choose([member('a', passed), member('b')]), 'b');
});

rolls.run();

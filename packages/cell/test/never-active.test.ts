/** What becomes of the cell while its owner loads the state and never acts. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Cell, type Load, type VmSpec} from './processes.js';
import {Rig, STEP} from './rig.js';

const ENDLESS: Load = {durationMs: Infinity, isProgressing: false};
/** A load that seems to go on: the process does not notice that it hangs. */
const HUNG: Load = {durationMs: Infinity, isProgressing: true};
const SETTLE_MS = 8000;

function large(vm: string): VmSpec {
  return {vm, domain: 'd', cores: 2};
}

function small(vm: string): VmSpec {
  return {vm, domain: 'd', cores: 0.3};
}

/** Starts a cell in which a small VM owns the cell and loads the state. */
async function startLoading(load: Load, others: number): Promise<Cell> {
  const cell = new Cell([small('s')]);
  cell.loads.set('s', load);
  await cell.clock.advance(1000);
  assert.is(cell.owner?.spec.vm, 's');
  for (let i = 0; i < others; i += 1) cell.start(large(`l${i}`));
  return cell;
}

const loading = suite('owner that never acts');

// A small VM with a narrow link may load for ever.
loading('hands the cell to a large VM before it has loaded', async () => {
  const cell = await startLoading(ENDLESS, 3);
  await cell.clock.advance(1500);
  assert.ok(cell.actingOwner.startsWith('l'), cell.actingOwner);
  await cell.clock.advance(SETTLE_MS);
  assert.equal(cell.active, [cell.actingOwner]);
  assert.is(cell.claims, 1);
});

/** Starts small VMs of which the first owns the cell and loads for ever. */
async function startSmall(others: number): Promise<Cell> {
  const cell = new Cell([small('s')]);
  cell.loads.set('s', ENDLESS);
  await cell.clock.advance(1000);
  for (let i = 0; i < others; i += 1) cell.start(small(`s${i}`));
  return cell;
}

loading('leaves the cell to a VM of its size if the load stalls', async () => {
  const cell = await startSmall(2);
  await cell.clock.advance(4000);
  assert.ok(['s0', 's1'].includes(cell.actingOwner), cell.actingOwner);
  await cell.clock.advance(10 * SETTLE_MS);
  assert.is(cell.owners.length, 2);
  assert.is(cell.running.get('s')?.loads, 0);
});

// They wait for a configuration, and claim the cell meanwhile.
loading('releases the cell if no other VM can act at once', async () => {
  const cell = await startSmall(2);
  for (const vm of ['s0', 's1']) {
    cell.unconfigured.add(vm);
    // They need longer for a claim than the VM that releases the cell.
    Object.assign(cell.running.get(vm)?.store.faults ?? {}, {delayMs: 70});
  }
  await cell.clock.advance(6000);
  assert.ok(['s0', 's1'].includes(cell.actingOwner), cell.actingOwner);
  assert.is(cell.claims, 2);
});

loading('keeps the cell while it is the only VM', async () => {
  const cell = await startSmall(0);
  await cell.clock.advance(3 * SETTLE_MS);
  assert.is(cell.owner?.spec.vm, 's');
  cell.loads.delete('s');
  await cell.clock.advance(200);
  assert.is(cell.actingOwner, 's');
  assert.is(cell.claims, 1);
});

loading('claims the cell again if the other VMs are gone', async () => {
  const cell = await startSmall(1);
  await cell.clock.advance(SETTLE_MS);
  assert.is(cell.actingOwner, 's0');
  cell.loads.delete('s');
  void cell.cutPower('s0');
  await cell.clock.advance(SETTLE_MS);
  assert.is(cell.actingOwner, 's');
});

// The small one prefers the large one as its successor.
loading('goes to and fro ever more rarely if a large VM fails', async () => {
  const cell = new Cell([large('l'), small('s0'), small('s1')]);
  cell.loads.set('l', ENDLESS);
  await cell.clock.advance(15_000);
  assert.is(cell.owners.filter(vm => vm === 'l').length, 1);
  assert.ok(['s0', 's1'].includes(cell.actingOwner), cell.actingOwner);
  await cell.clock.advance(165_000);
  const returns = cell.owners.filter(vm => vm === 'l').length;
  assert.ok(returns <= 4, `the large VM owned the cell ${returns} times`);
});

// Callers got no answers about jobs that the VM had not in its table.
loading('does not keep others from answering by the store', async () => {
  const cell = new Cell([large('l0'), large('l1')]);
  for (const vm of ['l0', 'l1']) {
    cell.loads.set(vm, {durationMs: 5000, isProgressing: true});
  }
  await cell.clock.advance(1000);
  const {owner} = cell;
  assert.ok(owner);
  const others = [...cell.running.values()].filter(each => each !== owner);
  const areDetached = (): readonly boolean[] => others.map(o => o.isDetached);
  await cell.clock.advance(2500);
  assert.equal([owner.isDetached, ...areDetached()], [false, true]);
  await cell.clock.advance(3000);
  assert.is(cell.actingOwner, owner.spec.vm);
  assert.equal([owner.isDetached, ...areDetached()], [false, false]);
});

// It served callers from the store before, and has its own state now.
loading(
  'reads the jobs for callers no more once it owns the cell',
  async () => {
    const cell = new Cell([large('l0'), large('l1')]);
    await cell.clock.advance(SETTLE_MS);
    cell.setStoreFaults({isRefusing: true});
    void cell.cutPower(cell.actingOwner);
    await cell.clock.advance(SETTLE_MS);
    const [left] = cell.running.values();
    assert.is(left?.isDetached, true);
    cell.setStoreFaults({isRefusing: false});
    await cell.clock.advance(SETTLE_MS);
    assert.is(cell.actingOwner, left?.spec.vm);
    assert.is(left?.isDetached, false);
  },
);

// Its heartbeats go on, in the store and to the other VMs.
loading('loses the cell if its process hangs in the load', async () => {
  const cell = new Cell([large('l0'), large('l1'), small('s')]);
  await cell.clock.advance(SETTLE_MS);
  const former = cell.actingOwner;
  const hung = former === 'l0' ? 'l1' : 'l0';
  cell.loads.set(hung, HUNG);
  void cell.cutPower(former);
  await cell.clock.advance(SETTLE_MS);
  assert.is(cell.owner?.spec.vm, hung);
  await cell.clock.advance(5000);
  assert.is(cell.actingOwner, 's');
  assert.is(cell.running.get(hung)?.isActing, false);
  assert.is(cell.running.get('s')?.metrics.read('idle_owner_claims_total'), 1);
  await cell.clock.advance(10_000);
  assert.is(cell.actingOwner, 's');
});

loading('loses the cell to a VM that failed before it', async () => {
  const cell = await startSmall(0);
  await cell.clock.advance(4000);
  cell.loads.set('l', HUNG).delete('s');
  cell.start(large('l'));
  await cell.clock.advance(1000);
  assert.is(cell.owner?.spec.vm, 'l');
  // Twice the usual time, since the owner before has not acted either.
  await cell.clock.advance(17_000);
  assert.is(cell.actingOwner, 's');
});

// It claims the cell before the hung process learns of that and can say it.
loading('does not return at once to a large VM that hung in it', async () => {
  const cell = new Cell([small('s')]);
  cell.loads.set('s', {durationMs: 1000, isProgressing: true});
  cell.loads.set('l', HUNG);
  await cell.clock.advance(500);
  cell.start(large('l'));
  await cell.clock.advance(1000);
  assert.is(cell.owner?.spec.vm, 'l');
  await cell.clock.advance(10_000);
  assert.is(cell.actingOwner, 's');
  assert.equal(cell.owners, ['s', 'l', 's']);
});

// Its back-off has ended, and its round trip to the store is shorter.
loading('goes to a VM that has not failed before one that has', async () => {
  const cell = await startSmall(2);
  await cell.clock.advance(30_000);
  assert.equal(cell.running.get('s')?.election.hasLoadFailed, false);
  const [, former] = cell.owners;
  const other = former === 's0' ? 's1' : 's0';
  Object.assign(cell.running.get(other)?.store.faults ?? {}, {delayMs: 70});
  cell.owner?.end();
  await cell.clock.advance(SETTLE_MS);
  assert.equal(cell.owners, ['s', former, other]);
});

// Else no owner of a large state would ever end its load.
loading('ends a load that is slow on all VMs', async () => {
  const cell = new Cell([large('l0'), large('l1'), large('l2')]);
  for (const vm of cell.running.keys()) {
    cell.loads.set(vm, {durationMs: 20_000, isProgressing: true});
  }
  await cell.clock.advance(60_000);
  assert.is.not(cell.actingOwner, '');
  assert.ok(cell.owners.length <= 4, `owners: ${cell.owners}`);
});

// Its heartbeats lack the field that tells whether it acts.
loading('keeps the cell if it is of an earlier version', async () => {
  const cell = new Cell([large('l0'), large('l1')]);
  for (const process of cell.running.values()) {
    process.isEarlierVersion = true;
    cell.loads.set(process.spec.vm, HUNG);
  }
  await cell.clock.advance(5 * SETTLE_MS);
  assert.is(cell.owners.length, 1);
});

// A load that nobody can end must not go round for that.
loading('keeps the cell while the store is out for all', async () => {
  for (const fault of ['isRefusing', 'isSilent']) {
    const cell = new Cell([small('s'), small('s0'), large('l0'), large('l1')]);
    for (const vm of cell.running.keys()) {
      cell.loads.set(vm, {durationMs: 2500, isProgressing: true});
    }
    await cell.clock.advance(1500);
    const {owner} = cell;
    assert.ok(owner?.spec.vm.startsWith('l'));
    const before = cell.owners.length;
    cell.setStoreFaults({[fault]: true});
    await cell.clock.advance(3 * SETTLE_MS);
    cell.setStoreFaults({[fault]: false});
    await cell.clock.advance(SETTLE_MS);
    assert.is(cell.actingOwner, owner?.spec.vm);
    assert.is(cell.owners.length, before);
    assert.is(cell.claims, 1);
  }
});

// The end of its load must publish no rows: they would count as those of a
// full update under the old term.
loading('does not act once it has handed the cell over', async () => {
  const rig = new Rig(1, () => ({ms: 100, how: 'done'}));
  rig.submit('job', [STEP], []);
  const node = rig.newNode('a');
  node.store.faults.delayMs = 300;
  void rig.claim(node);
  await rig.run(900);
  const {owner, ownership} = node;
  assert.ok(owner !== null && ownership !== null);
  assert.is(owner.state.jobs.size, 1);
  owner.close();
  void ownership.handOver({vm: 'b', ip: '', port: 0, incarnation: 9});
  await rig.run(SETTLE_MS);
  assert.equal([...rig.rows.keys()], []);
  assert.not.ok(rig.logLines.some(line => line.includes('ownerActive')));
});

loading.run();

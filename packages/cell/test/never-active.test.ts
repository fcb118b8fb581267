/** What becomes of the cell while its owner loads the state and never acts. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Cell, type Load, type VmSpec} from './processes.js';
import {Rig, STEP} from './rig.js';

const ENDLESS: Load = {durationMs: Infinity, isProgressing: false};
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

/**
 * An owner whose own link is cut or choked takes all executors for silent. Their
 * leases would expire, and what runs there would be started again elsewhere.
 */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Cell, type VmSpec} from './processes.js';

/** Time within which another VM owns the cell: well below a lease of 6 s. */
const HANDOVER_MS = 1500;
const SETTLE_MS = 12_000;
const MANY = {silent: 60, total: 100};

function vm(name: string, cores = 1): VmSpec {
  return {vm: name, domain: 'd', cores};
}

/** Starts a cell of VMs of which the first has owned it for a while. */
async function startCell(others: readonly VmSpec[]): Promise<Cell> {
  const cell = new Cell([vm('first')]);
  await cell.clock.advance(1000);
  for (const each of others) cell.start(each);
  await cell.clock.advance(SETTLE_MS);
  assert.is(cell.actingOwner, 'first');
  return cell;
}

const silence = suite('silence of most executors');

silence('moves the cell to a VM that may reach them', async () => {
  const cell = await startCell([vm('a'), vm('b')]);
  cell.silence.set('first', MANY);
  await cell.clock.advance(HANDOVER_MS);
  assert.ok(['a', 'b'].includes(cell.actingOwner), cell.actingOwner);
  assert.is(cell.claims, 1);
});

// The executors are gone, or cut off from all VMs.
silence('does not move the cell on and on', async () => {
  const cell = await startCell([vm('a'), vm('b')]);
  for (const name of ['first', 'a', 'b']) cell.silence.set(name, MANY);
  await cell.clock.advance(30_000);
  assert.ok(cell.owners.length <= 5, `${cell.owners.length} owners`);
});

for (const [what, silent, total] of [
  ['a part of them', 40, 100],
  ['very few', 3, 3],
] as const) {
  silence(`of ${what} moves nothing`, async () => {
    const cell = await startCell([vm('a'), vm('b')]);
    cell.silence.set('first', {silent, total});
    await cell.clock.advance(SETTLE_MS);
    assert.is(cell.actingOwner, 'first');
  });
}

silence('moves nothing to a smaller VM', async () => {
  const cell = await startCell([vm('small', 0.3)]);
  cell.silence.set('first', MANY);
  await cell.clock.advance(SETTLE_MS);
  assert.is(cell.actingOwner, 'first');
});

silence.run();

/** Which VM owns the cell where VMs differ in size or are cut off. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Cell, type VmSpec} from './processes.js';

const SETTLE_MS = 8000;
function large(vm: string): VmSpec {
  return {vm, domain: 'd', cores: 2};
}

function small(vm: string): VmSpec {
  return {vm, domain: 'd', cores: 0.3};
}

const choice = suite('choice of the owner');

// A VM that never reached it leaves it the cell: it writes heartbeats.
choice('is released by an owner that is cut off from all VMs', async () => {
  const cell = new Cell([large('a'), large('b')]);
  await cell.clock.advance(SETTLE_MS);
  const former = cell.actingOwner;
  const other = former === 'a' ? 'b' : 'a';
  cell.isolate(former);
  void cell.crash(other);
  await cell.clock.advance(SETTLE_MS);
  assert.is(cell.running.get(former)?.isActing, false);
  assert.is(cell.running.get(other)?.isActing, true);
});

// Each owner that is too small makes two changes of one.
choice('goes to a large VM rather than to a small one first', async () => {
  const cell = new Cell([small('s1'), small('s2'), large('l1'), large('l2')]);
  await cell.clock.advance(SETTLE_MS);
  const before = cell.owners.length;
  void cell.crash(cell.actingOwner);
  await cell.clock.advance(SETTLE_MS);
  const next = cell.owners.slice(before);
  assert.is(next.length, 1, `owners: ${next}`);
  assert.ok(next[0]?.startsWith('l'), `owners: ${next}`);
});

// A small VM can't follow all executors of a large cell.
choice('moves to a large VM that starts after a small one', async () => {
  const cell = new Cell([small('s1'), small('s2')]);
  await cell.clock.advance(SETTLE_MS);
  assert.is.not(cell.actingOwner, '');
  cell.start(large('l'));
  await cell.clock.advance(SETTLE_MS);
  assert.is(cell.actingOwner, 'l');
});

choice.run();

import {
  OWNER_IDLE_TIMEOUT_MS,
  OWNER_STALL_TIMEOUT_MS,
} from '@dragonflyward/state';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Cell, LEASE_MS, SILENCE_MS, type Member} from './cell.js';

/**
 * Maximum time from the owner's death until its shard starts urgent work again.
 */
const TAKEOVER_TIMEOUT_MS = 9_400;
const BETWEEN_HEARTBEATS_MS = 100;

const ownership = suite('ownership');

async function startCell(): Promise<{cell: Cell; owner: Member}> {
  const cell = new Cell();
  for (const vm of ['a', 'b', 'c', 'd']) cell.start(vm);
  await cell.run(5_000);
  const [owner] = cell.acting();
  assert.ok(owner);
  return {cell, owner};
}

ownership('gives a new shard one owner with two successors', async () => {
  const {cell, owner} = await startCell();
  assert.is(owner.ref.vm, 'a');
  assert.is(owner.state.successors.length, 2);
  cell.end();
});

ownership('passes to a successor when the owner dies', async () => {
  const {cell, owner} = await startCell();
  cell.kill(owner);
  await cell.run(TAKEOVER_TIMEOUT_MS);
  assert.is(cell.acting().length, 1);
  assert.is(cell.violations, 0);
  cell.end();
});

ownership('lasts through an outage of the log by promises', async () => {
  const {cell, owner} = await startCell();
  cell.log.isDown = true;
  await cell.run(120_000);
  assert.ok(owner.ownership.mayAct());
  cell.end();
});

ownership('ends when the owner is cut off from log and peers', async () => {
  const {cell, owner} = await startCell();
  owner.client.isOffline = true;
  owner.isCutFromPeers = true;
  await cell.run(LEASE_MS + SILENCE_MS);
  assert.not(owner.ownership.mayAct());
  await cell.run(TAKEOVER_TIMEOUT_MS);
  assert.is(cell.acting().length, 1);
  assert.is(cell.violations, 0);
  cell.end();
});

ownership('passes on when only the owner cannot read the log', async () => {
  const {cell, owner} = await startCell();
  owner.client.isOffline = true;
  await cell.run(OWNER_STALL_TIMEOUT_MS + TAKEOVER_TIMEOUT_MS);
  assert.is(cell.acting().length, 1);
  assert.is.not(cell.acting()[0], owner);
  assert.is(cell.acting()[0]?.ownership.term, 2);
  assert.is(cell.violations, 0);
  cell.end();
});

ownership('stays when a successor is restarted', async () => {
  const {cell, owner} = await startCell();
  const [successor] = owner.state.successors;
  const member = successor && cell.find(successor);
  assert.ok(member);
  await cell.run(BETWEEN_HEARTBEATS_MS);
  cell.kill(member);
  cell.start(member.ref.vm, 2);
  await cell.run(10_000);
  assert.equal(
    cell.acting().map(m => m.ref),
    [owner.ref],
  );
  assert.is(owner.ownership.term, 1);
  cell.end();
});

ownership('lasts and passes on while the log is slow', async () => {
  const {cell, owner} = await startCell();
  cell.log.latencyMs = LEASE_MS + 500;
  await cell.run(60_000);
  assert.ok(owner.ownership.mayAct());
  cell.kill(owner);
  await cell.run(30_000);
  assert.is(cell.acting().length, 1);
  assert.is(cell.violations, 0);
  cell.end();
});

ownership(
  'nobody may act after the owner dies while the log is down',
  async () => {
    const {cell, owner} = await startCell();
    cell.log.isDown = true;
    cell.kill(owner);
    await cell.run(180_000);
    assert.is(cell.acting().length, 0);
    cell.log.isDown = false;
    await cell.run(TAKEOVER_TIMEOUT_MS);
    assert.is(cell.acting().length, 1);
    cell.end();
  },
);

ownership('is handed over without a gap', async () => {
  const {cell, owner} = await startCell();
  const [successor] = owner.state.successors;
  assert.ok(successor);
  const done = owner.ownership.handOver(successor, []);
  await cell.run(1_000);
  assert.ok(await done);
  assert.equal(
    cell.acting().map(m => m.ref),
    [successor],
  );
  assert.is(cell.violations, 0);
  cell.end();
});

ownership('passes on when the new owner cannot read the handover', async () => {
  const {cell, owner} = await startCell();
  const [successor, other] = owner.state.successors;
  const member = successor && cell.find(successor);
  assert.ok(member && other);
  member.client.isOffline = true;
  void owner.ownership.handOver(successor, [other, owner.ref]);
  await cell.run(OWNER_IDLE_TIMEOUT_MS + TAKEOVER_TIMEOUT_MS);
  assert.is(cell.acting().length, 1);
  assert.is.not(cell.acting()[0], member);
  assert.is(cell.violations, 0);
  cell.end();
});

/** Returns the term after a log outage in which a successor died. */
async function termAfterOutage(outageMs: number): Promise<number> {
  const {cell, owner} = await startCell();
  const [successor] = owner.state.successors;
  const member = successor && cell.find(successor);
  assert.ok(member);
  cell.log.isDown = true;
  cell.kill(member);
  await cell.run(outageMs);
  assert.is(cell.acting().length, 0);
  cell.log.isDown = false;
  await cell.run(TAKEOVER_TIMEOUT_MS);
  assert.is(cell.acting().length, 1);
  const {term} = owner.ownership;
  cell.end();
  return term;
}

ownership('stays after a log outage in which a successor died', async () => {
  const outageMs = OWNER_IDLE_TIMEOUT_MS + TAKEOVER_TIMEOUT_MS;
  for (let phaseMs = 0; phaseMs < 1_000; phaseMs += BETWEEN_HEARTBEATS_MS) {
    assert.is(await termAfterOutage(outageMs + phaseMs), 1, `${phaseMs} ms`);
  }
});

ownership('comes back to a restarted VM when all others are gone', async () => {
  const {cell, owner} = await startCell();
  for (const member of cell.members) cell.kill(member);
  await cell.run(2_000);
  const restarted = cell.start(owner.ref.vm, 2);
  await cell.run(TAKEOVER_TIMEOUT_MS);
  assert.ok(restarted.ownership.mayAct());
  cell.end();
});

ownership('comes back when all VMs were replaced', async () => {
  const {cell} = await startCell();
  for (const member of cell.members) {
    cell.kill(member);
    cell.droppedVms.add(member.ref.vm);
  }
  cell.start('e');
  cell.start('f');
  await cell.run(30_000);
  assert.is(cell.acting().length, 1);
  assert.is(cell.violations, 0);
  cell.end();
});

ownership.run();

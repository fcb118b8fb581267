/** Lines that tell why starts of an owner are late: tickets, starts, rounds. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  recordTickets,
  RoundStatistics,
  StartCounts,
  TicketUse,
} from '@dragonflyward/cell';
import {newAdvice, size} from './random-load.js';
import {LoadSimulation} from './load-simulation.js';
import {QUEUE, STEP} from './rig.js';

const ADVISED = {...QUEUE, advice: newAdvice(10, 1)};
const HALF = {...STEP, count: 2, size: size(8000, 100)};

const lines = suite('lines on late starts');

lines('tell what becomes of tickets', () => {
  const options = {queues: [ADVISED], vmCount: 1, isPermitted: () => true};
  const rig = new LoadSimulation(options);
  rig.addExecutors(ADVISED.service, 2, i =>
    size(i === 0 ? 16_000 : 1000, 1000),
  );
  rig.addJob('a', ADVISED, [HALF]);
  const [step] = rig.state.pendingSteps;
  const [first, second] = step?.tasks ?? [];
  const [executor] = rig.state.executors.values();
  if (!step || !first || !second || !executor) throw new Error('no step');
  const tickets = [...rig.state.executors.keys()].map(executorId => {
    return {executorId, ticket: 't'};
  });
  const use = new TicketUse();
  recordTickets(step, tickets, Infinity, []);
  use.recordArrival(step, tickets, rig.state.executors);
  for (const task of [first, second]) {
    rig.state.startTask(task, executor, 1, 0);
    use.recordStart([task]);
  }
  use.recordArrival(step, tickets, rig.state.executors);
  const counts = use.takeReport().get(ADVISED.name);
  assert.equal(counts, {withRoom: 1, unneeded: 2, used: 1});
  assert.is(use.takeReport().size, 0);
});

lines('tell why starts failed', () => {
  const counts = new StartCounts();
  counts.recordStarts(3);
  counts.recordFailure('notAllowed', 'lease');
  counts.recordFailure('notAllowed', 'lease');
  counts.recordFailure('noRoom', null);
  const failed = {lease: 2, noRoom: 1};
  assert.equal(counts.takeReport(), {starts: 3, failed});
  assert.equal(counts.takeReport(), {starts: 0, failed: {}});
});

lines('tell how long rounds take and are waited for', () => {
  const statistics = new RoundStatistics();
  statistics.add(5, 20);
  statistics.add(10, 30);
  statistics.addSkipped();
  const times = {rounds: 2, sumMs: 15, maxMs: 10, waitMs: 50, skipped: 1};
  assert.equal(statistics.takeReport(), times);
  assert.is(statistics.takeReport().rounds, 0);
});

lines.run();

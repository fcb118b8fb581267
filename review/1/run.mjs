// One job with many repetitions: the process that owns the cell runs out of
// memory when it takes the job in, and so does each process that owns it next.
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {newId, runCase} from '../standin/cell.mjs';
import {nowMs, sleep} from '../standin/platform.mjs';

const DIR = dirname(fileURLToPath(import.meta.url));
/** A job of every five minutes for thirty days, 60 tasks each time. */
const INTERVAL_MS = 300_000;
const REPETITIONS = 8640;
const TASKS = 60;
/** The small jobs that were accepted before are due by then. */
const DUE_MS = 10_000;
const WATCH_MS = 30_000;
const FINISH_MS = 14_000;

await runCase(DIR, async (cell, isTroubled) => {
  await cell.start({
    vms: 3,
    executors: 4,
    behave: () => ({ms: 1500, how: 'done'}),
  });
  if (!(await cell.waitReady())) throw new Error('the VMs are not ready');
  const step = {
    count: 3,
    cpu: 500,
    'requested-memory-mb': 256,
    'estimated-ms': 1500,
  };
  const first = newId();
  if (!(await cell.submit(first, {spec: 'first', steps: [step]})))
    throw new Error('no first job');
  if ((await cell.waitState(first, ['completed'], 15_000)) !== 'completed') {
    throw new Error('the first job did not end');
  }
  const accepted = [];
  for (let i = 0; i < 3; i += 1) {
    const id = newId();
    const timed = {
      repetitions: 1,
      'first-run-ms': Date.now() + DUE_MS,
      'interval-ms': 0,
    };
    if (!(await cell.submit(id, {spec: 'timed', steps: [step], ...timed})))
      throw new Error('no timed job');
    accepted.push(id);
  }
  const series = newId();
  const isTaken = await cell.submit(series, {
    spec: 'report',
    steps: [{...step, count: TASKS}],
    repetitions: isTroubled ? REPETITIONS : 12,
    'first-run-ms': Date.now() + 3_600_000,
    'interval-ms': INTERVAL_MS,
  });
  cell.record('series', {isTaken});
  if (!isTroubled && !isTaken) throw new Error('the series was not accepted');
  // Other clients go on with small jobs.
  const untilMs = nowMs() + WATCH_MS;
  while (nowMs() < untilMs) {
    const id = newId();
    const reply = await cell.call(
      'POST',
      id,
      {spec: 'other', steps: [step]},
      {vm: accepted.length % 3},
    );
    if (reply?.status === 200) accepted.push(id);
    await sleep(1500);
  }
  await sleep(FINISH_MS);
  const broken = [];
  const vms = new Set(cell.exits.map(({vm}) => vm));
  const counts = cell.vms.map(
    ({name}) => cell.exits.filter(({vm}) => vm === name).length,
  );
  cell.record('exits', {counts});
  if (counts.filter(count => count >= 3).length >= 2) {
    broken.push(
      `Fault: processes ended by themselves ${counts.join(', ')} times on the ${vms.size} VMs`,
    );
  }
  const states = await Promise.all(
    accepted.map(id => cell.state(id, {timeoutMs: 5000})),
  );
  cell.record('states', {states});
  const lost = states.filter(state => state !== 'completed');
  if (lost.length > 0) {
    broken.push(
      `LOST: ${lost.length} of ${accepted.length} accepted small jobs did not complete; their states: ${lost.join(', ')}`,
    );
  }
  return broken;
});

// An executor refuses starts while the other executors are full.
import {configOf, newJobId, nowMs, runCase, sleep} from '../standin-2/cell.mjs';

const EXECUTORS = 10;
/** Each of the first jobs fills an executor, which then has room for the others. */
const FIRST_CPU = 16_000;
const LATER_CPU = 2000;
const WAITING_JOBS = 8;
const LONG_MS = 60_000;
/** How long the first jobs run on the executor that turns grey. */
const SHORT_MS = 12_000;
const GREY_MS = 6000;
/** `visible_ms` and 2 s more. */
const COUNTED_AFTER_MS = 5000;

await runCase(import.meta.url, async (cell, isTroubled) => {
  await cell.startPlatform(configOf(['batch']));
  for (let i = 0; i < 3; i += 1) cell.addVm().start(3);
  for (let i = 0; i < EXECUTORS; i += 1) {
    const ms = i === EXECUTORS - 1 ? SHORT_MS : LONG_MS;
    await cell.addExecutor({
      service: 'batch',
      behave: () => ({ms, how: 'done'}),
    });
  }
  const grey = cell.executors.at(-1);
  await cell.ready();
  await sleep(2000);
  const submit = async (i, cpu) => {
    const step = {
      count: 1,
      cpu,
      'requested-memory-mb': 1024,
      'estimated-ms': 30_000,
    };
    const id = newJobId();
    const vm = cell.vms[i % cell.vms.length];
    const {status} = await vm.call('POST', `/batch/${id}`, {
      spec: 'plan',
      steps: [step],
    });
    if (status !== 200) throw new Error(`a job was not accepted: ${status}`);
    return {id, acceptedMs: nowMs()};
  };
  const jobs = [];
  for (let i = 0; i < EXECUTORS; i += 1) jobs.push(await submit(i, FIRST_CPU));
  const fullMs = nowMs();
  while (grey.running.size < 1 && nowMs() < fullMs + 5000) await sleep(20);
  if (grey.running.size < 1) throw new Error('the executors are not full');
  for (let i = 0; i < WAITING_JOBS; i += 1)
    jobs.push(await submit(i, LATER_CPU));
  // Its task ends soon after it has turned grey.
  while (grey.clockMs < [...grey.running.values()][0].sinceMs + SHORT_MS - 300)
    await sleep(20);
  if (isTroubled) {
    grey.isGrey = true;
    cell.write({at: 'executor turns grey', id: grey.id});
  }
  const startMs = nowMs();
  const broken = [];
  while (nowMs() - startMs < GREY_MS) {
    const begun = new Set(
      cell.entries
        .filter(({at}) => at === 'run started')
        .map(({run}) => run.split('.')[0]),
    );
    const askedMs = nowMs();
    const unbegun = jobs.filter(
      ({id, acceptedMs}) =>
        askedMs - acceptedMs > COUNTED_AFTER_MS && !begun.has(id),
    ).length;
    for (const vm of cell.vms) {
      const {status, body} = await vm.call('GET', '/batch/');
      if (status !== 200) continue;
      // Jobs may have begun while the count was asked for.
      const begunNow =
        new Set(
          cell.entries
            .filter(({at}) => at === 'run started')
            .map(({run}) => run.split('.')[0]),
        ).size - begun.size;
      if (body.waiting < (unbegun - begunNow) / 2) {
        broken.push(
          `MIXED: ${vm.name} gives ${body.waiting} as waiting; ${unbegun} have not begun`,
        );
      }
    }
    await sleep(250);
  }
  grey.isGrey = false;
  cell.write({at: 'grey ends', id: grey.id});
  return broken;
});

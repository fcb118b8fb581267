// A route is sent to another service, and then the VM that schedules is shut
// down, while tasks of the route run on executors of the first service.
import {
  FAR_ZONE,
  configOf,
  newJobId,
  nowMs,
  runCase,
  sleep,
} from '../standin-2/cell.mjs';
import {Proxy} from '../standin-2/proxy.mjs';

const EXECUTORS = 6;
const TASKS = 4;
const WORK_MS = 20_000;
/** One way between regions, in ms. */
const REGION_MS = 30;
/** `config-apply-ms` and more. */
const APPLY_MS = 4000;

await runCase(import.meta.url, async (cell, isTroubled) => {
  const config = configOf(['alpha', 'beta']);
  await cell.startPlatform(config);
  for (let i = 0; i < 3; i += 1) cell.addVm().start(3);
  const behave = () => ({ms: WORK_MS, how: 'done'});
  for (let i = 0; i < EXECUTORS; i += 1) {
    await cell.addExecutor({service: 'beta', behave});
    // Those of the first service are in another region than the VMs.
    const executor = await cell.addExecutor({
      service: 'alpha',
      zone: FAR_ZONE,
      rack: 'r9-1',
      behave,
    });
    const proxy = new Proxy(executor.ip, executor.port, REGION_MS);
    await proxy.listen(`${cell.net}.3`);
    executor.address = `${proxy.ip}:${proxy.port}`;
    executor.publish();
  }
  await cell.ready();
  await sleep(3000);
  const id = newJobId();
  const step = {
    count: TASKS,
    cpu: 2000,
    'requested-memory-mb': 1024,
    'estimated-ms': WORK_MS,
    'anti-affinity': 1,
  };
  const job = {spec: 'cutting list', steps: [step]};
  const {status} = await cell.vms[0].call('POST', `/alpha/${id}`, job);
  if (status !== 200) throw new Error(`the job was not accepted: ${status}`);
  await sleep(1500);
  const started = cell.entries.filter(({at}) => at === 'run started').length;
  if (started !== TASKS) throw new Error(`${started} tasks have started`);
  const owner = cell.vms.find(vm => vm.events('ownerActive').length > 0);
  if (isTroubled) {
    const [route, ...others] = config.routes;
    const moved = {...route, service: 'beta'};
    const next = {...config, version: 4, routes: [moved, ...others]};
    cell.store.put('keyed.op', 'config', next);
    cell.write({at: 'version 4 sends the route to beta'});
    await sleep(APPLY_MS);
    owner.signal('SIGTERM');
    cell.write({at: 'SIGTERM', vm: owner.name});
  }
  const broken = new Map();
  const endMs = nowMs() + 10_000;
  while (nowMs() < endMs) {
    const runs = new Map();
    for (const executor of cell.executors) {
      for (const {task, run} of executor.running.values()) {
        runs.set(task, [
          ...(runs.get(task) ?? []),
          `#${run} on ${executor.id}`,
        ]);
      }
    }
    for (const [task, found] of runs) {
      if (found.length < 2 || broken.has(task)) continue;
      broken.set(task, `TWICE: ${task} runs ${found.join(' and ')}`);
    }
    await sleep(2);
  }
  return [...broken.values()];
});

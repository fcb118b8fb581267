/** Runs simulated workers, each at its own address, in one process. */
import {Command} from 'commander';
import {serve} from './service.js';
import {WorkerService} from './worker-service.js';

const command = new Command('standin-worker')
  .argument('<workers...>', 'id,ip,port,cpuMilli,memMb,accelerators')
  .parse();

for (const spec of command.args) {
  const [id = '', ip = '', port, ...amounts] = spec.split(',');
  const [cpuMilli = 0, memMb = 0, accel = 0] = amounts.map(Number);
  const capacity = {cpuMilli, memMb, accel, slots: 0};
  await serve(ip, Number(port), new WorkerService(id, capacity));
}

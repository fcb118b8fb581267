/** Runs simulated executors, each at its own address, in one process. */
import {Command} from 'commander';
import {ExecutorService} from './executor-service.js';
import {listen} from './service.js';

const command = new Command('standin-executor')
  .argument('<executors...>', 'ip,port,slots')
  .parse();

for (const spec of command.args) {
  const [ip = '', port, slots] = spec.split(',');
  const executor = new ExecutorService(Number(slots));
  await listen(executor.makeServer(), ip, Number(port));
}

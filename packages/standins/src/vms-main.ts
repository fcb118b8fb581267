/** Runs the stand-in for the platform's list of VMs. */
import {Command} from 'commander';
import {VmListService} from './vms-service.js';
import {serve} from './service.js';

interface Options {
  readonly ip: string;
  readonly port: string;
}

const command = new Command('standin-vms')
  .requiredOption('--ip <ip>', 'address to listen on')
  .requiredOption('--port <port>', 'port to listen on')
  .parse();
const {ip, port} = command.opts<Options>();
await serve(ip, Number(port), new VmListService());

/** Runs the stand-in for the log service. */
import {Command} from 'commander';
import {LogService} from './log-service.js';
import {serve} from './service.js';

interface Options {
  readonly ip: string;
  readonly port: string;
}

const command = new Command('standin-log')
  .requiredOption('--ip <ip>', 'address to listen on')
  .requiredOption('--port <port>', 'port to listen on')
  .parse();
const {ip, port} = command.opts<Options>();
await serve(ip, Number(port), new LogService());

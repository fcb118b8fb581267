// Starts the program of the deploy file on a few entry VMs, each a process of
// its own with a loopback address of its own, and calls it as clients do.
import {spawn} from 'node:child_process';
import {
  createWriteStream,
  mkdtempSync,
  rmSync,
  writeFileSync,
  appendFileSync,
  readFileSync,
} from 'node:fs';
import http from 'node:http';
import {tmpdir} from 'node:os';
import {join, dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Buffer} from 'node:buffer';
import {Executor, findSubnet, nowMs, sleep, Store} from './platform.mjs';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
export const HOST = 'ficu95.example';
export const KEY = 'key-1';
const PORTS = {frontend: 8686, control: 8688, ready: 8689, metrics: 9464};
/** A process that has ended is started again after this time, in ms. */
const RESTART_MS = 1000;

/** The command of deploy/system.toml. */
function deployCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const run = /^run = "(.*)"$/m.exec(text)?.[1];
  if (run === undefined) throw new Error('no command in deploy/system.toml');
  return run.split(' ');
}

export class Cell {
  vms = [];
  executors = [];
  exits = [];
  isClosed = false;
  startedMs = nowMs();

  constructor(recordFile) {
    this.recordFile = recordFile;
    writeFileSync(recordFile, '');
    this.dir = mkdtempSync(join(tmpdir(), 'review-'));
    this.store = new Store();
  }

  record(event, fields = {}) {
    const at = ((nowMs() - this.startedMs) / 1000).toFixed(3);
    appendFileSync(
      this.recordFile,
      `${at} ${event} ${JSON.stringify(fields)}\n`,
    );
  }

  async start({
    vms = 3,
    executors = 4,
    behave,
    config = {},
    memory = 64000,
    cpu = 16000,
    isQuiet = false,
    uptimeMs = 0,
  }) {
    const hosts = [...Array(vms).keys()].map(i => i + 1);
    this.base = await findSubnet(Object.values(PORTS), hosts);
    const platformIp = `${this.base}.100`;
    const storePort = await this.store.listen(platformIp);
    this.publish({...baseConfig(), ...config});
    for (let i = 0; i < executors; i += 1) {
      const options = {
        id: `w-${i + 1}`,
        service: 'ordini',
        ip: `${this.base}.${101 + i}`,
        zone: 'veneto-a',
        capacity: {cpu, 'requested-memory-mb': memory, gpus: 0},
        uptimeMs,
        labels: ['a', `r1-${Math.floor(i / 5)}`],
      };
      const record = isQuiet ? () => undefined : (e, f) => this.record(e, f);
      const executor = new Executor(this.store, options, behave, record);
      await executor.start();
      this.executors.push(executor);
    }
    const seeds = hosts
      .map(host => `${this.base}.${host}:${PORTS.control}`)
      .join(',');
    for (const host of hosts) {
      const ip = `${this.base}.${host}`;
      const name = `frontend-veneto-a-${host}`;
      const settings = join(this.dir, `${name}.conf`);
      writeFileSync(
        settings,
        settingsText({name, ip, seeds, store: `${platformIp}:${storePort}`}),
      );
      const log = createWriteStream(join(this.dir, `${name}.log`), {
        flags: 'a',
      });
      const vm = {name, ip, settings, log, child: null};
      this.vms.push(vm);
      this.startVm(vm);
    }
  }

  startVm(vm) {
    const [command, ...args] = deployCommand();
    const child = spawn(command === 'node' ? process.execPath : command, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        DRAGONFLYWARD_CONFIG: vm.settings,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pipe(vm.log, {end: false});
    child.stderr.pipe(vm.log, {end: false});
    vm.child = child;
    this.record('vmStarted', {vm: vm.name});
    child.on('exit', (code, signal) => {
      vm.child = null;
      if (this.isClosed) return;
      this.exits.push({vm: vm.name, code, signal, ms: nowMs()});
      this.record('vmEnded', {vm: vm.name, code, signal});
      setTimeout(() => {
        if (!this.isClosed) this.startVm(vm);
      }, RESTART_MS);
    });
  }

  publish(config) {
    this.store.put('keyed.op', 'config', Buffer.from(JSON.stringify(config)));
  }

  /** Waits until all VMs are ready for callers. */
  async waitReady(timeoutMs = 20_000) {
    const untilMs = nowMs() + timeoutMs;
    while (nowMs() < untilMs) {
      const ready = await Promise.all(this.vms.map(vm => this.isReady(vm)));
      if (ready.every(Boolean)) return true;
      await sleep(200);
    }
    return false;
  }

  async isReady(vm) {
    const reply = await request({
      ip: vm.ip,
      port: PORTS.ready,
      method: 'GET',
      path: '/readiness',
    });
    return reply?.status === 200;
  }

  /** Calls a VM; null if no complete response came in time. */
  async call(
    method,
    id,
    body,
    {
      vm = 0,
      timeoutMs = 3000,
      key = KEY,
      prefix = '/lohu930/',
      isQuiet = false,
    } = {},
  ) {
    const reply = await request({
      ip: this.vms[vm].ip,
      port: PORTS.frontend,
      method,
      path: prefix + id,
      headers: {
        host: HOST,
        authorization: `Bearer ${key}`,
        'content-type': 'application/json',
        'x-dragonflyward-deadline-remaining': String(timeoutMs),
      },
      body: body === undefined ? '' : JSON.stringify(body),
      timeoutMs,
    });
    if (!isQuiet) {
      this.record('call', {
        method,
        id,
        vm: this.vms[vm].name,
        status: reply?.status ?? null,
        body: reply?.body.slice(0, 120),
      });
    }
    return reply;
  }

  /** Submits a job as a client does: with retries under the same id. */
  async submit(id, body) {
    for (let i = 0; i < 6; i += 1) {
      const reply = await this.call('POST', id, body, {
        vm: i % this.vms.length,
      });
      if (reply?.status === 200) return true;
      await sleep(500);
    }
    return false;
  }

  /** A job's state: 'none' for 410, null for no usable answer of any VM. */
  async state(id, options = {}) {
    for (let vm = 0; vm < this.vms.length; vm += 1) {
      const reply = await this.call('GET', id, undefined, {...options, vm});
      if (reply?.status === 200) return JSON.parse(reply.body).state;
      if (reply?.status === 410) return 'none';
    }
    return null;
  }

  async waitState(id, wanted, timeoutMs) {
    const untilMs = nowMs() + timeoutMs;
    for (;;) {
      const state = await this.state(id, {isQuiet: true});
      if (wanted.includes(state) || nowMs() > untilMs) {
        this.record('state', {id, state});
        return state;
      }
      await sleep(250);
    }
  }

  async close() {
    this.isClosed = true;
    const ended = this.vms.map(({child}) =>
      child === null
        ? null
        : new Promise(resolve => child.once('exit', resolve)),
    );
    for (const {child} of this.vms) child?.kill('SIGKILL');
    await Promise.all(ended);
    for (const each of this.executors) each.close();
    this.store.close();
    for (const {log} of this.vms) log.end();
    if (process.env.KEEP_LOGS) console.error(`logs: ${this.dir}`);
    else rmSync(this.dir, {recursive: true, force: true});
  }
}

function request({
  ip,
  port,
  method,
  path,
  headers = {},
  body = '',
  timeoutMs = 1000,
}) {
  return new Promise(resolve => {
    const req = http.request({
      host: ip,
      port,
      method,
      path,
      agent: false,
      headers: {...headers, 'content-length': Buffer.byteLength(body)},
    });
    const timer = setTimeout(() => finish(null), timeoutMs);
    const finish = reply => {
      clearTimeout(timer);
      if (reply === null) req.destroy();
      resolve(reply);
    };
    req.on('error', () => finish(null));
    req.on('response', res => {
      const chunks = [];
      res.on('data', chunk => chunks.push(chunk));
      res.on('error', () => finish(null));
      res.on('close', () => {
        if (res.complete)
          finish({
            status: res.statusCode,
            body: Buffer.concat(chunks).toString(),
          });
        else finish(null);
      });
    });
    req.end(body);
  });
}

function baseConfig() {
  return {
    version: 1,
    routes: [
      {
        name: 'r-1',
        host: HOST,
        'path-prefix': '/lohu930/',
        service: 'ordini',
        priority: 1,
        'max-attempts': 4,
        stretch: 2,
        'target-latency-ms': 1000,
      },
    ],
    services: [{name: 'ordini'}],
    limits: {'max-body-bytes': 262144},
    tenants: [{name: 'filo260', weight: 100, 'api-keys': [KEY]}],
  };
}

function settingsText({name, ip, seeds, store}) {
  return [
    `node-name=${name}`,
    'role=entry',
    'machine-class=frontend',
    'serves=frontend,control_plane',
    `ip-address=${ip}`,
    'zone=veneto-a',
    'region=veneto',
    'zones.veneto-a=veneto',
    `listen-addresses.frontend=${ip}:${PORTS.frontend}`,
    `listen-addresses.ready=${ip}:${PORTS.ready}`,
    `listen-addresses.control=${ip}:${PORTS.control}`,
    'internal-port-range=7180,7195',
    `seeds=${seeds}`,
    'bootstrap=true',
    'limits.cpu-share=0.675',
    'limits.cores=1',
    'limits.memory-mb=350',
    'limits.file-descriptors=4100',
    'heartbeat-interval-ms=1500',
    'bounds.contact-ms=4000',
    'bounds.drain-ms=3000',
    'bounds.grace-s=6',
    'bounds.max-hold-ms=10000',
    'bounds.stop-timeout-ms=400',
    'bounds.visible_ms=3000',
    'bounds.finish_s=14',
    'orders=request',
    'advice=',
    `platform.address=${store}`,
    'platform.form=log',
    'platform.record-bytes=262144',
    'platform.request-bytes=2097152',
    'platform.keep_s=300',
    '',
  ].join('\n');
}

let idCount = 0;
/** A job's id: 16 hexadecimal digits. */
export function newId() {
  idCount += 1;
  const head = Math.floor(Math.random() * 2 ** 32)
    .toString(16)
    .padStart(8, '0');
  return head + (idCount + 0x10000000).toString(16);
}

/** Runs a case: exit code 1 if it returns reasons, 0 if none, 2 if it throws. */
export async function runCase(dir, play) {
  const cell = new Cell(process.env.RECORD ?? join(dir, 'record.txt'));
  const isTroubled = process.env.TROUBLE !== '0';
  cell.record('case', {trouble: isTroubled});
  let code = 2;
  const guard = setTimeout(() => {
    cell.record('tooLong');
    void cell.close().finally(() => process.exit(2));
  }, 115_000);
  try {
    const broken = await play(cell, isTroubled);
    code = broken.length > 0 ? 1 : 0;
    for (const line of broken) {
      cell.record('broken', {line});
      console.log(`broken: ${line}`);
    }
    if (code === 0) console.log('held');
  } catch (err) {
    cell.record('couldNotRun', {err: String(err?.stack ?? err)});
    console.log(`could not run: ${err}`);
  }
  clearTimeout(guard);
  await cell.close();
  process.exit(code);
}

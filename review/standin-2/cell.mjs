// Starts a small deployment: the real program on some VMs, with the stand-ins
// of the platform, and calls it as clients do.
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import http from 'node:http';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {fileURLToPath, URL} from 'node:url';
import {Advice, Executor, Store} from './platform.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
/** Zones of the VMs, each in a region of its own. */
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
/** A zone without VMs, in a region of its own. */
export const FAR_ZONE = 'zone-d';
export const HOST = 'site.example';
export const KEY = 'key-one';

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
export const nowMs = () => performance.now();

/** The command of the deploy file. */
function command() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** A deployment; `close` ends all that it has started. */
export class Cell {
  constructor(dir) {
    this.recordFile = join(dir, 'record.txt');
    writeFileSync(this.recordFile, '');
    this.startMs = nowMs();
    this.entries = [];
    this.dir = mkdtempSync(join(tmpdir(), 'cell-'));
    // Ports are fixed by the program, so each VM has an address of its own.
    this.net = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
    this.vms = [];
    this.executors = [];
    this.store = new Store();
    this.advice = new Advice();
    this.record = entry => this.write(entry);
    process.on('exit', () => this.close());
    for (const name of ['SIGINT', 'SIGTERM'])
      process.on(name, () => process.exit(2));
  }

  /** Milliseconds since the start of the case. */
  get atMs() {
    return Math.round(nowMs() - this.startMs);
  }

  write(entry) {
    const timed = {ms: this.atMs, ...entry};
    this.entries.push(timed);
    appendFileSync(this.recordFile, `${JSON.stringify(timed)}\n`);
  }

  async startPlatform(config) {
    await this.store.listen(`${this.net}.1`);
    await this.advice.listen(`${this.net}.1`);
    this.store.put('keyed.op', 'config', config);
  }

  async addExecutor(options) {
    const i = this.executors.length;
    const executor = new Executor({
      id: `i-${1000 + i}`,
      ip: `${this.net}.2`,
      zone: ZONES[i % ZONES.length],
      rack: `r${i % ZONES.length}-1`,
      capacity: {cpu: 16_000, 'requested-memory-mb': 32_768, gpus: 0},
      store: this.store,
      record: this.record,
      ...options,
    });
    this.executors.push(executor);
    await executor.start();
    return executor;
  }

  /** @param size what differs from the other VMs */
  addVm(size = {}) {
    const i = this.vms.length;
    const vm = new VmProcess(this, i, size);
    this.vms.push(vm);
    return vm;
  }

  /** Waits until all VMs are ready. */
  async ready(timeoutMs = 15_000) {
    const endMs = nowMs() + timeoutMs;
    for (;;) {
      const states = await Promise.all(this.vms.map(vm => vm.isReady()));
      if (states.every(Boolean)) return;
      if (nowMs() > endMs) throw new Error('the VMs are not ready');
      await sleep(100);
    }
  }

  close() {
    for (const vm of this.vms) vm.signal('SIGKILL');
    for (const executor of this.executors) executor.crash();
    this.store.close();
    this.advice.close();
    rmSync(this.dir, {recursive: true, force: true});
  }
}

/** The process of one VM. */
class VmProcess {
  constructor(cell, i, {cpuShare = 0.675, linkMbps = 1000}) {
    this.cell = cell;
    this.cpuShare = cpuShare;
    this.linkMbps = linkMbps;
    this.name = `frontend-${ZONES[i % ZONES.length]}-${1 + i}`;
    this.ip = `${cell.net}.${10 + i}`;
    this.zone = ZONES[i % ZONES.length];
    this.settings = join(cell.dir, `${this.name}.conf`);
    this.storeAddress = `${cell.store.ip}:${cell.store.port}`;
    this.log = '';
  }

  writeSettings(vmCount) {
    const {ip, name, zone, cell} = this;
    const seeds = [0, 1, 2]
      .slice(0, vmCount)
      .map(i => `${cell.net}.${10 + i}:8688`);
    const lines = [
      `node-name=${name}`,
      'role=entry',
      'machine-class=frontend',
      'serves=frontend,control_plane',
      `ip-address=${ip}`,
      `zone=${zone}`,
      `region=${zone}`,
      ...[...ZONES, FAR_ZONE].map(each => `zones.${each}=${each}`),
      `listen-addresses.frontend=${ip}:8686`,
      `listen-addresses.ready=${ip}:8689`,
      `listen-addresses.control=${ip}:8688`,
      'internal-port-range=7180,7195',
      `seeds=${seeds.join(',')}`,
      'bootstrap=true',
      'loss-counts=false',
      `limits.cpu-share=${this.cpuShare}`,
      'limits.cores=1',
      'limits.memory-mb=350',
      'limits.file-descriptors=4100',
      `limits.link-mbps=${this.linkMbps.toFixed(1)}`,
      'limits.disk-mb=0',
      'discovery=platform',
      'entry=virtual_ip',
      'heartbeat-interval-ms=1500',
      'contracts=base,drain,config,cost,recover,sched,tenants,quota,platform,advice,upkeep,sharing',
      'bounds.contact-ms=4000',
      'bounds.ack-timeout-ms=5000',
      'bounds.drain-ms=3000',
      'bounds.grace-s=6',
      'bounds.config-apply-ms=3000',
      'bounds.max-hold-ms=10000',
      'bounds.stop-timeout-ms=400',
      'bounds.gang-timeout-ms=3000',
      'bounds.cancel_ms=3000',
      'bounds.visible_ms=3000',
      'bounds.finish_s=14',
      'bounds.status_s=120',
      'orders=request',
      `advice=${cell.net}.1:${cell.advice.port}`,
      `platform.address=${this.storeAddress}`,
      'platform.form=log',
      'platform.writes-per-s=800',
      'platform.reads-per-s=2000',
      'platform.parts=32',
      'platform.record-bytes=262144',
      'platform.request-bytes=2097152',
      'platform.keep_s=300',
    ];
    writeFileSync(this.settings, lines.join('\n'));
  }

  start(vmCount) {
    this.writeSettings(vmCount);
    const [program, ...args] = command();
    const {PATH, HOME, LANG} = process.env;
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, DRAGONFLYWARD_CONFIG: this.settings},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    this.isEnded = false;
    for (const stream of [child.stdout, child.stderr]) {
      stream.on('data', data => (this.log += data));
    }
    child.on('exit', (code, signal) => {
      this.isEnded = true;
      this.cell.write({at: 'process ended', vm: this.name, code, signal});
    });
    this.cell.write({at: 'process started', vm: this.name, pid: child.pid});
  }

  signal(name) {
    if (this.child === undefined || this.isEnded) return;
    this.child.kill(name);
  }

  /** Lines of the process's log of one event. */
  events(event) {
    return this.log
      .split('\n')
      .filter(line => line.includes(`"event":"${event}"`))
      .map(line => JSON.parse(line));
  }

  async isReady() {
    const {status} = await request({
      ip: this.ip,
      port: 8689,
      method: 'GET',
      path: '/readiness',
    });
    return status === 200;
  }

  /** Sends a client's call; a status of 0 is a call without an answer. */
  async call(method, path, body, {key = KEY, timeoutMs = 3000} = {}) {
    const sent = this.cell.atMs;
    const reply = await request({
      ip: this.ip,
      port: 8686,
      method,
      path,
      body,
      timeoutMs,
      headers: {
        host: HOST,
        ...(key === null ? {} : {authorization: `Bearer ${key}`}),
        'x-dragonflyward-deadline-remaining': String(timeoutMs),
      },
    });
    this.cell.write({
      at: 'call',
      vm: this.name,
      method,
      path,
      sent,
      status: reply.status,
      body: reply.body,
    });
    return reply;
  }
}

function request({
  ip,
  port,
  method,
  path,
  body,
  headers = {},
  timeoutMs = 1000,
}) {
  return new Promise(resolve => {
    const text = body === undefined ? '' : JSON.stringify(body);
    const req = http.request({
      host: ip,
      port,
      method,
      path,
      agent: false,
      headers: {
        ...headers,
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      },
    });
    const timer = setTimeout(() => req.destroy(), timeoutMs);
    const fail = () => {
      clearTimeout(timer);
      resolve({status: 0, body: null});
    };
    req.on('error', fail);
    req.on('response', res => {
      let received = '';
      res.on('data', data => (received += data));
      res.on('error', fail);
      res.on('end', () => {
        clearTimeout(timer);
        let parsed = null;
        try {
          parsed = JSON.parse(received);
        } catch {
          // An answer without a JSON body.
        }
        resolve({status: res.statusCode, body: parsed});
      });
    });
    req.end(text);
  });
}

/** An id of a job, as a client chooses it. */
export function newJobId() {
  let id = '';
  for (let i = 0; i < 16; i += 1)
    id += Math.floor(Math.random() * 16).toString(16);
  return id;
}

/** A configuration with one queue for each service. */
export function configOf(services, changes = {}) {
  return {
    version: 1,
    routes: services.map(service => ({
      name: `route-${service}`,
      host: HOST,
      'path-prefix': `/${service}/`,
      kind: 'non_idempotent',
      'timeout-ms': 3000,
      'target-latency-ms': 3000,
      priority: 1,
      service,
      'max-attempts': 4,
      stretch: 4.0,
      'public-access': false,
    })),
    services: services.map(name => ({
      name,
      'health-path': '/health',
      'rejects-overload': false,
    })),
    limits: {'max-body-bytes': 262144},
    tenants: [
      {
        name: 'tenant-one',
        weight: 20,
        'upper-limit': {cpu: 0, 'requested-memory-mb': 0, gpus: 0},
        'api-keys': [KEY],
      },
    ],
    ...changes,
  };
}

/** Runs a case: `play` returns the broken rules, a line each. */
export async function runCase(dir, play) {
  const isTroubled = process.env.TROUBLE !== '0';
  const cell = new Cell(dirname(fileURLToPath(dir)));
  const watchdog = setTimeout(() => {
    cell.write({at: 'the case took too long'});
    process.exit(2);
  }, 115_000);
  let code = 2;
  try {
    const broken = await play(cell, isTroubled);
    for (const line of broken) cell.write({at: 'BROKEN', rule: line});
    if (broken.length === 0) cell.write({at: 'held'});
    code = broken.length > 0 ? 1 : 0;
  } catch (err) {
    cell.write({at: 'could not run', err: String(err?.stack ?? err)});
  }
  clearTimeout(watchdog);
  if (process.env.KEEP_LOGS) {
    for (const vm of cell.vms) {
      writeFileSync(join(process.env.KEEP_LOGS, `${vm.name}.log`), vm.log);
    }
  }
  process.exit(code);
}

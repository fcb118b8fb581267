// A small stand-in of the platform for the scripts of this review: the store
// (a log with keyed topics), executors and an operator, all on loopback
// addresses. It follows PROTOCOL.md; where that page is silent it behaves like
// a sound server. Each executor listens on its own port of one address.
import http from 'node:http';
import net from 'node:net';
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {clearInterval, setInterval} from 'node:timers';
import {URL} from 'node:url';
import {EventEmitter} from 'node:events';

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
export const nowMs = () => performance.now();

export const LIMITS = {
  recordBytes: 262144,
  requestBytes: 2097152,
  maxHoldMs: 10000,
  stopTimeoutMs: 400,
  appendMs: 2,
  callMs: 2,
  heartbeatMs: 1500,
};

/** Finds a loopback subnet 127.a.b.0/24 whose needed ports are free. */
export async function findSubnet(ports, hosts) {
  for (let i = 0; i < 200; i += 1) {
    const n = (process.pid * 7 + i * 131) % 60000;
    const base = `127.${10 + Math.floor(n / 250)}.${1 + (n % 250)}`;
    const checks = [];
    for (const host of hosts) {
      for (const port of ports) checks.push(isFree(`${base}.${host}`, port));
    }
    if ((await Promise.all(checks)).every(Boolean)) return base;
  }
  throw new Error('no free loopback subnet');
}

function isFree(ip, port) {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, ip, () => server.close(() => resolve(true)));
  });
}

function readBody(req) {
  return new Promise((resolve, reject) => {
    const chunks = [];
    req.on('data', chunk => chunks.push(chunk));
    req.on('end', () => resolve(Buffer.concat(chunks)));
    req.on('error', reject);
  });
}

function sendJson(res, status, body) {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  res.end(text);
}

function listen(server, ip, port = 0) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, () => resolve(server.address().port));
  });
}

/** The platform's metadata store. */
export class Store extends EventEmitter {
  topics = new Map();
  /** Calls that were refused with 400, by reason. */
  badCalls = [];

  constructor() {
    super();
    this.setMaxListeners(0);
    this.server = http.createServer((req, res) => {
      this.serve(req, res).catch(() => res.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
  }

  listen(ip) {
    return listen(this.server, ip);
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  part(topic, number = '0') {
    const name = `${topic}/${number}`;
    if (!this.topics.has(name)) {
      this.topics.set(name, {
        log: [],
        newest: new Map(),
        producers: new Map(),
        isKeyed: topic.startsWith('keyed.'),
        busy: Promise.resolve(),
      });
    }
    return this.topics.get(name);
  }

  put(topic, key, value) {
    const part = this.part(topic);
    this.add(part, [encodeKeyed(key, value)]);
  }

  add(part, records) {
    for (const raw of records) {
      const offset = part.log.length;
      part.log.push(raw);
      if (!part.isKeyed) continue;
      const keyEnd = 1 + raw[0];
      const key = raw.toString('utf8', 1, keyEnd);
      const value = raw.subarray(keyEnd);
      if (value.length === 0) part.newest.delete(key);
      else part.newest.set(key, {key, value, offset});
    }
    this.emit('append');
  }

  async serve(req, res) {
    const body = await readBody(req);
    const url = new URL(req.url, 'http://store');
    const query = url.searchParams;
    const part = this.part(query.get('topic') ?? '', query.get('part') ?? '0');
    await sleep(LIMITS.callMs);
    if (req.method === 'POST' && url.pathname === '/log-append') {
      // A partition processes its appends one at a time.
      const turn = part.busy.then(() => this.append(part, query, body, res));
      part.busy = turn.catch(() => undefined);
      return turn;
    }
    if (url.pathname === '/log-read') return this.read(part, query, res);
    if (url.pathname === '/log-newest') return this.newest(part, query, res);
    sendJson(res, 404, {});
  }

  async append(part, query, body, res) {
    await sleep(LIMITS.appendMs);
    const topic = query.get('topic');
    if (topic === 'keyed.op' || topic === 'keyed.servers') {
      return sendJson(res, 403, {});
    }
    const records = [];
    for (let at = 0; at + 4 <= body.length;) {
      const length = body.readUInt32BE(at);
      records.push(Buffer.from(body.subarray(at + 4, at + 4 + length)));
      at += 4 + length;
    }
    const total = records.reduce((sum, each) => sum + each.length, 0);
    const longest = Math.max(0, ...records.map(each => each.length));
    if (longest > LIMITS.recordBytes || total > LIMITS.requestBytes) {
      this.badCalls.push({topic, records: records.length, longest, total});
      return sendJson(res, 400, {});
    }
    const end = part.log.length;
    const producer = query.get('producer');
    if (producer !== null) {
      const epoch = Number(query.get('epoch'));
      const sequence = Number(query.get('sequence'));
      const last = part.producers.get(producer);
      if (last !== undefined && epoch < last.epoch) {
        return sendJson(res, 409, {reason: 'fenced'});
      }
      if (last !== undefined && epoch === last.epoch) {
        const answer = last.answers.get(sequence);
        if (answer !== undefined) return sendJson(res, 200, answer);
        if (sequence !== last.next) {
          return sendJson(res, 409, {reason: 'seq', sequence: last.next});
        }
      }
    }
    if (query.has('at') && Number(query.get('at')) !== end) {
      return sendJson(res, 412, {'end-offset': end});
    }
    this.add(part, records);
    const answer = {offset: end, 'end-offset': part.log.length};
    if (producer !== null) {
      const epoch = Number(query.get('epoch'));
      const sequence = Number(query.get('sequence'));
      const last = part.producers.get(producer);
      const answers =
        last !== undefined && last.epoch === epoch ? last.answers : new Map();
      answers.set(sequence, answer);
      if (answers.size > 5) answers.delete([...answers.keys()][0]);
      part.producers.set(producer, {epoch, next: sequence + 1, answers});
    }
    sendJson(res, 200, answer);
  }

  async read(part, query, res) {
    const from = Number(query.get('from'));
    const untilMs =
      nowMs() + Math.min(30_000, Number(query.get('wait-ms') ?? 0));
    while (part.log.length <= from && nowMs() < untilMs && !res.destroyed) {
      await new Promise(resolve => {
        const done = () => {
          clearTimeout(timer);
          this.off('append', done);
          resolve();
        };
        const timer = setTimeout(done, Math.max(1, untilMs - nowMs()));
        this.once('append', done);
      });
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(part.log.length), 0);
    const most = 1024 * Number(query.get('max-kilobytes') ?? 1024);
    const pieces = [head];
    let bytes = 0;
    for (const raw of part.log.slice(from)) {
      if (bytes > 0 && bytes + 4 + raw.length > most) break;
      const length = Buffer.alloc(4);
      length.writeUInt32BE(raw.length);
      pieces.push(length, raw);
      bytes += 4 + raw.length;
    }
    const page = Buffer.concat(pieces);
    res.writeHead(200, {'content-length': page.length});
    res.end(page);
  }

  newest(part, query, res) {
    const after = query.get('after') ?? '';
    const rest = [...part.newest.values()]
      .filter(({key}) => key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const items = [];
    let bytes = 0;
    for (const {key, value, offset} of rest) {
      if (items.length >= 500 || (items.length > 0 && bytes > 1_000_000)) break;
      items.push({key, value: value.toString('base64'), offset});
      bytes += (value.length * 4) / 3;
    }
    sendJson(res, 200, {
      items,
      'has-more': items.length < rest.length,
      'end-offset': part.log.length,
    });
  }
}

function encodeKeyed(key, value) {
  const keyBytes = Buffer.from(key);
  return Buffer.concat([Buffer.of(keyBytes.length), keyBytes, value]);
}

/** An executor: one machine across its boots, under one id and address. */
export class Executor {
  runs = new Map();
  ended = [];
  stopped = new Map();
  token = 0;
  leaseUntilMs = 0;
  lastEnd = 0;
  isUp = false;
  /** Whether the path to all machines is cut; the executor runs on. */
  isCut = false;
  cuts = 0;
  /** Delay of the answer to a start, in ms; null for none. Called once each. */
  delayAnswer = () => null;
  delayedOn = null;
  sequence = 0;
  waiters = new Set();

  /**
   * @param behave (task, run, spec) => {ms, how}: how long a run works, and how
   *     it ends; ms may be Infinity
   * @param record called with an event and its fields
   */
  constructor(store, options, behave, record) {
    this.store = store;
    this.options = options;
    this.behave = behave;
    this.record = record;
    this.id = options.id;
    this.server = http.createServer((req, res) => {
      this.serve(req, res).catch(() => res.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
  }

  async start() {
    if (this.port === undefined)
      this.port = await listen(this.server, this.options.ip);
    this.boot(this.options.uptimeMs);
    this.timer = setInterval(() => this.tick(), 10);
    this.publisher = setInterval(() => this.publish(), LIMITS.heartbeatMs);
  }

  boot(uptimeMs = 0) {
    this.runs.clear();
    this.ended = [];
    this.stopped.clear();
    this.token = 0;
    this.leaseUntilMs = 0;
    this.lastEnd = 0;
    this.sequence = 0;
    this.born = Date.now() - uptimeMs;
    this.bootMs = nowMs() - uptimeMs;
    this.isUp = true;
    /** Whether this process has told its runs to anybody. */
    this.hasListed = false;
    this.publish();
  }

  /** The process dies: connections are reset, the address refuses new ones. */
  async crash(downMs) {
    this.record('crash', {executor: this.id, running: [...this.runs.keys()]});
    for (const run of this.runs.values()) {
      this.record('lost', {executor: this.id, task: run.task, run: run.run});
    }
    this.runs.clear();
    this.isUp = false;
    this.wake();
    for (const socket of this.sockets) {
      // What the process had handed to its system is still on the way.
      if (socket !== this.delayedOn) socket.resetAndDestroy();
    }
    if (this.delayedOn === null) {
      await new Promise(resolve => this.server.close(resolve));
    } else {
      this.server.close();
    }
    // The store drops an entry after three heartbeats of silence.
    const gone = setTimeout(
      () => this.store.put('keyed.servers', this.id, Buffer.alloc(0)),
      3 * LIMITS.heartbeatMs,
    );
    await sleep(downMs);
    clearTimeout(gone);
    if (this.isClosed) return;
    await listen(this.server, this.options.ip, this.port);
    this.record('boot', {executor: this.id});
    this.boot();
  }

  get sockets() {
    return this.open ?? (this.open = this.trackSockets());
  }

  trackSockets() {
    const open = new Set();
    this.server.on('connection', socket => {
      open.add(socket);
      socket.on('close', () => open.delete(socket));
    });
    return open;
  }

  /** Cuts the path to all machines: nothing arrives, in either direction. */
  async cut(forMs) {
    this.record('cut', {executor: this.id, running: this.runs.size});
    this.isCut = true;
    this.cuts += 1;
    await sleep(forMs);
    this.isCut = false;
    this.record('healed', {executor: this.id, running: this.runs.size});
  }

  close() {
    this.isClosed = true;
    this.isUp = false;
    clearInterval(this.timer);
    clearInterval(this.publisher);
    this.server.close();
    this.server.closeAllConnections();
  }

  publish() {
    if (!this.isUp || this.isCut) return;
    this.sequence += 1;
    const {service, ip, zone, capacity, labels} = this.options;
    const entry = {
      service,
      address: `${ip}:${this.port}`,
      zone,
      version: '1',
      slots: 8,
      state: 'ready',
      'cold-remaining-ms': 0,
      sequence: this.sequence,
      born: this.born,
      capacity,
      labels,
    };
    this.store.put(
      'keyed.servers',
      this.id,
      Buffer.from(JSON.stringify(entry)),
    );
  }

  clockMs() {
    return 1000 + Math.floor(nowMs() - this.bootMs);
  }

  tick() {
    if (!this.isUp) return;
    const isLapsed = this.clockMs() >= this.leaseUntilMs;
    for (const run of [...this.runs.values()]) {
      if (isLapsed) this.end(run, 'lapsed');
      else if (nowMs() >= run.endsMs)
        this.end(run, run.isStopping ? 'stopped' : run.how);
    }
  }

  end({task, run}, how) {
    this.runs.delete(task);
    this.lastEnd += 1;
    this.stopped.set(task, Math.max(run, this.stopped.get(task) ?? 0));
    this.ended.push([this.lastEnd, task, run, how, '']);
    this.record('end', {executor: this.id, task, run, how});
    this.wake();
  }

  wake() {
    for (const each of [...this.waiters]) each();
  }

  async serve(req, res) {
    void this.sockets;
    const body = JSON.parse((await readBody(req)).toString() || '{}');
    if (this.isCut) return;
    const boot = this.born;
    const instance = req.headers['x-dragonflyward-expected-instance'];
    if (instance !== undefined && instance !== this.id) {
      return sendJson(res, 421, {'clock-ms': this.clockMs()});
    }
    const token = body['fencing-token'] ?? 0;
    if (token < this.token) {
      return sendJson(res, 409, {'clock-ms': this.clockMs(), reason: 'fence'});
    }
    this.token = token;
    if (req.url === '/run-start') return this.runStart(body, res);
    if (req.url === '/run-stop') return this.runStop(body, res);
    if (req.url === '/hold') return this.hold(body, res, boot);
    if (req.url === '/pace')
      return sendJson(res, 200, {'clock-ms': this.clockMs()});
    sendJson(res, 404, {});
  }

  extend(untilMs) {
    if (untilMs === undefined) return;
    const granted = Math.min(untilMs, this.clockMs() + LIMITS.maxHoldMs);
    this.leaseUntilMs = Math.max(this.leaseUntilMs, granted);
  }

  runStart({task, run, spec, 'deadline-ms': deadlineMs}, res) {
    const clock = this.clockMs();
    const refuse = reason => sendJson(res, 409, {'clock-ms': clock, reason});
    if (typeof deadlineMs !== 'number')
      return sendJson(res, 400, {'clock-ms': clock});
    if (deadlineMs <= clock) return refuse('late');
    this.extend(deadlineMs);
    const known = this.runs.get(task);
    if (known !== undefined && known.run === run) {
      return sendJson(res, 200, {'clock-ms': clock});
    }
    if (known !== undefined) return refuse('old');
    if (run <= (this.stopped.get(task) ?? 0)) return refuse('old');
    const {ms, how} = this.behave(task, run, spec);
    const startedMs = nowMs();
    this.runs.set(task, {task, run, startedMs, endsMs: startedMs + ms, how});
    this.record('start', {executor: this.id, task, run});
    const delayMs = this.delayAnswer(this);
    if (delayMs === null) return sendJson(res, 200, {'clock-ms': clock});
    this.delayedOn = res.socket;
    setTimeout(() => {
      this.delayedOn = null;
      const {hasListed} = this;
      this.record('lateAnswer', {
        executor: this.id,
        task,
        run,
        clock,
        hasListed,
      });
      sendJson(res, 200, {'clock-ms': clock});
    }, delayMs);
  }

  runStop({task, run}, res) {
    this.stopped.set(task, Math.max(run, this.stopped.get(task) ?? 0));
    const known = this.runs.get(task);
    if (known !== undefined && known.run <= run && known.isStopping !== true) {
      known.isStopping = true;
      known.endsMs = nowMs() + LIMITS.stopTimeoutMs / 2;
      this.record('stop', {executor: this.id, task, run});
    }
    sendJson(res, 200, {'clock-ms': this.clockMs()});
  }

  async hold(body, res, boot) {
    this.extend(body['deadline-ms']);
    const acked = body['acked-through'] ?? 0;
    for (const [number, task, run, how] of this.ended) {
      if (number <= acked)
        this.record('acked', {executor: this.id, task, run, how});
    }
    this.ended = this.ended.filter(([number]) => number > acked);
    const {cuts} = this;
    const waitMs = Math.min(2000, body['wait-ms'] ?? 0);
    if (waitMs > 0 && this.ended.length === 0) {
      await new Promise(resolve => {
        const done = () => {
          clearTimeout(timer);
          this.waiters.delete(done);
          resolve();
        };
        const timer = setTimeout(done, waitMs);
        this.waiters.add(done);
      });
    }
    if (this.cuts !== cuts) return;
    if (!this.isUp || this.born !== boot) return res.destroy();
    this.hasListed = true;
    sendJson(res, 200, {
      'clock-ms': this.clockMs(),
      born: this.born,
      running: [...this.runs.values()].map(({task, run}) => [
        task,
        run,
        '',
        100,
        0,
      ]),
      ended: this.ended.slice(0, 500),
    });
  }
}

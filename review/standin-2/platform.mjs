// Stand-ins of the platform's store, of executors and of the advice service.
// One object of each class is one server on a loopback address.
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearInterval, setInterval} from 'node:timers';
import {URL} from 'node:url';

/** Limits of the store, as the settings state them. */
const RECORD_BYTES = 262_144;
const REQUEST_BYTES = 2_097_152;

const nowMs = () => performance.now();
const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Reads a whole request body. */
function readBody(req) {
  return new Promise((resolve, reject) => {
    const parts = [];
    req.on('data', part => parts.push(part));
    req.on('end', () => resolve(Buffer.concat(parts)));
    req.on('error', reject);
  });
}

function sendJson(res, status, body) {
  const payload = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(payload),
  });
  res.end(payload);
}

function listen(server, ip, port = 0) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, () => resolve(server.address().port));
  });
}

/** The store: topics of one partition each, appended to in turn. */
export class Store {
  constructor() {
    this.topics = new Map();
    this.server = http.createServer((req, res) => {
      this.serve(req, res).catch(() => res.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
    /** Answers may be withheld: called with the path before each is sent. */
    this.intercept = async () => undefined;
  }

  async listen(ip) {
    this.ip = ip;
    this.port = await listen(this.server, ip);
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  topic(name) {
    let topic = this.topics.get(name);
    if (topic === undefined) {
      topic = {records: [], newest: new Map(), producers: new Map(), waits: []};
      this.topics.set(name, topic);
    }
    return topic;
  }

  /** What the operator and the executors write. */
  put(name, key, value) {
    const text =
      value === null
        ? ''
        : Buffer.isBuffer(value)
          ? value
          : JSON.stringify(value);
    const content = Buffer.concat([
      Buffer.from([Buffer.byteLength(key)]),
      Buffer.from(key),
      Buffer.from(text),
    ]);
    this.add(this.topic(name), [content]);
  }

  add(topic, contents) {
    const offset = topic.records.length;
    for (const content of contents) {
      const keyEnd = 1 + content[0];
      const key = content.toString('utf8', 1, keyEnd);
      const value = content.subarray(keyEnd);
      topic.records.push(content);
      if (value.length === 0) topic.newest.delete(key);
      else topic.newest.set(key, {value, offset: topic.records.length - 1});
    }
    const waits = topic.waits;
    topic.waits = [];
    for (const wake of waits) wake();
    return {offset, 'end-offset': topic.records.length};
  }

  async serve(req, res) {
    const body = await readBody(req);
    const url = new URL(req.url, 'http://store');
    const {searchParams: query, pathname} = url;
    const topic = this.topic(query.get('topic') ?? '');
    await sleep(4);
    const answer = (status, content) => sendJson(res, status, content);
    if (pathname === '/log-append')
      return this.append(topic, query, body, answer);
    if (pathname === '/log-read') return this.read(topic, query, res);
    if (pathname === '/log-newest') return this.newest(topic, query, answer);
    answer(404, {});
  }

  append(topic, query, body, answer) {
    const end = topic.records.length;
    if (body.length > REQUEST_BYTES) return answer(413, {});
    const contents = [];
    for (let at = 0; at < body.length;) {
      const length = body.readUInt32BE(at);
      if (length > RECORD_BYTES) return answer(413, {});
      contents.push(Buffer.from(body.subarray(at + 4, at + 4 + length)));
      at += 4 + length;
    }
    if (query.has('at') && Number(query.get('at')) !== end) {
      return answer(412, {'end-offset': end});
    }
    if (!query.has('producer')) return answer(200, this.add(topic, contents));
    const name = query.get('producer');
    const epoch = Number(query.get('epoch'));
    const sequence = Number(query.get('sequence'));
    const known = topic.producers.get(name);
    if (known !== undefined && epoch < known.epoch) {
      return answer(409, {reason: 'fenced'});
    }
    if (known === undefined || epoch > known.epoch) {
      const reply = this.add(topic, contents);
      topic.producers.set(name, {epoch, sequence, past: [[sequence, reply]]});
      return answer(200, reply);
    }
    const repeated = known.past.find(([number]) => number === sequence);
    if (repeated !== undefined) return answer(200, repeated[1]);
    if (sequence !== known.sequence + 1) {
      return answer(409, {reason: 'seq', sequence: known.sequence + 1});
    }
    const reply = this.add(topic, contents);
    known.sequence = sequence;
    known.past = [...known.past.slice(-4), [sequence, reply]];
    answer(200, reply);
  }

  async read(topic, query, res) {
    const from = Number(query.get('from'));
    const untilMs = nowMs() + Number(query.get('wait-ms') ?? 0);
    while (topic.records.length <= from && nowMs() < untilMs) {
      const wait = new Promise(resolve => topic.waits.push(resolve));
      await Promise.race([wait, sleep(untilMs - nowMs())]);
    }
    const maxBytes = 1024 * Number(query.get('max-kilobytes') ?? 1024);
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(topic.records.length), 0);
    const parts = [head];
    let size = 0;
    for (const content of topic.records.slice(from)) {
      if (size > 0 && size + content.length + 4 > maxBytes) break;
      const length = Buffer.alloc(4);
      length.writeUInt32BE(content.length);
      parts.push(length, content);
      size += content.length + 4;
    }
    const payload = Buffer.concat(parts);
    res.writeHead(200, {'content-length': payload.length});
    res.end(payload);
  }

  newest(topic, query, answer) {
    const after = query.get('after') ?? '';
    const rest = [...topic.newest]
      .filter(([key]) => key > after)
      .sort(([a], [b]) => (a < b ? -1 : 1));
    const items = rest.slice(0, 500).map(([key, {value, offset}]) => ({
      key,
      value: value.toString('base64'),
      offset,
    }));
    answer(200, {
      items,
      'has-more': rest.length > items.length,
      'end-offset': topic.records.length,
    });
  }
}

/** Allows every executor that is named. */
export class Advice {
  constructor() {
    this.server = http.createServer(async (req, res) => {
      const {workers = []} = JSON.parse((await readBody(req)).toString());
      sendJson(res, 200, {allowed: workers.map(id => [id, 'ticket'])});
    });
  }

  async listen(ip) {
    this.port = await listen(this.server, ip);
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }
}

/**
 * One executor. `behave(task, run, spec)` says what becomes of a run:
 * `{ms, how}`; `ms` of Infinity is a task that lasts.
 */
export class Executor {
  constructor({id, service, ip, zone, rack, capacity, store, behave, record}) {
    Object.assign(this, {
      id,
      service,
      ip,
      zone,
      rack,
      capacity,
      store,
      behave,
      record,
    });
    this.port = 0;
    this.isUp = false;
    /** Runs that are going on, by task and run, over all lives. */
    this.sequence = 0;
  }

  /** Starts a life of the executor; its port stays the same. */
  async start() {
    this.born = Date.now();
    this.startMs = nowMs();
    this.running = new Map();
    this.ended = [];
    this.endCount = 0;
    this.ackedThrough = 0;
    /** The highest run that was stopped or has ended, by task. */
    this.closedRun = new Map();
    this.leaseMs = 0;
    this.token = 0;
    this.waits = [];
    this.server = http.createServer((req, res) => {
      this.serve(req, res).catch(() => res.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
    this.port = await listen(this.server, this.ip, this.port);
    this.isUp = true;
    this.isDraining = false;
    this.publish();
    this.beat = setInterval(() => this.publish(), 1500);
    this.watch = setInterval(() => this.endLapsed(), 20);
    this.record({at: 'executor up', id: this.id, born: this.born});
  }

  /** Ends the life: all runs are gone, and its connections end. */
  crash() {
    if (!this.isUp) return;
    this.isUp = false;
    clearInterval(this.beat);
    clearInterval(this.watch);
    const lost = [...this.running.values()];
    for (const run of lost) clearTimeout(run.timer);
    this.server.closeAllConnections();
    this.server.close();
    this.record({
      at: 'executor crashed',
      id: this.id,
      lost: lost.map(({task, run}) => `${task}#${run}`),
    });
  }

  get clockMs() {
    return Math.floor(nowMs() - this.startMs);
  }

  entry() {
    this.sequence += 1;
    return {
      service: this.service,
      address: `${this.address ?? `${this.ip}:${this.port}`}`,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: this.isDraining ? 'draining' : 'ready',
      'cold-remaining-ms': 0,
      capacity: this.capacity,
      labels: ['a', this.rack],
      'clock-ms': this.clockMs,
      born: this.born,
      sequence: this.sequence,
    };
  }

  publish() {
    this.store.put('keyed.servers', this.id, this.entry());
  }

  /** Removes the entry, as the platform does after some silence. */
  unpublish() {
    this.store.put('keyed.servers', this.id, null);
  }

  endLapsed() {
    if (this.clockMs <= this.leaseMs) return;
    for (const run of [...this.running.values()]) this.end(run, 'lapsed');
  }

  end(run, how) {
    const name = `${run.task}#${run.run}`;
    if (!this.running.delete(name)) return;
    clearTimeout(run.timer);
    this.endCount += 1;
    this.ended.push([this.endCount, run.task, run.run, how, run.checkpoint]);
    this.closeRun(run.task, run.run);
    this.record({at: 'run ended', id: this.id, run: name, how});
    const waits = this.waits;
    this.waits = [];
    for (const wake of waits) wake();
  }

  closeRun(task, run) {
    this.closedRun.set(task, Math.max(run, this.closedRun.get(task) ?? 0));
  }

  async serve(req, res) {
    const text = (await readBody(req)).toString();
    if (!this.isUp) return void res.destroy();
    const expected = req.headers['x-dragonflyward-expected-instance'];
    if (req.method === 'GET') return sendJson(res, 200, {});
    if (expected !== undefined && expected !== this.id) {
      return sendJson(res, 421, {});
    }
    const order = JSON.parse(text);
    const token = order['fencing-token'] ?? 0;
    const {born} = this;
    const answer = (status, body = {}) => {
      if (this.isUp && this.born === born) {
        sendJson(res, status, {'clock-ms': this.clockMs, born, ...body});
      } else res.destroy();
    };
    if (token < this.token) return answer(409, {reason: 'fence'});
    this.token = token;
    // A grey executor fails starts; it says so, and has then done nothing.
    if (req.url === '/run-start' && this.isGrey) {
      this.record({
        at: 'start refused',
        id: this.id,
        run: `${order.task}#${order.run}`,
      });
      return answer(503);
    }
    if (req.url === '/run-start') return this.startRun(order, answer);
    if (req.url === '/run-stop') return this.stopRun(order, answer);
    if (req.url === '/hold') return this.hold(order, answer);
    if (req.url === '/pace') return answer(200);
    answer(400);
  }

  extendLease(deadlineMs) {
    if (deadlineMs === undefined) return;
    const untilMs = Math.min(deadlineMs, this.clockMs + 10_000);
    this.leaseMs = Math.max(this.leaseMs, untilMs);
  }

  startRun(order, answer) {
    const {task, run, spec} = order;
    const name = `${task}#${run}`;
    const refuse = reason => answer(409, {reason});
    if (this.running.has(name)) return answer(200);
    this.extendLease(order['deadline-ms']);
    if (run <= (this.closedRun.get(task) ?? 0)) return refuse('old');
    if (this.clockMs > this.leaseMs) return refuse('late');
    const started = {task, run, sinceMs: this.clockMs};
    const {ms, how, checkpoint = ''} = this.behave(task, run, spec);
    started.checkpoint = checkpoint;
    if (ms !== Infinity) {
      started.timer = setTimeout(() => this.end(started, how), ms);
    }
    this.running.set(name, started);
    this.record({at: 'run started', id: this.id, run: name, token: this.token});
    answer(200);
  }

  stopRun({task, run}, answer) {
    this.closeRun(task, run);
    const known = this.running.get(`${task}#${run}`);
    this.record({at: 'stop ordered', id: this.id, run: `${task}#${run}`});
    if (known !== undefined) setTimeout(() => this.end(known, 'stopped'), 50);
    answer(200);
  }

  async hold(order, answer) {
    this.extendLease(order['deadline-ms']);
    const acked = order['acked-through'] ?? 0;
    this.ended = this.ended.filter(([number]) => number > acked);
    const waitMs = Math.min(2000, order['wait-ms'] ?? 0);
    if (waitMs > 0 && this.ended.length === 0) {
      const wait = new Promise(resolve => this.waits.push(resolve));
      await Promise.race([wait, sleep(waitMs)]);
    }
    const running = [...this.running.values()].map(
      ({task, run, sinceMs, checkpoint}) => [
        task,
        run,
        this.clockMs - sinceMs > 2000 ? checkpoint : '',
        this.clockMs - sinceMs > 200 ? 100 : 0,
        10,
      ],
    );
    answer(200, {running, ended: this.ended.slice(0, 500)});
  }
}

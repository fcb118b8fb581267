/** The stand-in for the platform's log service. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {LogRecord, NewRecord} from '@dragonflyward/log';
import {
  CUT_REPLY,
  jsonReply,
  numberParam,
  Service,
  type Call,
  type Reply,
} from './service.js';
import {Waiters} from './waiters.js';

const MS_PER_SECOND = 1_000;

/** Faults that can be injected into the log service, and its limits. */
export interface LogFaults {
  readonly outage: boolean;
  readonly slowMs: number;
  /** How many of the next appends take effect without a reply. */
  readonly loseReplies: number;
  readonly refuseAppends: boolean;
  readonly retainRecords: number;
  readonly retainMs: number;
  readonly appendsPerSecond: number;
  /** IP addresses of clients whose connections are closed. */
  readonly cutFrom: readonly string[];
}

/** The state in which the service starts: no faults. */
export const NO_LOG_FAULTS: LogFaults = {
  outage: false,
  slowMs: 0,
  loseReplies: 0,
  refuseAppends: false,
  retainRecords: Number.MAX_SAFE_INTEGER,
  retainMs: Number.MAX_SAFE_INTEGER,
  appendsPerSecond: 400,
  cutFrom: [],
};

class Stream {
  readonly waiters = new Waiters();
  private records: LogRecord[] = [];
  first = 0;

  get end(): number {
    return this.first + this.records.length;
  }

  append(newRecords: readonly NewRecord[]): number {
    const offset = this.end;
    const timeMs = Date.now();
    for (const {id, data} of newRecords) {
      this.records.push({offset: this.end, timeMs, id, data});
    }
    this.waiters.wake();
    return offset;
  }

  read(from: number, max: number): readonly LogRecord[] {
    const start = Math.max(0, from - this.first);
    return this.records.slice(start, start + max);
  }

  applyRetention(maxRecords: number, maxAgeMs: number): void {
    const oldestMs = Date.now() - maxAgeMs;
    let drop = Math.max(0, this.records.length - maxRecords);
    while ((this.records[drop]?.timeMs ?? Infinity) < oldestMs) drop += 1;
    if (drop === 0) return;
    this.records = this.records.slice(drop);
    this.first += drop;
  }
}

/** An append-only log in memory with injectable faults. */
export class LogService extends Service {
  private readonly streams = new Map<string, Stream>();
  private faults = NO_LOG_FAULTS;
  private currentSecond = 0;
  private appendsThisSecond = 0;
  private appends = 0;
  private refused = 0;
  private bytes = 0;

  override async handle(call: Call): Promise<Reply> {
    if (call.path === '/admin') return this.handleAdmin(call);
    if (this.isCutOff(call)) return CUT_REPLY;
    if (this.faults.outage) return refusedReply(503);
    const reply = await this.serveStream(call);
    if (this.faults.slowMs > 0) await sleep(this.faults.slowMs);
    if (this.isCutOff(call)) return CUT_REPLY;
    return reply;
  }

  private async serveStream(call: Call): Promise<Reply> {
    const [, name] = call.parts;
    if (name === undefined) return jsonReply({streams: [...this.list()]});
    const stream = this.findOrCreateStream(name);
    if (call.method === 'POST') return this.append(stream, call);
    return this.read(stream, call);
  }

  private append(stream: Stream, call: Call): Reply {
    const {records} = call.body as {readonly records: readonly NewRecord[]};
    if (this.faults.refuseAppends || !this.tryTakeQuota()) {
      this.refused += 1;
      return refusedReply(429);
    }
    const offset = stream.append(records);
    this.appends += 1;
    this.bytes += JSON.stringify(records).length;
    stream.applyRetention(this.faults.retainRecords, this.faults.retainMs);
    if (this.faults.loseReplies === 0) return jsonReply({offset});
    const loseReplies = this.faults.loseReplies - 1;
    this.faults = {...this.faults, loseReplies};
    return CUT_REPLY;
  }

  private tryTakeQuota(): boolean {
    const second = Math.floor(Date.now() / MS_PER_SECOND);
    if (second !== this.currentSecond) this.appendsThisSecond = 0;
    this.currentSecond = second;
    this.appendsThisSecond += 1;
    return this.appendsThisSecond <= this.faults.appendsPerSecond;
  }

  private async read(stream: Stream, call: Call): Promise<Reply> {
    const from = numberParam(call.query, 'from', 0);
    const max = numberParam(call.query, 'max', 1_000);
    const waitMs = numberParam(call.query, 'waitMs', 0);
    stream.applyRetention(this.faults.retainRecords, this.faults.retainMs);
    if (from >= stream.end && waitMs > 0) await stream.waiters.wait(waitMs);
    if (this.faults.outage) return refusedReply(503);
    const records = stream.read(from, max);
    return jsonReply({first: stream.first, end: stream.end, records});
  }

  private handleAdmin(call: Call): Reply {
    if (call.method === 'POST') this.setFaults(call.body as Partial<LogFaults>);
    const {appends, refused, bytes} = this;
    const records = [...this.list()].reduce((sum, s) => sum + s.end, 0);
    return jsonReply({appends, records, refused, bytes});
  }

  private setFaults(change: Partial<LogFaults>): void {
    this.faults = {...this.faults, ...change};
    for (const stream of this.streams.values()) stream.waiters.wake();
  }

  private isCutOff(call: Call): boolean {
    return this.faults.cutFrom.includes(call.clientIp);
  }

  private findOrCreateStream(name: string): Stream {
    const known = this.streams.get(name);
    if (known !== undefined) return known;
    const stream = new Stream();
    this.streams.set(name, stream);
    return stream;
  }

  private *list(): Generator<StreamEntry> {
    for (const [stream, {first, end}] of this.streams) {
      yield {stream, first, end};
    }
  }
}

interface StreamEntry {
  readonly stream: string;
  readonly first: number;
  readonly end: number;
}

function refusedReply(status: number): Reply {
  return jsonReply({error: 'refused'}, status);
}

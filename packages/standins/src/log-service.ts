/** The stand-in of the platform's log service. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {LogRecord, NewRecord} from '@dragonflyward/log';
import {
  CUT,
  json,
  numberOf,
  Service,
  type Call,
  type Reply,
} from './service.js';
import {Waiters} from './waiters.js';

const SECOND_MS = 1_000;

/** The fault switches and limits of the log service. */
export interface LogSwitches {
  readonly outage: boolean;
  readonly slowMs: number;
  /** The next appends that take effect without a reply. */
  readonly loseReplies: number;
  readonly refuseAppends: boolean;
  readonly retainRecords: number;
  readonly retainMs: number;
  readonly appendsPerSecond: number;
  /** Clients that get no service. */
  readonly cutFrom: readonly string[];
}

/** How the service starts. */
export const NO_LOG_FAULTS: LogSwitches = {
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

  append(added: readonly NewRecord[]): number {
    const offset = this.end;
    const timeMs = Date.now();
    for (const {id, data} of added) {
      this.records.push({offset: this.end, timeMs, id, data});
    }
    this.waiters.wake();
    return offset;
  }

  read(from: number, max: number): readonly LogRecord[] {
    const start = Math.max(0, from - this.first);
    return this.records.slice(start, start + max);
  }

  retain(maxRecords: number, maxAgeMs: number): void {
    const oldestMs = Date.now() - maxAgeMs;
    let drop = Math.max(0, this.records.length - maxRecords);
    while ((this.records[drop]?.timeMs ?? Infinity) < oldestMs) drop += 1;
    if (drop === 0) return;
    this.records = this.records.slice(drop);
    this.first += drop;
  }
}

/** An append-only log in memory with fault switches. */
export class LogService extends Service {
  private readonly streams = new Map<string, Stream>();
  private switches = NO_LOG_FAULTS;
  private second = 0;
  private appendsThisSecond = 0;
  private appends = 0;
  private refused = 0;
  private bytes = 0;

  override async handle(call: Call): Promise<Reply> {
    if (call.path === '/admin') return this.admin(call);
    if (this.isCut(call)) return CUT;
    if (this.switches.outage) return refusal(503);
    const reply = await this.serveStream(call);
    if (this.switches.slowMs > 0) await sleep(this.switches.slowMs);
    if (this.isCut(call)) return CUT;
    return reply;
  }

  private async serveStream(call: Call): Promise<Reply> {
    const [, name] = call.parts;
    if (name === undefined) return json({streams: [...this.list()]});
    const stream = this.streamOf(name);
    if (call.method === 'POST') return this.append(stream, call);
    return this.read(stream, call);
  }

  private append(stream: Stream, call: Call): Reply {
    const {records} = call.body as {readonly records: readonly NewRecord[]};
    if (this.switches.refuseAppends || !this.takeTurn()) {
      this.refused += 1;
      return refusal(429);
    }
    const offset = stream.append(records);
    this.appends += 1;
    this.bytes += JSON.stringify(records).length;
    stream.retain(this.switches.retainRecords, this.switches.retainMs);
    if (this.switches.loseReplies === 0) return json({offset});
    const loseReplies = this.switches.loseReplies - 1;
    this.switches = {...this.switches, loseReplies};
    return CUT;
  }

  private takeTurn(): boolean {
    const second = Math.floor(Date.now() / SECOND_MS);
    if (second !== this.second) this.appendsThisSecond = 0;
    this.second = second;
    this.appendsThisSecond += 1;
    return this.appendsThisSecond <= this.switches.appendsPerSecond;
  }

  private async read(stream: Stream, call: Call): Promise<Reply> {
    const from = numberOf(call.query, 'from', 0);
    const max = numberOf(call.query, 'max', 1_000);
    const waitMs = numberOf(call.query, 'waitMs', 0);
    stream.retain(this.switches.retainRecords, this.switches.retainMs);
    if (from >= stream.end && waitMs > 0) await stream.waiters.wait(waitMs);
    if (this.switches.outage) return refusal(503);
    const records = stream.read(from, max);
    return json({first: stream.first, end: stream.end, records});
  }

  private admin(call: Call): Reply {
    if (call.method === 'POST') this.switch(call.body as Partial<LogSwitches>);
    const {appends, refused, bytes} = this;
    const records = [...this.list()].reduce((sum, s) => sum + s.end, 0);
    return json({appends, records, refused, bytes});
  }

  private switch(change: Partial<LogSwitches>): void {
    this.switches = {...this.switches, ...change};
    for (const stream of this.streams.values()) stream.waiters.wake();
  }

  private isCut(call: Call): boolean {
    return this.switches.cutFrom.includes(call.clientIp);
  }

  private streamOf(name: string): Stream {
    const known = this.streams.get(name);
    if (known !== undefined) return known;
    const stream = new Stream();
    this.streams.set(name, stream);
    return stream;
  }

  private *list(): Generator<StreamLine> {
    for (const [stream, {first, end}] of this.streams) {
      yield {stream, first, end};
    }
  }
}

interface StreamLine {
  readonly stream: string;
  readonly first: number;
  readonly end: number;
}

function refusal(status: number): Reply {
  return json({error: 'refused'}, status);
}

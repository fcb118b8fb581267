/** A log service in memory with switchable faults, for tests. */
import {raise, type Clock} from '@dragonflyward/common';
import {LogClient} from './client.js';
import type {
  AppendReply,
  LogPage,
  LogRecord,
  NewRecord,
  ReadOptions,
  StreamInfo,
} from './types.js';

interface MemoryStream {
  first: number;
  records: LogRecord[];
}

/** The streams and the faults of one log service. */
export class MemoryLog {
  /** All clients are refused, as in an outage. */
  isDown = false;
  /** How many of the next appends take effect but lose their reply. */
  lostReplies = 0;
  /** How long after the failed reply a lost append takes effect. */
  delayedEffectMs = 0;
  /** How long each call takes before it has its effect. */
  slowMs = 0;
  /** How many records of a stream are kept. */
  retainRecords = Number.POSITIVE_INFINITY;
  /** How many appends took effect. */
  appends = 0;
  private readonly streams = new Map<string, MemoryStream>();
  private readonly readers: (() => void)[] = [];

  constructor(readonly clock: Clock) {}

  /** Takes records in at once. */
  push(stream: string, records: readonly NewRecord[]): number {
    const kept = this.stream(stream);
    const offset = endOf(kept);
    const timeMs = this.clock.wallMs();
    const added = records.map((record, i) => ({
      ...(structuredClone(record) as NewRecord),
      offset: offset + i,
      timeMs,
    }));
    this.appends += 1;
    for (const wake of this.readers.splice(0)) wake();
    kept.records.push(...added);
    const excess = kept.records.length - this.retainRecords;
    if (excess > 0) this.drop(stream, kept.first + excess);
    return offset;
  }

  /** Resolves at the next append to any stream. */
  pushed(): Promise<void> {
    return new Promise(resolve => this.readers.push(resolve));
  }

  /** Drops all records before the offset. */
  drop(stream: string, first: number): void {
    const kept = this.stream(stream);
    kept.records = kept.records.filter(({offset}) => offset >= first);
    kept.first = Math.max(kept.first, first);
  }

  /** All kept records of a stream. */
  records(stream: string): readonly LogRecord[] {
    return this.stream(stream).records;
  }

  /** One page of a stream as it stands now. */
  page(stream: string, from: number, maxRecords: number): LogPage {
    const kept = this.stream(stream);
    const start = Math.max(0, from - kept.first);
    const records = kept.records.slice(start, start + maxRecords);
    return {first: kept.first, end: endOf(kept), records};
  }

  /** Lists the streams. */
  list(): readonly StreamInfo[] {
    return [...this.streams].map(([stream, kept]) => ({
      stream,
      first: kept.first,
      end: endOf(kept),
    }));
  }

  private stream(name: string): MemoryStream {
    const known = this.streams.get(name);
    if (known !== undefined) return known;
    const added = {first: 0, records: []};
    this.streams.set(name, added);
    return added;
  }
}

function endOf(stream: MemoryStream): number {
  return stream.first + stream.records.length;
}

/** One process's client of a log in memory. */
export class MemoryLogClient extends LogClient {
  /** Whether this client alone is cut off. */
  isCut = false;

  constructor(private readonly log: MemoryLog) {
    super();
  }

  override async append(
    stream: string,
    records: readonly NewRecord[],
  ): Promise<AppendReply> {
    await this.arrive();
    if (this.log.lostReplies === 0) {
      return {offset: this.log.push(stream, records)};
    }
    this.log.lostReplies -= 1;
    void this.pushLater(stream, records);
    return raise('appendUnknown', stream);
  }

  override async read(
    stream: string,
    from: number,
    options: ReadOptions,
  ): Promise<LogPage> {
    const {clock} = this.log;
    const untilMs = clock.monotonicMs() + options.waitMs;
    await this.arrive();
    for (;;) {
      this.check();
      const page = this.log.page(stream, from, options.maxRecords);
      if (page.records.length > 0) return page;
      const leftMs = untilMs - clock.monotonicMs();
      if (leftMs <= 0) return page;
      await Promise.race([clock.sleep(leftMs), this.log.pushed()]);
    }
  }

  override async streams(): Promise<readonly StreamInfo[]> {
    await this.arrive();
    return this.log.list();
  }

  private async pushLater(
    stream: string,
    records: readonly NewRecord[],
  ): Promise<void> {
    const {delayedEffectMs, clock} = this.log;
    if (delayedEffectMs > 0) await clock.sleep(delayedEffectMs);
    this.log.push(stream, records);
  }

  private async arrive(): Promise<void> {
    const {clock, slowMs} = this.log;
    await (slowMs > 0 ? clock.sleep(slowMs) : Promise.resolve());
    this.check();
  }

  private check(): void {
    if (this.log.isDown || this.isCut) raise('logDown', 'memory log');
  }
}

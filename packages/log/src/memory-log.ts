/** In-memory log service with fault injection, for tests. */
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

/** The streams and the injected faults of one log service. */
export class MemoryLog {
  /** Whether all calls fail, as in an outage. */
  isDown = false;
  /** How many of the next appends lose their reply but take effect. */
  lostReplies = 0;
  /** Delay after which an append with a lost reply takes effect. */
  delayedEffectMs = 0;
  /** Delay of each call before it takes effect. */
  latencyMs = 0;
  /** Maximum number of records that a stream retains. */
  maxRetainedRecords = Number.POSITIVE_INFINITY;
  /** Number of appends that took effect. */
  appends = 0;
  private readonly streams = new Map<string, MemoryStream>();
  private readonly appendWaiters: (() => void)[] = [];

  constructor(readonly clock: Clock) {}

  /** Appends records immediately; returns the offset of the first. */
  appendNow(stream: string, records: readonly NewRecord[]): number {
    const kept = this.stream(stream);
    const offset = endOf(kept);
    const timeMs = this.clock.wallMs();
    const added = records.map((record, i) => ({
      ...(structuredClone(record) as NewRecord),
      offset: offset + i,
      timeMs,
    }));
    this.appends += 1;
    for (const wake of this.appendWaiters.splice(0)) wake();
    kept.records.push(...added);
    const excess = kept.records.length - this.maxRetainedRecords;
    if (excess > 0) this.dropBefore(stream, kept.first + excess);
    return offset;
  }

  /** Resolves at the next append to any stream. */
  nextAppend(): Promise<void> {
    return new Promise(resolve => this.appendWaiters.push(resolve));
  }

  /** Drops all records before the offset. */
  dropBefore(stream: string, first: number): void {
    const kept = this.stream(stream);
    kept.records = kept.records.filter(({offset}) => offset >= first);
    kept.first = Math.max(kept.first, first);
  }

  /** Returns all retained records of a stream. */
  records(stream: string): readonly LogRecord[] {
    return this.stream(stream).records;
  }

  /** Reads one page of a stream without waiting. */
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

/** The client of one process for an in-memory log. */
export class MemoryLogClient extends LogClient {
  /** Whether this client is partitioned from the log. */
  isOffline = false;

  constructor(private readonly log: MemoryLog) {
    super();
  }

  override async append(
    stream: string,
    records: readonly NewRecord[],
  ): Promise<AppendReply> {
    await this.simulateTransit();
    if (this.log.lostReplies === 0) {
      return {offset: this.log.appendNow(stream, records)};
    }
    this.log.lostReplies -= 1;
    void this.appendAfterDelay(stream, records);
    return raise('appendUnknown', stream);
  }

  override async read(
    stream: string,
    from: number,
    options: ReadOptions,
  ): Promise<LogPage> {
    const {clock} = this.log;
    const untilMs = clock.monotonicMs() + options.waitMs;
    await this.simulateTransit();
    for (;;) {
      this.checkReachable();
      const page = this.log.page(stream, from, options.maxRecords);
      if (page.records.length > 0) return page;
      const leftMs = untilMs - clock.monotonicMs();
      if (leftMs <= 0) return page;
      await Promise.race([clock.sleep(leftMs), this.log.nextAppend()]);
    }
  }

  override async streams(): Promise<readonly StreamInfo[]> {
    await this.simulateTransit();
    return this.log.list();
  }

  private async appendAfterDelay(
    stream: string,
    records: readonly NewRecord[],
  ): Promise<void> {
    const {delayedEffectMs, clock} = this.log;
    if (delayedEffectMs > 0) await clock.sleep(delayedEffectMs);
    this.log.appendNow(stream, records);
  }

  private async simulateTransit(): Promise<void> {
    const {clock, latencyMs} = this.log;
    await (latencyMs > 0 ? clock.sleep(latencyMs) : Promise.resolve());
    this.checkReachable();
  }

  private checkReachable(): void {
    if (this.log.isDown || this.isOffline) raise('logDown', 'memory log');
  }
}

/** An in-memory store with the faults that the platform's store may have. */
import type {Clock} from '@dragonflyward/common';
import {
  DEFAULT_STORE_LIMITS,
  Store,
  StoreError,
  type AppendOptions,
  type KeyedRecord,
  type LogPage,
  type NewestPage,
  type StoredRecord,
  type StoreLimits,
  recordSize,
} from '@dragonflyward/cell';
import {NarrowLink, pageWireBytes, type TransferBound} from './narrow-link.js';

interface LastAppend {
  epoch: number;
  next: number;
  /** Answers by sequence number, for repeats. */
  readonly answers: Map<number, number>;
}

interface Topic {
  first: number;
  readonly log: StoredRecord[];
  readonly newest: Map<string, StoredRecord>;
  readonly producers: Map<string, LastAppend>;
}

/** The contents of the store, shared by all clients. */
export class MemoryStore {
  private readonly topics = new Map<string, Topic>();
  /** Number of appends that took effect. */
  appends = 0;

  topic(name: string): Topic {
    const known = this.topics.get(name);
    if (known !== undefined) return known;
    const topic = {
      first: 0,
      log: [],
      newest: new Map(),
      producers: new Map(),
    };
    this.topics.set(name, topic);
    return topic;
  }

  endOffset(topic: Topic): number {
    return topic.first + topic.log.length;
  }

  /** Executes an append with the semantics of the platform's store. */
  append(
    name: string,
    records: readonly KeyedRecord[],
    {at, producer}: AppendOptions,
  ): number {
    const topic = this.topic(name);
    if (producer !== undefined) {
      const repeated = this.checkProducer(topic, producer);
      if (repeated !== null) return repeated;
    }
    if (at !== undefined && at !== this.endOffset(topic)) {
      throw new StoreError('conflict', 'the partition ends elsewhere');
    }
    for (const record of records) this.put(topic, record);
    this.appends += 1;
    const end = this.endOffset(topic);
    if (producer !== undefined) this.recordProducer(topic, producer, end);
    return end;
  }

  /** Compacts a topic: only the newest record of each key stays. */
  compact(name: string): void {
    const topic = this.topic(name);
    this.expire(name, this.endOffset(topic));
  }

  /** Deletes the history before an offset. */
  expire(name: string, before: number): void {
    const topic = this.topic(name);
    topic.log.splice(0, before - topic.first);
    topic.first = Math.max(topic.first, before);
  }

  /** A page of the newest records in key order, as the platform limits it. */
  newestPage(name: string, after: string): NewestPage {
    const topic = this.topic(name);
    const rest = [...topic.newest.values()]
      .filter(({key}) => key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const records: StoredRecord[] = [];
    let bytes = 0;
    for (const record of rest.slice(0, MAX_PAGE_RECORDS)) {
      records.push(record);
      bytes += pageWireBytes([record]);
      if (bytes > MAX_PAGE_BYTES) break;
    }
    const hasMore = records.length < rest.length;
    return {endOffset: this.endOffset(topic), records, hasMore};
  }

  private put(topic: Topic, {key, value}: KeyedRecord): void {
    const copy = Uint8Array.from(value);
    const placed = {key, value: copy, offset: this.endOffset(topic)};
    topic.log.push(placed);
    if (value.length === 0) topic.newest.delete(key);
    else topic.newest.set(key, placed);
  }

  /** Returns the first answer of a retried append, or null for a new one. */
  private checkProducer(
    topic: Topic,
    {name, epoch, sequence}: NonNullable<AppendOptions['producer']>,
  ): number | null {
    const last = topic.producers.get(name);
    if (last === undefined || epoch > last.epoch) return null;
    if (epoch < last.epoch) throw new StoreError('conflict', 'fenced');
    const answer = last.answers.get(sequence);
    if (answer !== undefined) return answer;
    if (sequence === last.next) return null;
    throw new StoreError('conflict', 'sequence', last.next);
  }

  private recordProducer(
    topic: Topic,
    {name, epoch, sequence}: NonNullable<AppendOptions['producer']>,
    end: number,
  ): void {
    const last = topic.producers.get(name);
    const isSame = last?.epoch === epoch;
    const answers = isSame ? last.answers : new Map<number, number>();
    answers.set(sequence, end);
    topic.producers.set(name, {epoch, next: sequence + 1, answers});
  }
}

/** Faults of the store for one client. */
export interface StoreFaults {
  /** Refuses all calls. */
  isRefusing: boolean;
  /** Refuses appends to topics that begin with it; empty for none. */
  refusedTopics: string;
  /** Gives no answer to any call and executes none. */
  isSilent: boolean;
  /** Number of next appends that take effect but lose their answer. */
  lostAnswers: number;
  /** Delay until such appends take effect, in ms. */
  lostAppendDelayMs: number;
  /** How long each call takes, in ms. */
  delayMs: number;
  /** Sizes that an append may not exceed. */
  limits: StoreLimits;
  /** Most records in one page of a read; the platform limits its size. */
  maxPageRecords: number;
  /** The rate of the link that all calls of the client share. */
  linkBytesPerS: number;
  /** Refuses each call whose number is a multiple of it; 0 for none. */
  refusedEvery: number;
}

/** Size of a page of a read, in bytes; one record is always returned. */
const READ_PAGE_BYTES = 262_144;
/** Time after which a call to a silent store fails, in ms. */
const CALL_TIMEOUT_MS = 1500;
/** Limits of a page of newest records. */
const MAX_PAGE_RECORDS = 500;
const MAX_PAGE_BYTES = 1_000_000;
const IN_TOTAL: CallBound = {
  firstByteMs: CALL_TIMEOUT_MS,
  totalMs: CALL_TIMEOUT_MS,
  idleMs: Infinity,
};
const WHILE_IDLE: CallBound = {
  firstByteMs: 4000,
  totalMs: Infinity,
  idleMs: 2000,
};

interface CallBound extends TransferBound {
  readonly firstByteMs: number;
}

/** One client of the store. */
export class StoreClient extends Store {
  readonly faults: StoreFaults = {
    isRefusing: false,
    refusedTopics: '',
    isSilent: false,
    lostAnswers: 0,
    lostAppendDelayMs: 0,
    delayMs: 4,
    limits: DEFAULT_STORE_LIMITS,
    maxPageRecords: Infinity,
    linkBytesPerS: Infinity,
    refusedEvery: 0,
  };
  private readonly link: NarrowLink;
  /** Carries what the client sends. */
  private readonly uplink: NarrowLink;
  /** Number of calls. */
  calls = 0;
  /** Number of pages of newest records that were read, and their size. */
  newestPages = 0;
  newestBytes = 0;

  constructor(
    readonly memory: MemoryStore,
    private readonly clock: Clock,
    /** What the client receives takes a link of its own if missing. */
    link?: NarrowLink,
  ) {
    super();
    const bytesPerS = (): number => this.faults.linkBytesPerS;
    this.link = link ?? new NarrowLink(clock, bytesPerS);
    this.uplink = new NarrowLink(clock, bytesPerS);
  }

  override get limits(): StoreLimits {
    return this.faults.limits;
  }

  override async append(
    topic: string,
    records: readonly KeyedRecord[],
    options: AppendOptions = {},
  ): Promise<number> {
    await this.simulateCall();
    this.checkSizes(records);
    const {timeoutMs: totalMs = CALL_TIMEOUT_MS} = options;
    const bytes = records.reduce((sum, each) => sum + recordSize(each), 0);
    await this.uplink.carry(bytes, {totalMs, idleMs: totalMs});
    const {faults, memory} = this;
    const {refusedTopics} = faults;
    if (refusedTopics !== '' && topic.startsWith(refusedTopics)) {
      throw new StoreError('refused', topic);
    }
    if (faults.lostAnswers > 0) {
      faults.lostAnswers -= 1;
      void this.appendLater(topic, records, options, faults.lostAppendDelayMs);
      await this.clock.sleep(CALL_TIMEOUT_MS);
      throw new StoreError('unknown', 'the answer was lost');
    }
    return memory.append(topic, records, options);
  }

  override async read(
    topic: string,
    from: number,
    waitMs = 0,
    onData: (bytes: number) => void = () => undefined,
  ): Promise<LogPage> {
    await this.simulateCall(CALL_TIMEOUT_MS + waitMs);
    const {log, first} = this.memory.topic(topic);
    if (from < first) throw new StoreError('expired', topic);
    const start = from - first;
    const newer = log.slice(start, start + this.faults.maxPageRecords);
    const records = [...firstBytes(newer, READ_PAGE_BYTES)];
    const endOffset = first + log.length;
    onData(0);
    await this.link.carry(pageWireBytes(records), WHILE_IDLE, onData);
    return {endOffset, records};
  }

  override async newest(topic: string): Promise<LogPage> {
    const records: StoredRecord[] = [];
    let endOffset = -1;
    for (let after = ''; ;) {
      const page = await this.fetchPage(topic, after, IN_TOTAL);
      if (endOffset < 0) ({endOffset} = page);
      records.push(...page.records);
      if (!page.hasMore) return {endOffset, records};
      after = records.at(-1)?.key ?? '';
    }
  }

  override newestPage(
    topic: string,
    after: string,
    onData?: (bytes: number) => void,
    signal?: AbortSignal,
  ): Promise<NewestPage> {
    return this.fetchPage(topic, after, WHILE_IDLE, onData, signal);
  }

  private async fetchPage(
    topic: string,
    after: string,
    bound: CallBound,
    onData: (bytes: number) => void = () => undefined,
    signal?: AbortSignal,
  ): Promise<NewestPage> {
    await this.simulateCall(bound.firstByteMs);
    const page = this.memory.newestPage(topic, after);
    const bytes = pageWireBytes(page.records);
    this.newestPages += 1;
    this.newestBytes += bytes;
    onData(0);
    await this.link.carry(bytes, bound, onData, signal);
    return page;
  }

  /** Like the platform, the store refuses what is too large as a whole. */
  private checkSizes(records: readonly KeyedRecord[]): void {
    const {recordBytes, appendBytes} = this.limits;
    const sizes = records.map(({key, value}) => 1 + key.length + value.length);
    const total = sizes.reduce((sum, size) => sum + size, 0);
    if (total <= appendBytes && Math.max(0, ...sizes) <= recordBytes) return;
    throw new StoreError('refused', 'status 400');
  }

  private async appendLater(
    topic: string,
    records: readonly KeyedRecord[],
    options: AppendOptions,
    delayMs: number,
  ): Promise<void> {
    await this.clock.sleep(delayMs);
    try {
      this.memory.append(topic, records, options);
    } catch (err) {
      // The condition of the append no longer holds: it has no effect.
      if (!(err instanceof StoreError)) throw err;
    }
  }

  private async simulateCall(timeoutMs = CALL_TIMEOUT_MS): Promise<void> {
    await this.clock.sleep(this.faults.delayMs);
    const {isRefusing, refusedEvery} = this.faults;
    this.calls += 1;
    if (isRefusing) throw new StoreError('refused', 'all calls');
    if (refusedEvery > 0 && this.calls % refusedEvery === 0) {
      throw new StoreError('refused', `call ${this.calls}`);
    }
    if (!this.faults.isSilent) return;
    await this.clock.sleep(timeoutMs);
    throw new StoreError('unknown', 'no answer');
  }
}

/** Yields the first records that fit into the size, and at least one. */
function* firstBytes(
  records: readonly StoredRecord[],
  maxBytes: number,
): Generator<StoredRecord> {
  let bytes = 0;
  for (const record of records) {
    bytes += record.key.length + record.value.length;
    if (bytes > maxBytes && bytes > record.key.length + record.value.length) {
      return;
    }
    yield record;
  }
}

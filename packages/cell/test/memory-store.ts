/** A store in memory that is as unkind as the platform's may be. */
import type {Clock} from '@dragonflyward/common';
import {
  Store,
  StoreError,
  type AppendOptions,
  type KeyedRecord,
  type LogPage,
  type PlacedRecord,
} from '@dragonflyward/cell';

interface LastAppend {
  epoch: number;
  next: number;
  /** Answers by sequence number, for repeats. */
  readonly answers: Map<number, number>;
}

interface Topic {
  first: number;
  readonly log: PlacedRecord[];
  readonly newest: Map<string, PlacedRecord>;
  readonly producers: Map<string, LastAppend>;
}

/** The contents of the store, shared by all that call it. */
export class MemoryStore {
  private readonly topics = new Map<string, Topic>();
  /** Appends that took effect. */
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

  endOf(topic: Topic): number {
    return topic.first + topic.log.length;
  }

  /** Carries out an append, as the platform's pages describe it. */
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
    if (at !== undefined && at !== this.endOf(topic)) {
      throw new StoreError('conflict', 'the partition ends elsewhere');
    }
    for (const record of records) this.put(topic, record);
    this.appends += 1;
    const end = this.endOf(topic);
    if (producer !== undefined) this.noteProducer(topic, producer, end);
    return end;
  }

  /** Drops the history of a topic; the newest record of each key stays. */
  compact(name: string): void {
    const topic = this.topic(name);
    topic.first += topic.log.length;
    topic.log.length = 0;
  }

  private put(topic: Topic, {key, value}: KeyedRecord): void {
    const copy = Uint8Array.from(value);
    const placed = {key, value: copy, offset: this.endOf(topic)};
    topic.log.push(placed);
    if (value.length === 0) topic.newest.delete(key);
    else topic.newest.set(key, placed);
  }

  /** The first answer of a repeated append; null where it is a new one. */
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

  private noteProducer(
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

/** How a store treats one caller. */
export interface StoreMood {
  /** Refuses all calls. */
  isRefusing: boolean;
  /** Gives no answer to any call, and does nothing. */
  isSilent: boolean;
  /** How many of the next appends take effect and lose their answer. */
  lostAnswers: number;
  /** How long such appends take to have their effect, in ms. */
  lateMs: number;
  /** How long each call takes, in ms. */
  delayMs: number;
}

/** How long a silent store is waited for, in ms. */
const SILENCE_MS = 1500;

/** One caller's way to the store. */
export class StoreClient extends Store {
  readonly mood: StoreMood = {
    isRefusing: false,
    isSilent: false,
    lostAnswers: 0,
    lateMs: 0,
    delayMs: 4,
  };

  constructor(
    readonly memory: MemoryStore,
    private readonly clock: Clock,
  ) {
    super();
  }

  override async append(
    topic: string,
    records: readonly KeyedRecord[],
    options: AppendOptions = {},
  ): Promise<number> {
    await this.reach();
    const {mood, memory} = this;
    if (mood.lostAnswers > 0) {
      mood.lostAnswers -= 1;
      void this.appendLater(topic, records, options, mood.lateMs);
      await this.clock.sleep(SILENCE_MS);
      throw new StoreError('unknown', 'the answer was lost');
    }
    return memory.append(topic, records, options);
  }

  override async read(topic: string, from: number): Promise<LogPage> {
    await this.reach();
    const {log, first} = this.memory.topic(topic);
    if (from < first) throw new StoreError('expired', topic);
    const records = log.slice(from - first);
    return {endOffset: first + log.length, records};
  }

  override async newest(topic: string): Promise<LogPage> {
    await this.reach();
    const kept = this.memory.topic(topic);
    const records = [...kept.newest.values()];
    return {endOffset: this.memory.endOf(kept), records};
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
      // Its condition holds no more: the append has no effect.
      if (!(err instanceof StoreError)) throw err;
    }
  }

  private async reach(): Promise<void> {
    await this.clock.sleep(this.mood.delayMs);
    if (this.mood.isRefusing) throw new StoreError('refused', 'turned away');
    if (!this.mood.isSilent) return;
    await this.clock.sleep(SILENCE_MS);
    throw new StoreError('unknown', 'no answer');
  }
}

/** The configuration stream, and its records kept for peers. */
import type {Clock, EventRing, Metrics} from '@dragonflyward/common';
import {
  StreamTail,
  StreamWriter,
  type LogClient,
  type LogRecord,
} from '@dragonflyward/log';
import type {ConfigTailReply} from '@dragonflyward/peer';
import {CONFIG_STREAM, ConfigState, SnapshotTask} from '@dragonflyward/state';

const TAIL_WAIT_MS = 500;
const MAX_KEPT_RECORDS = 4_096;
const MAX_REPLY_RECORDS = 256;

/** Follows the configuration stream and passes it on. */
export class ConfigFeed {
  readonly state = new ConfigState();
  readonly tail: StreamTail;
  private kept: readonly LogRecord[] = [];

  private isStopped = false;

  constructor(
    private readonly log: LogClient,
    private readonly clock: Clock,
    private readonly events: EventRing,
    metrics: Metrics,
  ) {
    this.tail = new StreamTail({
      client: log,
      stream: CONFIG_STREAM,
      fold: this.state,
      clock,
      waitMs: TAIL_WAIT_MS,
      onApplied: (record, result) => {
        metrics.count(`config_records_total{result="${result}"}`);
        const revision = record.offset;
        if (result === 'skipped') events.add('recordSkipped', {revision});
        if (result === 'applied') events.add('configApplied', {revision});
        this.keep(record);
      },
    });
  }

  /** Writes snapshots of the configuration while it is allowed to. */
  keepSnapshots(isAllowed: () => boolean): void {
    const {log, tail, clock, events, state} = this;
    const stream = CONFIG_STREAM;
    const writer = new StreamWriter({client: log, stream, tail, clock});
    const parts = {fold: state, tail, writer, clock, events, isAllowed};
    void new SnapshotTask(parts).run(() => !this.isStopped);
  }

  /** Ends all loops. */
  stop(): void {
    this.isStopped = true;
    this.tail.stop();
  }

  /** Answers a peer that asks for records from an offset on. */
  tailFrom(from: number): ConfigTailReply {
    const isKept = (this.kept[0]?.offset ?? 0) <= from;
    const newer = this.kept.filter(record => record.offset >= from);
    const records = isKept ? newer.slice(0, MAX_REPLY_RECORDS) : [];
    const ageMs = this.clock.monotonicMs() - this.tail.lastProofMs;
    const end = this.state.nextOffset;
    return {type: 'configTail', records, ageMs, end};
  }

  private keep(record: LogRecord): void {
    const all = [...this.kept, record];
    this.kept = all.slice(-MAX_KEPT_RECORDS);
  }
}

/** Reads the configuration stream and appends single records to it. */
import {newId, raise, toFailure, type Clock} from '@dragonflyward/common';
import {StreamTail, type ApplyResult, type LogClient} from '@dragonflyward/log';
import {
  CONFIG_STREAM,
  ConfigState,
  type ConfigStreamRecord,
} from '@dragonflyward/state';

const READ_BACK_TIMEOUT_MS = 5_000;
const READ_BACK_INTERVAL_MS = 100;

/** The offset of an appended record and the result of applying it. */
export interface AppendVerdict {
  readonly offset: number;
  readonly result: ApplyResult;
}

/** The state computed from the configuration stream. */
export class ConfigLog {
  readonly state = new ConfigState();
  private readonly tail: StreamTail;
  private readonly verdicts = new Map<string, AppendVerdict>();

  constructor(
    private readonly client: LogClient,
    private readonly clock: Clock,
  ) {
    this.tail = new StreamTail({
      client,
      stream: CONFIG_STREAM,
      state: this.state,
      clock,
      waitMs: 0,
      onApplied: ({id, offset}, result) => {
        if (!this.verdicts.has(id)) this.verdicts.set(id, {offset, result});
      },
    });
  }

  /**
   * Reads up to the end of the stream.
   *
   * @param untilMs monotonic time after which no further page is requested
   * @throws logDown
   * @throws configStale if the retained records do not give a complete state
   * @example
   * const state = await configLog.read();
   */
  async read(untilMs = Infinity): Promise<ConfigState> {
    const startMs = this.clock.monotonicMs();
    do {
      if (this.clock.monotonicMs() > untilMs) raise('logDown', 'too slow');
      await this.tail.readOnce(0);
    } while (this.tail.lastCaughtUpMs < startMs);
    if (this.state.isComplete) return this.state;
    return raise('configStale', 'the log retains no complete snapshot');
  }

  /**
   * Appends one record and reads it back. It is never sent again: if the
   * reply is lost, the stream is read to find out whether it was appended.
   *
   * @throws logDown if the record was certainly not appended
   * @throws appendUnknown if the record may still take effect
   * @example
   * const {offset, result} = await configLog.append(record);
   */
  async append(data: ConfigStreamRecord): Promise<AppendVerdict> {
    const id = newId('c');
    try {
      await this.client.append(CONFIG_STREAM, [{id, data}]);
    } catch (err) {
      const {kind} = toFailure(err);
      if (kind !== 'appendUnknown') throw err;
    }
    return this.readBack(id);
  }

  private async readBack(id: string): Promise<AppendVerdict> {
    const deadlineMs = this.clock.monotonicMs() + READ_BACK_TIMEOUT_MS;
    for (;;) {
      await this.tryRead();
      const verdict = this.verdicts.get(id);
      if (verdict !== undefined) return verdict;
      if (this.clock.monotonicMs() >= deadlineMs) break;
      await this.clock.sleep(READ_BACK_INTERVAL_MS);
    }
    return raise(
      'appendUnknown',
      `record ${id} was not found in the log in time`,
    );
  }

  private async tryRead(): Promise<void> {
    try {
      await this.read();
    } catch (err) {
      if (toFailure(err).kind !== 'logDown') throw err;
    }
  }
}

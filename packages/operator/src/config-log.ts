/** Reads the configuration stream and appends single records to it. */
import {newId, raise, toFailure, type Clock} from '@dragonflyward/common';
import {StreamTail, type ApplyResult, type LogClient} from '@dragonflyward/log';
import {
  CONFIG_STREAM,
  ConfigState,
  type ConfigStreamRecord,
} from '@dragonflyward/state';

const READ_BACK_BOUND_MS = 5_000;
const READ_BACK_STEP_MS = 100;

/** Where an appended record stands and what became of it. */
export interface AppendVerdict {
  readonly offset: number;
  readonly result: ApplyResult;
}

/** The configuration stream as the log has it now. */
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
      fold: this.state,
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
   * @throws logDown, configStale where the kept records do not suffice
   * @example
   * const state = await configLog.read();
   */
  async read(): Promise<ConfigState> {
    const startMs = this.clock.monotonicMs();
    do await this.tail.readOnce(0);
    while (this.tail.lastProofMs < startMs);
    if (this.state.isComplete) return this.state;
    return raise('configStale', 'the log keeps no whole snapshot');
  }

  /**
   * Appends one record and reads it back. It is sent once only: where the
   * reply is lost, the log itself says whether the record is there.
   *
   * @throws logDown when it certainly had no effect
   * @throws appendUnknown when it may yet have an effect
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
    const endMs = this.clock.monotonicMs() + READ_BACK_BOUND_MS;
    for (;;) {
      await this.tryRead();
      const verdict = this.verdicts.get(id);
      if (verdict !== undefined) return verdict;
      if (this.clock.monotonicMs() >= endMs) break;
      await this.clock.sleep(READ_BACK_STEP_MS);
    }
    return raise('appendUnknown', `record ${id} was not found in the log`);
  }

  private async tryRead(): Promise<void> {
    try {
      await this.read();
    } catch (err) {
      if (toFailure(err).kind !== 'logDown') throw err;
    }
  }
}

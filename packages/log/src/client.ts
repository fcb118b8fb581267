/** Interface of the platform log service. */
import type {
  AppendReply,
  LogPage,
  NewRecord,
  ReadOptions,
  StreamInfo,
} from './types.js';

/** A client of the append-only log service. */
export abstract class LogClient {
  /**
   * Appends the records atomically and in order.
   *
   * @throws logDown when the append certainly had no effect
   * @throws appendUnknown when it may have had an effect
   */
  abstract append(
    stream: string,
    records: readonly NewRecord[],
  ): Promise<AppendReply>;

  /**
   * Reads records from an offset on; waits for one if there are none yet.
   *
   * @throws logDown
   */
  abstract read(
    stream: string,
    from: number,
    options: ReadOptions,
  ): Promise<LogPage>;

  /**
   * Lists the streams.
   *
   * @throws logDown
   */
  abstract streams(): Promise<readonly StreamInfo[]>;
}

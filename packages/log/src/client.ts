/** The platform log service as the rest of the system sees it. */
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
   * Appends the records as one unit, in order.
   *
   * @throws logDown when it certainly had no effect
   * @throws appendUnknown when it may have had an effect
   */
  abstract append(
    stream: string,
    records: readonly NewRecord[],
  ): Promise<AppendReply>;

  /**
   * Reads records from the offset on; waits for the first if there is none.
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

/** What the cell is told of the platform that it runs on. */
import type {AdviceClient, ExecutorClient} from './executor-client.js';
import type {PlacedRecord, Store} from './store.js';
import type {CellConfig, ExecutorInfo} from './types.js';

/** The platform, decoded; one object for each process. */
export abstract class Platform {
  /** The store, called directly. */
  abstract readonly store: Store;
  /** Missing where no queue needs advice. */
  abstract readonly advice: AdviceClient | null;
  /** The topic in which executors describe themselves. */
  abstract readonly executorsTopic: string;
  /** The topic in which operators publish. */
  abstract readonly operatorTopic: string;

  /** Decodes a record of the executors; null where it names none to use. */
  abstract decodeExecutor(record: PlacedRecord): ExecutorInfo | null;
  /** The configuration in an operator's record; null where it holds none. */
  abstract decodeConfig(record: PlacedRecord): CellConfig | null;
  /** Opens a client of one life of an executor. */
  abstract connect(info: ExecutorInfo): ExecutorClient;
}

/** Writes one structured line; bounded, and never waited for. */
export type LogLine = (event: string, fields: Readonly<object>) => void;

/** Interface between the cell and the platform that it runs on. */
import type {DomainClosure} from './evacuation/index.js';
import type {AdviceClient, ExecutorClient} from './executor-client.js';
import type {StoredRecord, Store} from './store.js';
import type {CellConfig, ExecutorInfo} from './types.js';

/** Access to the platform; one instance per process. */
export abstract class Platform {
  /** The store, called directly. */
  abstract readonly store: Store;
  /** The advice service; null if no queue needs advice. */
  abstract readonly advice: AdviceClient | null;
  /** The topic of the executors' own records. */
  abstract readonly executorsTopic: string;
  /** The topic to which operators publish the configuration and closures. */
  abstract readonly operatorTopic: string;
  /**
   * Whether failure domains may be closed, so that an owner has to know the
   * closures before it starts a task.
   */
  abstract readonly mayCloseDomains: boolean;

  /** Decodes an executor's record; null if the executor may not be used. */
  abstract decodeExecutor(record: StoredRecord): ExecutorInfo | null;
  /** Decodes an operator's record; null if it holds no configuration. */
  abstract decodeConfig(record: StoredRecord): CellConfig | null;
  /**
   * Decodes an operator's record that closes a failure domain to new tasks or
   * opens it again; null for any other record.
   */
  abstract decodeDomainClosure(record: StoredRecord): DomainClosure | null;
  /** Opens a client of one executor process. */
  abstract connect(info: ExecutorInfo): ExecutorClient;
}

/** Writes a structured log entry; bounded in size, and never blocks. */
export type LogFunction = (event: string, fields: Readonly<object>) => void;

/** The parts of the configuration that the gateway uses. */
import type {QueueConfig} from '@dragonflyward/state';

/** The current queues and keys, and whether they are recent. */
export abstract class ConfigView {
  /** The current settings of a queue. */
  abstract queue(name: string): QueueConfig | undefined;
  /** The team of a key, if the key is valid. */
  abstract teamOfKey(key: string): string | undefined;
  /** Whether the applied configuration is recent enough to rely on. */
  abstract isFresh(): boolean;
  /** Whether any configuration has been applied. */
  abstract isApplied(): boolean;
}

/** The configuration as the gateway uses it. */
import type {QueueConfig} from '@dragonflyward/state';

/** Queues and keys in force, and whether they are known to be recent. */
export abstract class ConfigView {
  /** The queue as it is in force. */
  abstract queue(name: string): QueueConfig | undefined;
  /** The team of a valid key. */
  abstract teamOfKey(key: string): string | undefined;
  /** Whether the applied configuration is recent enough to act on. */
  abstract isFresh(): boolean;
  /** Whether any configuration has been applied. */
  abstract isApplied(): boolean;
}

/** Bounds how many calls are under way; the others wait for their turn. */

/** Calls of one key that may wait; a VM has far fewer open at a time. */
const MAX_WAITING_OF_KEY = 256;
/** Calls of all keys together that may wait. */
const MAX_WAITING = 2048;

/** How many calls may be under way. */
export interface CallLimits {
  readonly perKey: number;
  readonly total: number;
}

/** The calls of one key, for example of one VM. */
interface KeyCalls {
  underWay: number;
  readonly waiting: Array<() => void>;
}

/**
 * Gives calls their turns: those of a key in the order in which they came, and
 * the keys one after another, so that one with many calls delays no other.
 */
export class CallTurns {
  /** Keys with calls; the one whose turn is next comes first. */
  private readonly keys = new Map<string, KeyCalls>();
  private underWay = 0;
  private waitingCount = 0;

  constructor(private readonly limits: CallLimits) {}

  /** Calls that wait for their turn. */
  get waiting(): number {
    return this.waitingCount;
  }

  /**
   * Makes a call once it has its turn.
   *
   * @returns null if too many calls wait already
   * @example
   * const page = await turns.run(vm, () => store.newest(topic));
   */
  async run<T>(key: string, call: () => Promise<T>): Promise<T | null> {
    const calls = this.keys.get(key) ?? {underWay: 0, waiting: []};
    const isFull =
      calls.waiting.length >= MAX_WAITING_OF_KEY ||
      this.waitingCount >= MAX_WAITING;
    if (isFull) return null;
    this.keys.set(key, calls);
    await new Promise<void>(resolve => {
      calls.waiting.push(resolve);
      this.waitingCount += 1;
      this.startNext();
    });
    try {
      return await call();
    } finally {
      this.end(key, calls);
    }
  }

  private end(key: string, calls: KeyCalls): void {
    calls.underWay -= 1;
    this.underWay -= 1;
    const isUnused = calls.underWay === 0 && calls.waiting.length === 0;
    if (isUnused) this.keys.delete(key);
    this.startNext();
  }

  private startNext(): void {
    const {perKey, total} = this.limits;
    if (this.underWay >= total) return;
    for (const [key, calls] of this.keys) {
      if (calls.underWay >= perKey) continue;
      const start = calls.waiting.shift();
      if (start === undefined) continue;
      calls.underWay += 1;
      this.underWay += 1;
      this.waitingCount -= 1;
      // The other keys come first in the next turn.
      this.keys.delete(key);
      this.keys.set(key, calls);
      return start();
    }
  }
}

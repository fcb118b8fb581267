/** Wakes long polls when their data changes. */

/** Long polls that wait for the same change. */
export class Waiters {
  private waiting: (() => void)[] = [];

  /** Waits for the next change or the timeout. */
  wait(timeoutMs: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, timeoutMs);
      this.waiting.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  /** Resolves all pending waits. */
  wake(): void {
    const callbacks = this.waiting;
    this.waiting = [];
    for (const callback of callbacks) callback();
  }
}

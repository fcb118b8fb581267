/** Wakes long polls when something changed. */

/** A set of long polls that wait for the same change. */
export class Waiters {
  private callbacks: (() => void)[] = [];

  /** Waits for the next change, at most this long. */
  wait(timeoutMs: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, timeoutMs);
      this.callbacks.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  /** Wakes all that wait. */
  wake(): void {
    const callbacks = this.callbacks;
    this.callbacks = [];
    for (const callback of callbacks) callback();
  }
}

/** Wakes long polls when something changed. */

/** A set of long polls that wait for the same change. */
export class Waiters {
  private waiting: (() => void)[] = [];

  /** Waits for the next change, at most this long. */
  wait(boundMs: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, boundMs);
      this.waiting.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  /** Wakes all that wait. */
  wake(): void {
    const waiting = this.waiting;
    this.waiting = [];
    for (const resolve of waiting) resolve();
  }
}

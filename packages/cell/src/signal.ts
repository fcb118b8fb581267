/** A wait that ends with a signal or a timeout, whichever comes first. */
import type {Clock} from '@dragonflyward/common';

/** Wakes one waiting task. */
export class Signal {
  private wake: (() => void) | null = null;
  private isRaised = false;

  constructor(private readonly clock: Clock) {}

  /** Wakes the waiting task, or makes its next wait end at once. */
  raise(): void {
    this.isRaised = true;
    this.wake?.();
  }

  /**
   * Waits until the signal is raised or the timeout has passed.
   *
   * @example
   * await signal.wait(1000);
   */
  async wait(timeoutMs: number): Promise<void> {
    if (!this.isRaised) {
      const raised = new Promise<void>(resolve => (this.wake = resolve));
      await Promise.race([raised, this.clock.sleep(timeoutMs)]);
      this.wake = null;
    }
    this.isRaised = false;
  }
}

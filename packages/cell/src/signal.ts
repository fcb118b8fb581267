/** Lets a task wait for news or for a time, whichever comes first. */
import type {Clock} from '@dragonflyward/common';

/** A wake-up call for one waiting task. */
export class Signal {
  private wake: (() => void) | null = null;
  private isRaised = false;

  constructor(private readonly clock: Clock) {}

  /** Wakes the waiting task, or lets its next wait end at once. */
  raise(): void {
    this.isRaised = true;
    this.wake?.();
  }

  /**
   * Waits until the signal is raised or the time is over.
   *
   * @example
   * await signal.wait(1000);
   */
  async wait(boundMs: number): Promise<void> {
    if (!this.isRaised) {
      const raised = new Promise<void>(resolve => (this.wake = resolve));
      await Promise.race([raised, this.clock.sleep(boundMs)]);
      this.wake = null;
    }
    this.isRaised = false;
  }
}

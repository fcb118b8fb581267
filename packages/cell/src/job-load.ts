/** Sums up the memory that jobs need, and how fast it becomes free. */
import {sizeClassOf, type SizeClass} from './job-size.js';

/** Averages the memory that becomes free over about this time, in ms. */
const RATE_WINDOW_MS = 30_000;

/** A job as far as its memory matters. */
export interface SizedJob {
  readonly organisation: string;
  /** The memory that it needs, in bytes. */
  readonly bytes: number;
}

/** The memory that the jobs of one class need. */
class ClassLoad {
  total = 0;
  private readonly byOrganisation = new Map<string, number>();
  private freed = 0;
  private freedMs = 0;

  add(organisation: string, bytes: number): void {
    this.total += bytes;
    const left = this.of(organisation) + bytes;
    if (left > 0) this.byOrganisation.set(organisation, left);
    else this.byOrganisation.delete(organisation);
  }

  of(organisation: string): number {
    return this.byOrganisation.get(organisation) ?? 0;
  }

  recordFreed(bytes: number, nowMs: number): void {
    this.freed = this.freedNow(nowMs) + bytes;
    this.freedMs = nowMs;
  }

  bytesPerMs(nowMs: number): number {
    return this.freedNow(nowMs) / RATE_WINDOW_MS;
  }

  private freedNow(nowMs: number): number {
    return this.freed * Math.exp((this.freedMs - nowMs) / RATE_WINDOW_MS);
  }
}

/** The memory that all known jobs need, by class and organisation. */
export class JobLoad {
  private readonly classes: Readonly<Record<SizeClass, ClassLoad>> = {
    small: new ClassLoad(),
    large: new ClassLoad(),
  };

  /** Adds a job. */
  add({organisation, bytes}: SizedJob): void {
    this.classes[sizeClassOf(bytes)].add(organisation, bytes);
  }

  /** Removes a job, whose memory becomes free. */
  remove({organisation, bytes}: SizedJob, nowMs: number): void {
    const load = this.classes[sizeClassOf(bytes)];
    load.add(organisation, -bytes);
    load.recordFreed(bytes, nowMs);
  }

  /** The memory that the jobs of a class need, in bytes. */
  total(sizeClass: SizeClass): number {
    return this.classes[sizeClass].total;
  }

  /** The same for the jobs of one organisation. */
  totalOf(sizeClass: SizeClass, organisation: string): number {
    return this.classes[sizeClass].of(organisation);
  }

  /**
   * Estimates when so much memory will be free, in ms; Infinity if none became
   * free lately.
   *
   * @example
   * const retryAfterMs = load.untilFreeMs('large', missingBytes, nowMs);
   */
  untilFreeMs(sizeClass: SizeClass, bytes: number, nowMs: number): number {
    return bytes / this.classes[sizeClass].bytesPerMs(nowMs);
  }
}

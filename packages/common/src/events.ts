/** The bounded ring of events that each process keeps for the time line. */
import type {Clock} from './clock.js';

/** What an event is about; each part is there where it applies. */
export interface EventSubject {
  readonly request?: string;
  readonly job?: string;
  readonly task?: string;
  readonly team?: string;
  readonly worker?: string;
  readonly executor?: string;
  readonly shard?: string;
  readonly term?: number;
  readonly revision?: number;
}

/** The closed list of event kinds. */
export const EVENT_KINDS = [
  'processStarted',
  'processDraining',
  'processStopped',
  'peerUp',
  'peerDown',
  'logUp',
  'logDown',
  'recordSkipped',
  'ownerClaimed',
  'ownerActive',
  'ownerStopped',
  'ownerHandedOver',
  'successorsChanged',
  'configApplied',
  'configRejected',
  'keyGranted',
  'keyWithdrawn',
  'jobAccepted',
  'jobRefused',
  'jobFinished',
  'jobCancelled',
  'jobSetAside',
  'taskStarted',
  'taskAdopted',
  'taskFinished',
  'taskStopped',
  'taskLost',
  'workerUp',
  'workerLost',
  'workerSetAside',
  'executorUp',
  'executorLost',
  'executorLeaving',
  'requestRefused',
  'requestUnknown',
  'requestRetried',
  'allowanceChanged',
  'snapshotWritten',
] as const;

/** One of the closed list of event kinds. */
export type EventKind = (typeof EVENT_KINDS)[number];

/** A hybrid logical time: wall time, then a counter that breaks ties. */
export interface HybridTime {
  readonly wallMs: number;
  readonly count: number;
}

/** One event of one process. */
export interface TimelineEvent {
  readonly at: HybridTime;
  readonly process: string;
  readonly kind: EventKind;
  readonly subject: EventSubject;
  readonly note: string;
}

/**
 * Orders two hybrid times.
 *
 * @example
 * events.sort((a, b) => compareHybrid(a.at, b.at));
 */
export function compareHybrid(a: HybridTime, b: HybridTime): number {
  return a.wallMs - b.wallMs || a.count - b.count;
}

/** A hybrid logical clock; it never goes back and follows its peers. */
export class HybridClock {
  private last: HybridTime = {wallMs: 0, count: 0};

  constructor(private readonly clock: Clock) {}

  /** Returns a time later than every one given or seen before. */
  tick(): HybridTime {
    const wallMs = Math.floor(this.clock.wallMs());
    this.last =
      wallMs > this.last.wallMs
        ? {wallMs, count: 0}
        : {wallMs: this.last.wallMs, count: this.last.count + 1};
    return this.last;
  }

  /** Takes in a time that came with a message. */
  observe(seen: HybridTime): void {
    if (compareHybrid(seen, this.last) > 0) this.last = seen;
  }
}

const DEFAULT_RING_SIZE = 8192;

/** A ring that keeps the newest events of this process. */
export class EventRing {
  private readonly ring: TimelineEvent[] = [];
  private next = 0;

  constructor(
    readonly process: string,
    readonly hybrid: HybridClock,
    private readonly size = DEFAULT_RING_SIZE,
  ) {}

  /**
   * Adds an event with the current hybrid time.
   *
   * @example
   * events.add('jobAccepted', {job: 'j-1', team: 'roofs'});
   */
  add(kind: EventKind, subject: EventSubject, note = ''): void {
    const at = this.hybrid.tick();
    this.ring[this.next % this.size] = {
      at,
      process: this.process,
      kind,
      subject,
      note,
    };
    this.next += 1;
  }

  /** Lists the kept events, oldest first. */
  *list(): Generator<TimelineEvent> {
    const start = Math.max(0, this.next - this.size);
    for (let i = start; i < this.next; i += 1) {
      const event = this.ring[i % this.size];
      if (event !== undefined) yield event;
    }
  }

  /** How many events the ring has dropped to make room. */
  droppedCount(): number {
    return Math.max(0, this.next - this.size);
  }
}

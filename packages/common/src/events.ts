/** Ring buffer of recent events, from which the timeline is built. */
import type {Clock} from './clock.js';

/** The entities that an event refers to; only those that apply are set. */
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

/** All event kinds. */
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
  'domainClosed',
  'domainOpened',
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

/** The kind of an event. */
export type EventKind = (typeof EVENT_KINDS)[number];

/** Hybrid logical timestamp: wall time, and a counter that breaks ties. */
export interface HybridTime {
  readonly wallMs: number;
  readonly count: number;
}

/** An event recorded by a process. */
export interface TimelineEvent {
  readonly at: HybridTime;
  readonly process: string;
  readonly kind: EventKind;
  readonly subject: EventSubject;
  readonly note: string;
}

/**
 * Compares two hybrid logical timestamps, for sorting.
 *
 * @example
 * events.sort((a, b) => compareHybridTimes(a.at, b.at));
 */
export function compareHybridTimes(a: HybridTime, b: HybridTime): number {
  return a.wallMs - b.wallMs || a.count - b.count;
}

/** Hybrid logical clock: monotonic, and ahead of all timestamps received. */
export class HybridClock {
  private last: HybridTime = {wallMs: 0, count: 0};

  constructor(private readonly clock: Clock) {}

  /** Returns a timestamp later than all that were issued or observed. */
  tick(): HybridTime {
    const wallMs = Math.floor(this.clock.wallMs());
    this.last =
      wallMs > this.last.wallMs
        ? {wallMs, count: 0}
        : {wallMs: this.last.wallMs, count: this.last.count + 1};
    return this.last;
  }

  /** Advances the clock to a timestamp received from a peer. */
  observe(remote: HybridTime): void {
    if (compareHybridTimes(remote, this.last) > 0) this.last = remote;
  }
}

const DEFAULT_RING_CAPACITY = 8192;

/** Keeps the most recent events of this process. */
export class EventRing {
  private readonly ring: TimelineEvent[] = [];
  private addedCount = 0;

  constructor(
    readonly process: string,
    readonly hybridClock: HybridClock,
    private readonly capacity = DEFAULT_RING_CAPACITY,
  ) {}

  /**
   * Adds an event with a new hybrid timestamp.
   *
   * @example
   * events.add('jobAccepted', {job: 'j-1', team: 'roofs'});
   */
  add(kind: EventKind, subject: EventSubject, note = ''): void {
    const at = this.hybridClock.tick();
    this.ring[this.addedCount % this.capacity] = {
      at,
      process: this.process,
      kind,
      subject,
      note,
    };
    this.addedCount += 1;
  }

  /** Lists the retained events, oldest first. */
  *list(): Generator<TimelineEvent> {
    const start = Math.max(0, this.addedCount - this.capacity);
    for (let i = start; i < this.addedCount; i += 1) {
      const event = this.ring[i % this.capacity];
      if (event !== undefined) yield event;
    }
  }

  /** Number of events that newer ones have overwritten. */
  droppedCount(): number {
    return Math.max(0, this.addedCount - this.capacity);
  }
}

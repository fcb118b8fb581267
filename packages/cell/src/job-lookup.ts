/** Looks up jobs for callers: at the owner, else in the store. */
import type {Clock} from '@dragonflyward/common';
import type {Lookup, SourcedLookup} from './job-frontend.js';
import type {CellConnection} from './members.js';
import type {Owner} from './owner.js';
import type {LogFunction} from './platform.js';
import type {StoredJobs} from './stored-jobs.js';

/** Timeout of a request to the owner for a job's phase, in ms. */
const PHASE_ASK_TIMEOUT_MS = 700;

/** Dependencies of lookups. */
export interface JobLookupDeps {
  /** The owner on this VM that acts, or null. */
  readonly owner: () => Pick<Owner, 'lookup'> | null;
  readonly ownerConnection: () => Pick<CellConnection, 'ask'> | undefined;
  /** The newest term that this VM knows. */
  readonly term: () => number;
  readonly storedJobs: Pick<StoredJobs, 'lookup'>;
  readonly clock: Clock;
  readonly log: LogFunction;
}

/** Looks up jobs that are not in the VM's table. */
export class JobLookup {
  constructor(private readonly deps: JobLookupDeps) {}

  /**
   * Asks the owner, and the store if the owner does not know; then an owner that
   * has begun to act meanwhile.
   *
   * @example
   * const {row, isSure} = await jobLookup.find(id, remainingMs);
   */
  async find(id: string, timeoutMs: number): Promise<SourcedLookup> {
    const {clock, storedJobs} = this.deps;
    const untilMs = clock.monotonicMs() + timeoutMs;
    const known = await this.findAtOwner(id, timeoutMs);
    if (known !== null) return known;
    const term = this.deps.term();
    const leftMs = untilMs - clock.monotonicMs();
    const stored = await storedJobs.lookup(id, leftMs);
    const lookup = {...stored, source: 'store', term} as const;
    if (stored.row !== null || stored.isSure) return lookup;
    const restMs = untilMs - clock.monotonicMs();
    if (restMs <= 0) return lookup;
    return (await this.findAtOwner(id, restMs)) ?? lookup;
  }

  /** Returns null if there is no owner, or it still loads the state. */
  private async findAtOwner(
    id: string,
    timeoutMs: number,
  ): Promise<SourcedLookup | null> {
    const term = this.deps.term();
    const owner = this.deps.owner();
    if (owner !== null) {
      const own = await owner.lookup(id, timeoutMs);
      return {...own, source: 'ownState', term};
    }
    const reply = await this.askOwner(id, timeoutMs);
    if (reply === null || (reply.row === null && !reply.isSure)) return null;
    const {row, isSure} = reply;
    return {row, isSure, source: 'owner', term};
  }

  /** Answers another VM, which takes this one for the owner. */
  async answer(id: string): Promise<Lookup> {
    const lookup = await this.deps.owner()?.lookup(id, PHASE_ASK_TIMEOUT_MS);
    return lookup ?? {row: null, isSure: false};
  }

  /** Returns the owner's answer, or null if there is none. */
  private async askOwner(
    id: string,
    timeoutMs: number,
  ): Promise<Lookup | null> {
    const connection = this.deps.ownerConnection();
    if (connection === undefined) return null;
    const askTimeoutMs = Math.max(1, Math.min(timeoutMs, PHASE_ASK_TIMEOUT_MS));
    try {
      const reply = await connection.ask({type: 'phaseAsk', id}, askTimeoutMs);
      return reply.type === 'phase' ? reply : null;
    } catch (err) {
      this.deps.log('phaseAskFailed', {job: id, err: String(err)});
      return null;
    }
  }
}

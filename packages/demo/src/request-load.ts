/** Sends requests at a steady rate, independent of earlier replies. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {
  CallerClient,
  Outcome,
  RequestCall,
  RequestResult,
} from '@dragonflyward/standins';

const MS_PER_SECOND = 1_000;

/** An open-loop load of one kind of request. */
export class RequestLoad {
  readonly results: RequestResult[] = [];
  private readonly pending = new Set<Promise<void>>();
  private isStopped = false;
  private sentCount = 0;

  constructor(
    private readonly caller: CallerClient,
    private readonly call: RequestCall,
    private readonly perSecond: number,
  ) {}

  get sent(): number {
    return this.sentCount;
  }

  /** Sends requests until the load is stopped. */
  async run(): Promise<void> {
    const startMs = performance.now();
    while (!this.isStopped) {
      const dueMs = startMs + (this.sentCount * MS_PER_SECOND) / this.perSecond;
      await sleep(Math.max(0, dueMs - performance.now()));
      this.send();
    }
  }

  /** Stops sending and waits for the open requests. */
  async stop(): Promise<readonly RequestResult[]> {
    this.isStopped = true;
    await Promise.all(this.pending);
    return this.results;
  }

  /** The labels of the requests that have ended. */
  labels(): readonly string[] {
    return this.results.map(result => result.label);
  }

  private send(): void {
    this.sentCount += 1;
    const sending = this.caller.request(this.call).then(result => {
      this.results.push(result);
      this.pending.delete(sending);
    });
    this.pending.add(sending);
  }
}

/**
 * Counts the results with one outcome.
 *
 * @example
 * assert.is(countOutcome(await load.stop(), 'lost'), 0);
 */
export function countOutcome(
  results: readonly RequestResult[],
  outcome: Outcome,
): number {
  return results.filter(result => result.outcome === outcome).length;
}

/**
 * Lists the results with any other outcome, for an assertion message.
 *
 * @example
 * assert.is(answered, all, describeOthers(results, 'answered'));
 */
export function describeOthers(
  results: readonly RequestResult[],
  outcome: Outcome,
): string {
  const others = results.filter(result => result.outcome !== outcome);
  const lines = others.map(
    ({outcome, status, kind, tookMs}) =>
      `${outcome} ${status} ${kind} after ${Math.round(tookMs)} ms`,
  );
  return [`${others.length} of ${results.length} are not`, ...lines].join('\n');
}

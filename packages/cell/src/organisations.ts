/** What each organisation has running, and its limit and weight. */
import {NO_RESOURCES, type Resources} from '@dragonflyward/common';
import type {JobState} from './job-state.js';
import type {CellConfig, Organisation} from './types.js';

/** Seconds of its weight that an organisation may submit at once. */
const BURST_SECONDS = 2;

interface Usage {
  cpuMilli: number;
  memMb: number;
  accel: number;
  /** Jobs that may still be submitted at the organisation's weight. */
  tokens: number;
  tokensAtMs: number;
}

/** The organisations of the cell. */
export class OrganisationTable {
  private readonly usage = new Map<string, Usage>();
  private limits = new Map<string, Organisation>();

  /** Takes over weights and limits. */
  setConfig(config: CellConfig): void {
    this.limits = new Map(config.organisations.map(each => [each.name, each]));
  }

  /** Adds or takes off what a task uses. */
  add(organisation: string, size: Resources, sign: 1 | -1): void {
    const usage = this.usageOf(organisation);
    usage.cpuMilli += sign * size.cpuMilli;
    usage.memMb += sign * size.memMb;
    usage.accel += sign * size.accel;
  }

  /** Tells whether the organisation may run that many more tasks. */
  mayRun(organisation: string, size: Resources, count: number): boolean {
    const limit = this.limits.get(organisation)?.limit ?? NO_RESOURCES;
    const usage = this.usageOf(organisation);
    return (
      isWithin(usage.cpuMilli + count * size.cpuMilli, limit.cpuMilli) &&
      isWithin(usage.memMb + count * size.memMb, limit.memMb) &&
      isWithin(usage.accel + count * size.accel, limit.accel)
    );
  }

  /** Counts a job; tells whether it is beyond the organisation's weight. */
  noteJob({organisation, acceptedMs}: JobState): boolean {
    const known = this.limits.get(organisation);
    if (known === undefined) return false;
    const usage = this.usageOf(organisation);
    const most = Math.max(1, known.weight * BURST_SECONDS);
    const passedMs = Math.max(0, acceptedMs - usage.tokensAtMs);
    usage.tokens = Math.min(
      most,
      usage.tokens + (passedMs / 1000) * known.weight,
    );
    usage.tokensAtMs = Math.max(acceptedMs, usage.tokensAtMs);
    if (usage.tokens < 1) return true;
    usage.tokens -= 1;
    return false;
  }

  private usageOf(organisation: string): Usage {
    const known = this.usage.get(organisation);
    if (known !== undefined) return known;
    const usage = {cpuMilli: 0, memMb: 0, accel: 0, tokens: 0, tokensAtMs: 0};
    this.usage.set(organisation, usage);
    return usage;
  }
}

function isWithin(value: number, limit: number): boolean {
  return limit === 0 || value <= limit;
}

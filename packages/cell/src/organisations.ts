/** Resource usage, limits and submission rates of organisations. */
import {NO_RESOURCES, type Resources} from '@dragonflyward/common';
import type {JobState} from './job-state.js';
import type {ResourceAmounts} from './resource-amounts.js';
import type {CellConfig, Organisation} from './types.js';

/** Burst size: this many seconds of the submission rate at once. */
const BURST_SECONDS = 2;

interface Usage {
  cpuMilli: number;
  memMb: number;
  accel: number;
  /** Token bucket of submissions, refilled at `weight` jobs a second. */
  tokens: number;
  tokensUpdatedMs: number;
}

/** Tracks the resource usage and submission rate of each organisation. */
export class OrganisationTable {
  private readonly usage = new Map<string, Usage>();
  private limits = new Map<string, Organisation>();
  private unknownUsage: ReadonlyMap<string, ResourceAmounts> = new Map();

  /** Applies the configured weights and limits. */
  setConfig(config: CellConfig): void {
    this.limits = new Map(config.organisations.map(each => [each.name, each]));
  }

  /** Adds or subtracts the resources of a task. */
  addUsage(organisation: string, size: Resources, sign: 1 | -1): void {
    const usage = this.entryOf(organisation);
    usage.cpuMilli += sign * size.cpuMilli;
    usage.memMb += sign * size.memMb;
    usage.accel += sign * size.accel;
  }

  /** Sets what runs that are not known may use, by organisation. */
  setUnknownUsage(usage: ReadonlyMap<string, ResourceAmounts>): void {
    this.unknownUsage = usage;
  }

  /** Whether the limit allows that many more tasks of the size. */
  mayRun(organisation: string, size: Resources, count: number): boolean {
    const unknown = this.unknownUsage.get(organisation) ?? NO_RESOURCES;
    return this.hasRoom(organisation, size, count, unknown);
  }

  /**
   * The same, provided that there are no runs that are not known.
   *
   * @example
   * const maySoon = organisations.mayRunIfKnown(organisation, spec.size, 1);
   */
  mayRunIfKnown(organisation: string, size: Resources, count: number): boolean {
    return this.hasRoom(organisation, size, count, NO_RESOURCES);
  }

  private hasRoom(
    organisation: string,
    size: Resources,
    count: number,
    {cpuMilli, memMb, accel}: ResourceAmounts,
  ): boolean {
    const limit = this.limits.get(organisation)?.limit ?? NO_RESOURCES;
    const usage = this.entryOf(organisation);
    return (
      isWithin(
        usage.cpuMilli + cpuMilli + count * size.cpuMilli,
        limit.cpuMilli,
      ) &&
      isWithin(usage.memMb + memMb + count * size.memMb, limit.memMb) &&
      isWithin(usage.accel + accel + count * size.accel, limit.accel)
    );
  }

  /**
   * Counts a submitted job.
   *
   * @returns whether it exceeds the submission rate of the organisation
   */
  countJob({organisation, acceptedMs}: JobState): boolean {
    const known = this.limits.get(organisation);
    if (known === undefined) return false;
    const usage = this.entryOf(organisation);
    const maxTokens = Math.max(1, known.weight * BURST_SECONDS);
    const passedMs = Math.max(0, acceptedMs - usage.tokensUpdatedMs);
    usage.tokens = Math.min(
      maxTokens,
      usage.tokens + (passedMs / 1000) * known.weight,
    );
    usage.tokensUpdatedMs = Math.max(acceptedMs, usage.tokensUpdatedMs);
    if (usage.tokens < 1) return true;
    usage.tokens -= 1;
    return false;
  }

  /** What the organisation may use at most; null for no limit at all. */
  limitOf(organisation: string): ResourceAmounts | null {
    const limit = this.limits.get(organisation)?.limit ?? NO_RESOURCES;
    const {cpuMilli, memMb, accel} = limit;
    return cpuMilli + memMb + accel === 0 ? null : limit;
  }

  /** What its tasks use. */
  usageOf(organisation: string): ResourceAmounts {
    return this.entryOf(organisation);
  }

  private entryOf(organisation: string): Usage {
    const known = this.usage.get(organisation);
    if (known !== undefined) return known;
    const usage = {
      cpuMilli: 0,
      memMb: 0,
      accel: 0,
      tokens: 0,
      tokensUpdatedMs: 0,
    };
    this.usage.set(organisation, usage);
    return usage;
  }
}

function isWithin(value: number, limit: number): boolean {
  return limit === 0 || value <= limit;
}

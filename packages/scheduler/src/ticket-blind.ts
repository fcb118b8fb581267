/**
 * Bounds what gateways may still hold from a former owner of the shard.
 *
 * A gateway may use only a part of each executor's slots and of each team's
 * allowance. After a takeover that part counts as used for each gateway that
 * has not listed its open tickets, until the longest ticket has run out.
 */
import type {Clock} from '@dragonflyward/common';

/** Gateways among which the load of one shard may be spread unevenly. */
const SPREAD_FACTOR = 3;
/** By how many the former owner's count of gateways may have been lower. */
const GATEWAY_COUNT_DOUBT = 2;

/**
 * How much of a total one gateway may use.
 *
 * @example
 * gatewayPart(8, 9); // 3
 */
export function gatewayPart(total: number, gateways: number): number {
  if (gateways <= SPREAD_FACTOR) return total;
  return Math.min(total, Math.ceil((SPREAD_FACTOR * total) / gateways));
}

/** What silent gateways may hold after a takeover. */
export class BlindUse {
  private readonly listed = new Set<string>();
  private readonly adoptedByTeam = new Map<string, number>();
  private gateways = 1;
  private untilMs = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Starts to count for the silent gateways. */
  begin(forMs: number): void {
    this.untilMs = this.clock.monotonicMs() + forMs;
  }

  /** Sets how many gateways may hold tickets. */
  setGateways(count: number): void {
    this.gateways = count;
  }

  /** Takes in that a gateway has listed its tickets, by team. */
  addListed(gateway: string, teams: readonly string[]): void {
    if (this.listed.has(gateway)) return;
    this.listed.add(gateway);
    for (const team of teams) {
      this.adoptedByTeam.set(team, (this.adoptedByTeam.get(team) ?? 0) + 1);
    }
  }

  /** Slots of an executor that silent gateways may use. */
  slots(executorSlots: number): number {
    const part = gatewayPart(executorSlots, this.formerGateways());
    return Math.min(executorSlots, this.silentGateways() * part);
  }

  /** Slots of a team's allowance that silent gateways may use. */
  teamSlots(team: string, allowance: number): number {
    const part = gatewayPart(allowance, this.formerGateways());
    const unseen = allowance - (this.adoptedByTeam.get(team) ?? 0);
    return Math.max(0, Math.min(unseen, this.silentGateways() * part));
  }

  /** Gateways that may hold tickets which this owner does not know. */
  silentGateways(): number {
    if (this.clock.monotonicMs() >= this.untilMs) return 0;
    return Math.max(0, this.gateways - this.listed.size);
  }

  private formerGateways(): number {
    return Math.max(1, this.gateways - GATEWAY_COUNT_DOUBT);
  }
}

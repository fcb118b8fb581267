/**
 * Bounds what gateways may still hold from a former owner of the shard.
 *
 * A gateway may use only a part of each executor's slots and of each team's
 * allowance. After a takeover that part counts as used for each gateway that
 * has not listed its open tickets, until the longest ticket has run out.
 */
import type {Clock} from '@dragonflyward/common';

/** Gateways among which the load of one shard may be spread unevenly. */
const LOAD_SKEW_FACTOR = 3;
/** By how many the former owner's count of gateways may have been lower. */
const GATEWAY_COUNT_MARGIN = 2;

/**
 * How much of a total one gateway may use.
 *
 * @example
 * gatewayLimit(8, 9); // 3
 */
export function gatewayLimit(total: number, gateways: number): number {
  if (gateways <= LOAD_SKEW_FACTOR) return total;
  return Math.min(total, Math.ceil((LOAD_SKEW_FACTOR * total) / gateways));
}

/** What silent gateways may hold after a takeover. */
export class UnreportedUsage {
  private readonly reportedGateways = new Set<string>();
  private readonly reportedSlotsByTeam = new Map<string, number>();
  private gateways = 1;
  private untilMs = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Starts to count for the silent gateways. */
  start(forMs: number): void {
    this.untilMs = this.clock.monotonicMs() + forMs;
  }

  /** Sets how many gateways may hold tickets. */
  setGatewayCount(count: number): void {
    this.gateways = count;
  }

  /** Takes in that a gateway has listed its tickets, by team. */
  addReported(gateway: string, teams: readonly string[]): void {
    if (this.reportedGateways.has(gateway)) return;
    this.reportedGateways.add(gateway);
    for (const team of teams) {
      this.reportedSlotsByTeam.set(
        team,
        (this.reportedSlotsByTeam.get(team) ?? 0) + 1,
      );
    }
  }

  /** Slots of an executor that silent gateways may use. */
  executorSlots(executorSlots: number): number {
    const limit = gatewayLimit(executorSlots, this.minFormerGateways());
    return Math.min(executorSlots, this.unreportedGateways() * limit);
  }

  /** Slots of a team's allowance that silent gateways may use. */
  teamSlots(team: string, allowance: number): number {
    const limit = gatewayLimit(allowance, this.minFormerGateways());
    const remaining = allowance - (this.reportedSlotsByTeam.get(team) ?? 0);
    return Math.max(0, Math.min(remaining, this.unreportedGateways() * limit));
  }

  /** Gateways that may hold tickets which this owner does not know. */
  unreportedGateways(): number {
    if (this.clock.monotonicMs() >= this.untilMs) return 0;
    return Math.max(0, this.gateways - this.reportedGateways.size);
  }

  private minFormerGateways(): number {
    return Math.max(1, this.gateways - GATEWAY_COUNT_MARGIN);
  }
}

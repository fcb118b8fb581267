/**
 * Bounds the tickets that gateways may still hold from a former owner of the
 * shard.
 *
 * Each gateway may use only a limited number of each executor's slots and of
 * each team's allowance. After a takeover, that number counts as used for
 * each gateway that has not reported its open tickets, until the longest
 * possible ticket has expired.
 */
import type {Clock} from '@dragonflyward/common';

/**
 * One gateway may use up to this many times its even share of a total, as the
 * load of a shard may be spread unevenly over the gateways.
 */
const LOAD_SKEW_FACTOR = 3;
/** By how many the former owner may have undercounted the gateways. */
const GATEWAY_COUNT_MARGIN = 2;

/**
 * Computes how much of a total one gateway may use.
 *
 * @example
 * gatewayLimit(8, 9); // 3
 */
export function gatewayLimit(total: number, gatewayCount: number): number {
  if (gatewayCount <= LOAD_SKEW_FACTOR) return total;
  return Math.min(total, Math.ceil((LOAD_SKEW_FACTOR * total) / gatewayCount));
}

/** Upper bounds on what gateways may hold without having reported it. */
export class UnreportedUsage {
  private readonly reportedGateways = new Set<string>();
  private readonly reportedSlotsByTeam = new Map<string, number>();
  private gatewayCount = 1;
  private untilMs = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Counts gateways that have not reported as using slots, for a while. */
  start(forMs: number): void {
    this.untilMs = this.clock.monotonicMs() + forMs;
  }

  /** Sets how many gateways may hold tickets. */
  setGatewayCount(count: number): void {
    this.gatewayCount = count;
  }

  /** Records that a gateway reported its tickets: the team of each one. */
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

  /** Slots of an executor that gateways may use without having reported. */
  executorSlots(totalSlots: number): number {
    const limit = gatewayLimit(totalSlots, this.minFormerGateways());
    return Math.min(totalSlots, this.unreportedGateways() * limit);
  }

  /** Slots of an allowance that gateways may use without having reported. */
  teamSlots(team: string, allowance: number): number {
    const limit = gatewayLimit(allowance, this.minFormerGateways());
    const remaining = allowance - (this.reportedSlotsByTeam.get(team) ?? 0);
    return Math.max(0, Math.min(remaining, this.unreportedGateways() * limit));
  }

  /** Number of gateways that may hold tickets unknown to this owner. */
  unreportedGateways(): number {
    if (this.clock.monotonicMs() >= this.untilMs) return 0;
    return Math.max(0, this.gatewayCount - this.reportedGateways.size);
  }

  private minFormerGateways(): number {
    return Math.max(1, this.gatewayCount - GATEWAY_COUNT_MARGIN);
  }
}

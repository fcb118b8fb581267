/**
 * The calls of the advice service through one VM. The service takes one call of
 * a VM at a time, so further calls are sent before the earlier ones are
 * answered: each then waits at the service, not the service for it.
 */
import type {AdviceChannel} from './ticket-requester.js';

/**
 * How long a call may have to wait at the service, in ms. It covers the time
 * until the owner sends further calls; a call that has been sent cannot be
 * withdrawn for a more urgent one.
 */
const MAX_WAIT_AT_SERVICE_MS = 100;
/** The most unanswered calls; the service refuses more than 32 of a VM. */
const MAX_CALLS = 24;
/** Assumed time of a call on its way there and back, in ms. */
const INITIAL_ROUND_TRIP_MS = 60;
/** The same from the owner's own VM or failure domain, in ms. */
const INITIAL_NEAR_ROUND_TRIP_MS = 10;
/** Weight of the newest call in the moving average of the round trip. */
const NEW_CALL_WEIGHT = 0.2;
/** How long a VM is not used after a failed call, in ms; doubles each time. */
const BACKOFF_MS = 500;

/** A call without an answer yet. */
export interface OpenCall {
  readonly sentMs: number;
  /** How long the service works on it, in ms. */
  readonly expectedMs: number;
}

/** Tells when a call through one VM would be answered. */
export class AdviceLane {
  private readonly open = new Set<OpenCall>();
  private roundTripMs: number;
  /** When the service finished the newest answered call. */
  private servedMs = -Infinity;
  /** When it is expected to finish the calls that are open. */
  private freeMs = -Infinity;
  private failureCount = 0;
  private failedMs = -Infinity;

  constructor({isInOwnerDomain}: AdviceChannel) {
    this.roundTripMs = isInOwnerDomain
      ? INITIAL_NEAR_ROUND_TRIP_MS
      : INITIAL_ROUND_TRIP_MS;
  }

  /** Whether the last call, if any, was answered. */
  get isAnswering(): boolean {
    return this.failureCount === 0;
  }

  /** Whether no call waits for an answer. */
  get isIdle(): boolean {
    return this.open.size === 0;
  }

  /** How long a call is on its way there and back, in ms. */
  get distanceMs(): number {
    return this.roundTripMs;
  }

  /** Whether a VM whose last call failed may be tried again. */
  mayRetry(nowMs: number, maxPauseMs: number): boolean {
    const pauseMs = BACKOFF_MS * 2 ** (this.failureCount - 1);
    return (
      this.isIdle && this.failedMs + Math.min(maxPauseMs, pauseMs) <= nowMs
    );
  }

  /** Whether a call sent now keeps the service busy without a long wait. */
  hasRoom(nowMs: number): boolean {
    if (this.open.size >= MAX_CALLS) return false;
    return this.waitMs(nowMs) <= MAX_WAIT_AT_SERVICE_MS;
  }

  /** How long a call sent now is expected to take until its answer, in ms. */
  answerInMs(expectedMs: number, nowMs: number): number {
    return this.roundTripMs + this.waitMs(nowMs) + expectedMs;
  }

  /** Records that a call is sent. */
  begin(expectedMs: number, nowMs: number): OpenCall {
    const call = {sentMs: nowMs, expectedMs};
    this.open.add(call);
    this.freeMs = Math.max(this.freeMs, this.arrivalMs(nowMs)) + expectedMs;
    return call;
  }

  /** Records the answer to a call. */
  end(call: OpenCall, nowMs: number): void {
    const arrivalMs = this.arrivalMs(call.sentMs);
    // The answer to a call that had to wait does not show the round trip.
    if (this.servedMs <= arrivalMs) {
      const roundTripMs = Math.max(0, nowMs - call.sentMs - call.expectedMs);
      const change = roundTripMs - this.roundTripMs;
      this.roundTripMs += change * NEW_CALL_WEIGHT;
    }
    this.servedMs = Math.max(this.servedMs, nowMs - this.roundTripMs / 2);
    this.open.delete(call);
    this.failureCount = 0;
    this.updateFreeMs();
  }

  /** Records that a call has failed or was not answered. */
  fail(call: OpenCall, nowMs: number): void {
    this.open.delete(call);
    // Calls that were open at the same time fail for the same reason.
    if (call.sentMs >= this.failedMs) this.failureCount += 1;
    this.failedMs = nowMs;
    this.updateFreeMs();
  }

  /** How long a call that is sent now has to wait at the service. */
  private waitMs(nowMs: number): number {
    return Math.max(0, this.freeMs - this.arrivalMs(nowMs));
  }

  private updateFreeMs(): void {
    this.freeMs = this.servedMs;
    for (const {sentMs, expectedMs} of this.open) {
      this.freeMs = Math.max(this.freeMs, this.arrivalMs(sentMs)) + expectedMs;
    }
  }

  private arrivalMs(sentMs: number): number {
    return sentMs + this.roundTripMs / 2;
  }
}

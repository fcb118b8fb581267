/** When it is a VM's turn to claim the cell: the best VMs are first. */
import {claimDelayMs} from './claim-delay.js';
import type {ElectionDeps, ElectionHost} from './election-host.js';
import {LoadBackoff} from './load-backoff.js';
import {mayOwn} from './successor.js';

/** Time for which a VM whose load failed leaves the claim to others, in ms. */
const OTHERS_CLAIM_MS = 5000;

/** The turn of one VM. */
export class ClaimTurn {
  private readonly backoff = new LoadBackoff();

  constructor(
    private readonly deps: ElectionDeps,
    private readonly host: ElectionHost,
  ) {}

  /** Whether this VM gave up a load lately and leaves the cell to others. */
  get hasLoadFailed(): boolean {
    return this.backoff.isWaiting(this.deps.clock.monotonicMs());
  }

  /** Records whether the VM could load the state when it owned the cell. */
  recordLoad(isLoaded: boolean): void {
    if (isLoaded) return this.backoff.recordSuccess();
    this.deps.metrics.count('owner_loads_given_up_total');
    this.backoff.recordFailure(this.deps.clock.monotonicMs());
  }

  /**
   * Returns how long the VM waits before it claims the cell, in ms.
   *
   * @param rttMs the round trip of its newest call to the store
   * @param ownerVm the VM that owned the cell, whose size does not count
   * @example
   * await clock.sleep(turn.delayMs(rttMs, record.vm));
   */
  delayMs(rttMs: number, ownerVm?: string): number {
    const {members, cores} = this.deps;
    return claimDelayMs({
      rttMs,
      isLargerKnown: members.maxPeerCores(ownerVm) > cores,
      hasConfig: this.host.hasConfig(),
      hasFailed: this.backoff.hasFailed,
    });
  }

  /**
   * Whether this VM could not load the state, and another one may claim.
   *
   * @param unownedMs for how long the VM has known no owner
   */
  isLeftToOthers(unownedMs: number, ownerVm?: string): boolean {
    if (unownedMs > OTHERS_CLAIM_MS || !this.hasLoadFailed) return false;
    return [...this.deps.members.connected()].some(
      member => mayOwn(member) && member.address.vm !== ownerVm,
    );
  }
}

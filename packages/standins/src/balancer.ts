/** A stand-in for the platform's load balancer. */
import {setTimeout as sleep} from 'node:timers/promises';
import {raise} from '@dragonflyward/common';
import type {Rig} from './rig.js';

const PROBE_PERIOD_MS = 200;

/** Picks among the gateways that were ready at the last probe, round robin. */
export class Balancer {
  private ready: readonly string[] = [];
  private turn = 0;
  private isStopped = false;

  constructor(private readonly rig: Rig) {
    void this.probeGateways();
  }

  /**
   * Returns the URL of the next ready gateway.
   *
   * @throws peerDown when none is ready
   */
  pick(): string {
    this.turn += 1;
    const url = this.ready[this.turn % Math.max(1, this.ready.length)];
    return url ?? raise('peerDown', 'no gateway is ready');
  }

  stop(): void {
    this.isStopped = true;
  }

  private async probeGateways(): Promise<void> {
    while (!this.isStopped) {
      const probes = this.rig.entries.map(async ({id}) => {
        const isReady = await this.rig.isReady('gateway', id);
        return isReady ? this.rig.gatewayUrl(id) : undefined;
      });
      const results = await Promise.allSettled(probes);
      const urls = results.map(res =>
        res.status === 'fulfilled' ? res.value : undefined,
      );
      this.ready = urls.filter(url => url !== undefined);
      await sleep(PROBE_PERIOD_MS);
    }
  }
}

/** A simulated link between one client and the store. */
import type {Clock} from '@dragonflyward/common';
import {StoreError, type StoredRecord} from '@dragonflyward/cell';

/** Size of the parts in which calls take turns on the link. */
const PART_BYTES = 16_384;
/** What a record of a page takes besides its key and its value. */
const RECORD_OVERHEAD_BYTES = 40;
/** Values are sent in base64. */
const VALUE_FACTOR = 4 / 3;

/** How long a transfer may take in total, and without a part of it. */
export interface TransferBound {
  readonly totalMs: number;
  readonly idleMs: number;
}

/** The size of a page of records on the wire. */
export function pageWireBytes(records: readonly StoredRecord[]): number {
  let bytes = 0;
  for (const {key, value} of records) {
    bytes += RECORD_OVERHEAD_BYTES + key.length + value.length * VALUE_FACTOR;
  }
  return Math.ceil(bytes);
}

/** Carries the parts of all transfers one after the other. */
export class NarrowLink {
  private freeMs = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly bytesPerS: () => number,
  ) {}

  /**
   * Resolves when all has arrived.
   *
   * @throws StoreError beyond the bound; what was sent has used the link
   */
  async carry(
    bytes: number,
    bound: TransferBound,
    onData: (bytes: number) => void = () => undefined,
    signal?: AbortSignal,
  ): Promise<void> {
    // An unlimited link takes no turn of the clock.
    if (this.bytesPerS() === Infinity) return onData(bytes);
    const {clock} = this;
    const startMs = clock.monotonicMs();
    for (let sent = 0; sent < bytes; sent += PART_BYTES) {
      const partMs = clock.monotonicMs();
      const part = Math.min(PART_BYTES, bytes - sent);
      await this.carryPart(part);
      if (signal?.aborted === true) throw new StoreError('unknown', 'aborted');
      const nowMs = clock.monotonicMs();
      if (nowMs - startMs > bound.totalMs || nowMs - partMs > bound.idleMs) {
        throw new StoreError('unknown', `${sent} of ${bytes} bytes arrived`);
      }
      onData(part);
    }
  }

  private async carryPart(bytes: number): Promise<void> {
    const nowMs = this.clock.monotonicMs();
    this.freeMs =
      Math.max(nowMs, this.freeMs) + (bytes * 1000) / this.bytesPerS();
    await this.clock.sleep(this.freeMs - nowMs);
  }
}

/** What the owner tells the other VMs of its newest record in the store. */
import type {OwnerAddress, OwnerRecord} from './ownership.js';

/** The record that an owner has stored last. */
interface Told {
  readonly sender: OwnerAddress;
  readonly term: number;
  /** The end of the owner topic after it. */
  readonly endOffset: number;
  /** When this VM was first told of it, on its monotonic clock. */
  readonly toldMs: number;
}

/** Remembers since when the newest record that a VM was told of is stored. */
export class ToldRecord {
  private newest: Told | null = null;

  /**
   * Takes in that the sender, which owns the cell, has stored a record. Late
   * and repeated messages have no effect.
   *
   * @example
   * told.record(from.self, {term, endOffset}, clock.monotonicMs());
   */
  record(
    sender: OwnerAddress,
    {term, endOffset}: {readonly term: number; readonly endOffset: number},
    nowMs: number,
  ): void {
    const {newest} = this;
    if (newest !== null && term < newest.term) return;
    if (newest?.term === term && endOffset <= newest.endOffset) return;
    this.newest = {sender, term, endOffset, toldMs: nowMs};
  }

  /**
   * When this VM was told of the newest record of a snapshot; Infinity if it
   * was not. All appends name the end of the topic, so a record that another
   * one has followed would end elsewhere.
   *
   * @example
   * const toldMs = told.sinceMs(snapshot);
   */
  sinceMs({
    record,
    endOffset,
  }: {
    readonly record: OwnerRecord | null;
    readonly endOffset: number;
  }): number {
    const {newest} = this;
    if (newest === null || record === null) return Infinity;
    const {sender, term, toldMs} = newest;
    const isOfSender =
      record.vm === sender.vm &&
      record.incarnation === sender.incarnation &&
      record.term === term;
    return isOfSender && newest.endOffset === endOffset ? toldMs : Infinity;
  }
}

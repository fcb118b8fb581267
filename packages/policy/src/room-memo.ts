/** Remembers which needs found no room, so that they are not tried in vain. */
import {fitsIn, type Resources} from '@dragonflyward/common';
import type {WorkerState} from './state.js';

/** The work that a pass over the teams places. */
export type Tier =
  /** Urgent work of teams that are within their share. */
  | 'urgent'
  /** All work. */
  | 'all';

/** Needs that fit nowhere until some worker gets more room. */
export class RoomMemo {
  private readonly full = {
    urgent: new Map<string, Resources>(),
    all: new Map<string, Resources>(),
  };

  /** Notes that tasks of this size found no room. */
  noteFull(tier: Tier, roomKey: string, size: Resources): void {
    this.full[tier].set(roomKey, size);
  }

  /** Tells whether the need cannot have room by now. */
  isFull(tier: Tier, roomKey: string): boolean {
    return this.full[tier].has(roomKey);
  }

  /** Forgets the needs that could use the room on this worker. */
  noteRoom(worker: WorkerState): void {
    if (worker.worker.condition !== 'ready') return;
    for (const sizes of Object.values(this.full)) {
      for (const [key, size] of sizes) {
        if (fitsIn(size, worker.free)) sizes.delete(key);
      }
    }
  }
}

/** Remembers which sizes found no room, so that they are not tried in vain. */
import {fitsIn, type Resources} from '@dragonflyward/common';
import type {WorkerState} from './state.js';

/** Sizes that fit nowhere until some worker gets more room. */
export class RoomMemo {
  private readonly full = new Map<string, Resources>();

  /** Notes that this size found no room. */
  noteFull(key: string, size: Resources): void {
    this.full.set(key, size);
  }

  /** Tells whether the size cannot have room by now. */
  isFull(key: string): boolean {
    return this.full.has(key);
  }

  /** Forgets the sizes that could use the room on this worker. */
  noteRoom(worker: WorkerState): void {
    if (worker.worker.condition !== 'ready') return;
    for (const [key, size] of this.full) {
      if (fitsIn(size, worker.free)) this.full.delete(key);
    }
  }

  /** Forgets all. */
  clear(): void {
    this.full.clear();
  }
}

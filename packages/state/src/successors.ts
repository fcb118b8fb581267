/** Chooses the processes that may take a shard over. */
import {isSameProcess, type ProcessRef} from '@dragonflyward/common';
import type {OwnershipPeers} from './ownership-types.js';

/** How many successors an owner lists; each has to promise in an outage. */
export const MAX_SUCCESSORS = 2;
/** A process silent for longer is replaced as a successor. */
const SUCCESSOR_SILENCE_MS = 3_000;

/**
 * Keeps the successors that are alive and fills the list up.
 *
 * @example
 * const successors = chooseSuccessors(fold.successors, peers);
 */
export function chooseSuccessors(
  present: readonly ProcessRef[],
  peers: OwnershipPeers,
): readonly ProcessRef[] {
  const candidates = peers.candidates();
  const alive = candidates.filter(process => isAlive(process, peers));
  const kept = present.filter(process => includes(alive, process));
  const added = alive.filter(process => !includes(kept, process));
  return [...kept, ...added].slice(0, MAX_SUCCESSORS);
}

/**
 * Tells whether two lists name the same processes in the same order.
 *
 * @example
 * if (isSameList(fold.successors, wanted)) return;
 */
export function isSameList(
  a: readonly ProcessRef[],
  b: readonly ProcessRef[],
): boolean {
  if (a.length !== b.length) return false;
  return a.every((process, i) => {
    const other = b[i];
    return other !== undefined && isSameProcess(process, other);
  });
}

function isAlive(process: ProcessRef, peers: OwnershipPeers): boolean {
  if (!peers.isListed(process)) return false;
  return peers.silentMs(process) < SUCCESSOR_SILENCE_MS;
}

function includes(list: readonly ProcessRef[], process: ProcessRef): boolean {
  return list.some(other => isSameProcess(other, process));
}

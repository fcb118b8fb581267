/** Chooses the successors of the owner of a shard. */
import {isSameProcess, type ProcessRef} from '@dragonflyward/common';
import type {OwnershipPeers} from './ownership-types.js';

/**
 * How many successors an owner lists. Each of them has to give a promise while
 * the log is down.
 */
export const MAX_SUCCESSORS = 2;
/** A successor that was silent for longer is replaced. */
const SUCCESSOR_SILENCE_TIMEOUT_MS = 3_000;

/**
 * Keeps the current successors that are alive and adds others up to the
 * maximum.
 *
 * @example
 * const successors = chooseSuccessors(state.successors, peers);
 */
export function chooseSuccessors(
  current: readonly ProcessRef[],
  peers: OwnershipPeers,
): readonly ProcessRef[] {
  const candidates = peers.candidates();
  const alive = candidates.filter(process => isListedAndHeard(process, peers));
  const kept = current.filter(process => includes(alive, process));
  const added = alive.filter(process => !includes(kept, process));
  return [...kept, ...added].slice(0, MAX_SUCCESSORS);
}

/**
 * Tells whether two lists name the same processes in the same order.
 *
 * @example
 * if (isSameList(state.successors, successors)) return;
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

function isListedAndHeard(process: ProcessRef, peers: OwnershipPeers): boolean {
  if (!peers.isListed(process)) return false;
  return peers.silentMs(process) < SUCCESSOR_SILENCE_TIMEOUT_MS;
}

function includes(list: readonly ProcessRef[], process: ProcessRef): boolean {
  return list.some(other => isSameProcess(other, process));
}

/** Placement decisions: fair shares, limits, gangs and usage estimates. */
export * from './engine.js';
export * from './first-fit-engine.js';
export * from './placement-policy.js';
export * from './fair-share-engine.js';
export type {
  PlacementPolicies,
  FairShareFeatures,
  FairShareOptions,
} from './core.js';
export * from './decision-audit.js';
export * from './trace.js';
export * from './replay.js';
export * from './replay-record.js';
export {computeFairShares} from './fair-shares.js';
export {AGEING_STEP_MS} from './waiting-list.js';
export {MAX_HOLD_MS} from './holds.js';
export type {WorkerState} from './state.js';
export {dominantShare} from './resource-math.js';
export {newPolicies} from './core.js';

/** The decisions: placement, shares, limits, gangs and estimates. */
export * from './engine.js';
export * from './first-fit-engine.js';
export * from './placement-policy.js';
export * from './share-engine.js';
export type {PolicySet, ShareOptions} from './core.js';
export * from './audit.js';
export * from './trace.js';
export * from './replay.js';
export * from './replay-record.js';
export {fairSharesOf} from './fair-shares.js';

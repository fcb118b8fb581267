/** The decisions: placement, shares, limits, gangs and estimates. */
export * from './engine.js';
export * from './first-fit-engine.js';

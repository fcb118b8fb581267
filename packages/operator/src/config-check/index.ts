/** Checks of a configuration before it is sent. */
export * from './changes.js';
export * from './check.js';
export * from './contradictions.js';
export * from './effective.js';
export * from './effects.js';
export * from './finding.js';
export * from './inventory.js';
export * from './team-shares.js';
export * from './unmatched.js';

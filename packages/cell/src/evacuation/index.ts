/** Failure domains that are closed to new tasks. */
export * from './closed-domains.js';
export * from './cold-executors.js';
export * from './domain-use.js';

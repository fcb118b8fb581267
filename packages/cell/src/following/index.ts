/** Whether what a VM follows in the store is up to date. */
export * from './config-lag.js';
export * from './read-failures.js';

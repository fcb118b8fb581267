/** Calls that a VM makes for its peers. */
export * from './call-turns.js';
export * from './peer-store-calls.js';

/** Fakes and the invariant checker for tests of other packages. */
export * from './fake-executor.js';
export * from './memory-store.js';
export * from './invariants.js';
export * from './admissions.js';

/** Executors whose runs fail one after the other. */
export * from './pauses.js';

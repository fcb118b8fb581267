/** Clients of workers and executors. */
export * from './worker-client.js';

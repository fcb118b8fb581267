/** Clients of workers and executors. */
export * from './worker-client.js';
export * from './http-worker-client.js';
export * from './executor-client.js';
export * from './http-executor-client.js';

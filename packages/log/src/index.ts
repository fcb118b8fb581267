/** Client of the platform's append-only log service. */
export * from './types.js';
export * from './client.js';
export * from './stream-state.js';
export * from './tail.js';
export * from './writer.js';
export * from './memory-log.js';
export * from './http-client.js';

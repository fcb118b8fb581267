/** Client of the platform's append-only log service. */
export * from './types.js';
export * from './client.js';
export * from './http-client.js';

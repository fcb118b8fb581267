/** The protocol between gateways and schedulers. */
export * from './messages.js';
export * from './framing.js';
export * from './connection.js';
export * from './open-asks.js';
export * from './pending-asks.js';
export * from './queue-limit.js';
export * from './mesh.js';
export * from './config-tail.js';

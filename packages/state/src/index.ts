/** State folded from log records. */
export * from './config-types.js';
export * from './job-types.js';
export * from './records.js';
export * from './record-schema.js';
export * from './snapshot-fold.js';
export * from './shard-state.js';
export * from './config-state.js';
export * from './allowance-state.js';
export * from './ownership-types.js';
export * from './ownership.js';

/** State folded from log records. */
export * from './config-types.js';
export * from './job-types.js';
export * from './records.js';
export * from './record-schema.js';
export * from './snapshot-fold.js';
export * from './snapshot-task.js';
export * from './shard-state.js';
export * from './config-schema.js';
export * from './config-state.js';
export * from './config-freshness.js';
export * from './config-exchange.js';
export * from './allowance-state.js';
export * from './ownership-types.js';
export * from './claimant.js';
export * from './owner-duties.js';
export * from './ownership.js';

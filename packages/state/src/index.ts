/** State folded from log records. */
export * from './config-types.js';
export * from './job-types.js';
export * from './records.js';
export * from './fold.js';

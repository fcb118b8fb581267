/** The scheduler: ownership of shards, leases, dispatch and tickets. */
export * from './lease-book.js';
export * from './membership.js';
export * from './scheduler-process.js';
export * from './shard-owner.js';
export {TASK_NUMBERS_PER_TERM} from './shard-task.js';
export * from './takeover-guard.js';
export * from './ticket-blind.js';
export * from './ticket-desk.js';
export * from './ticket-home.js';
export * from './worker-calls.js';
export * from './worker-task.js';

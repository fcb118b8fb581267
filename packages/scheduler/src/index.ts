/** The scheduler: ownership of shards, leases, dispatch and tickets. */
export * from './lease-table.js';
export * from './membership.js';
export * from './scheduler-process.js';
export * from './shard-owner.js';
export {TASK_NUMBERS_PER_TERM} from './shard-replica.js';
export * from './takeover-guard.js';
export * from './unreported-usage.js';
export * from './ticket-issuer.js';
export * from './duplicate-detector.js';
export * from './worker-calls.js';
export * from './worker-session.js';

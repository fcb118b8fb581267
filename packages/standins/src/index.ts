/** Simulated platform services and targets, and the rig that runs them. */
export * from './balancer.js';
export * from './caller-client.js';
export * from './fleet.js';
export * from './record-checks.js';
export * from './operator.js';
export * from './read-shard.js';
export * from './processes.js';
export * from './rig.js';
export * from './targets.js';
export * from './wait.js';
export type {ExecutorFaults, RequestRun} from './executor-service.js';
export type {LogFaults} from './log-service.js';
export type {VmListChange} from './vms-service.js';
export type {WorkerFaults} from './worker-service.js';
export type {TaskPayload, TaskRun} from './worker-task.js';

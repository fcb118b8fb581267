/** The processes that an executor has had under its id. */
export * from './ended-processes.js';

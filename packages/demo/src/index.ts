/** The demonstration, and the load generators that tests share with it. */
export * from './demo.js';
export * from './job-load.js';
export * from './report.js';
export * from './request-load.js';
export * from './users.js';

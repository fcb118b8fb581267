/** The gateway: the HTTP interface for callers. */
export * from './caller-routes.js';
export * from './caller-server.js';
export * from './config-view.js';
export * from './gateway.js';
export * from './job-routes.js';
export * from './request-relay.js';
export * from './retry-budget.js';
export * from './ticket-registry.js';
export * from './ticket-source.js';

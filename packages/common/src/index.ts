/** Code shared by all packages: errors, settings, events and metrics. */
export * from './errors.js';
export * from './resources.js';
export * from './clock.js';
export * from './topology.js';
export * from './events.js';
export * from './metrics.js';
export * from './logger.js';
export * from './settings.js';
export * from './settings-overrides.js';
export * from './process-settings.js';
export * from './growing-buffer.js';
export * from './json-http.js';
export * from './json-client.js';
export * from './admin.js';
export * from './ids.js';
export * from './shutdown.js';
export * from './rendezvous.js';
export {Ok, Err, type Result} from 'ts-results-es';

/** The programs for operators: ctl and timeline. */
export * from './exit-codes.js';
export * from './ctl-settings.js';
export * from './ctl-context.js';
export * from './ctl-program.js';
export * from './log-explanation.js';
export * from './timeline-program.js';

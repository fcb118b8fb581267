/** The scheduler program: owns shards and decides placements. */
export * from './ticket-blind.js';
export * from './ticket-desk.js';
export * from './ticket-home.js';

/** Decisions for loads that exceed the room that there is. */
export * from './delay-cost.js';
export * from './pressure.js';

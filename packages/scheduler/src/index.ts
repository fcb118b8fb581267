/** The scheduler program: owns shards and decides placements. */
export {};

/** The demonstration run. */
export {};

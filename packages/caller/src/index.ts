/** The gateway program: HTTP for callers. */
export {};

/** The operators' programs: ctl and timeline. */
export {};

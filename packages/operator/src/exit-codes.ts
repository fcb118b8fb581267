/** The exit codes of dragonflyward-ctl and dragonflyward-timeline. */
import {toFailure, type ErrorKind} from '@dragonflyward/common';

/** The exit codes; the numbers are stable. */
export const EXIT = {
  /** Done; a change is in force everywhere that answered. */
  ok: 0,
  /** An internal error. */
  internal: 1,
  /** The command line is wrong. */
  usage: 2,
  /** A file, a setting or a configuration is not valid; nothing changed. */
  invalid: 3,
  /** A concurrent change was accepted first; nothing changed. */
  conflict: 4,
  /** The named key, job, queue, team or exception is not known. */
  unknownName: 5,
  /** A service could not be reached; nothing changed. */
  unavailable: 6,
  /** A change may have taken effect. */
  outcomeUnknown: 7,
  /** The change is accepted, but not yet in force everywhere. */
  notEverywhere: 8,
  /** The request was refused; nothing changed. */
  refused: 9,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof EXIT)[keyof typeof EXIT];

/** The exit codes of `config check`, which is made for scripts. */
export const CHECK_EXIT = {
  /** Checked; there are no findings. */
  clean: 0,
  /** Checked; there are findings. */
  findings: 1,
  /** Not checked: wrong usage, unusable input or no response. */
  notChecked: 2,
} as const satisfies Readonly<Record<string, ExitCode>>;

const EXIT_OF_KIND: Readonly<Partial<Record<ErrorKind, ExitCode>>> = {
  badRequest: EXIT.invalid,
  badJson: EXIT.invalid,
  configInvalid: EXIT.invalid,
  settingsInvalid: EXIT.invalid,
  configConflict: EXIT.conflict,
  queueUnknown: EXIT.unknownName,
  jobUnknown: EXIT.unknownName,
  routeUnknown: EXIT.unknownName,
  logDown: EXIT.unavailable,
  vmsDown: EXIT.unavailable,
  peerDown: EXIT.unavailable,
  notOwner: EXIT.unavailable,
  configStale: EXIT.unavailable,
  draining: EXIT.unavailable,
  appendUnknown: EXIT.outcomeUnknown,
  peerLost: EXIT.outcomeUnknown,
  keyMissing: EXIT.refused,
  keyUnknown: EXIT.refused,
  keyWrongTeam: EXIT.refused,
};

/**
 * Finds the exit code that belongs to a thrown value.
 *
 * @example
 * process.exitCode = exitCodeOf(err);
 */
export function exitCodeOf(err: unknown): ExitCode {
  return EXIT_OF_KIND[toFailure(err).kind] ?? EXIT.internal;
}

/** All error kinds, with the number, HTTP status and text of each. */
import {Err, type Result} from 'ts-results-es';

/** Whether the work ran, as far as an error tells. */
export type Outcome = 'notRun' | 'unknown';

/** The number, HTTP status, outcome and text of an error kind. */
export interface ErrorDefinition {
  readonly code: number;
  readonly status: number;
  readonly outcome: Outcome;
  readonly isRetryable: boolean;
  readonly text: string;
}

const NOT_RUN: Outcome = 'notRun';
const UNKNOWN: Outcome = 'unknown';

function define(
  code: number,
  status: number,
  outcome: Outcome,
  isRetryable: boolean,
  text: string,
): ErrorDefinition {
  return {code, status, outcome, isRetryable, text};
}

/** Error definitions by kind; numbers are stable and never reused. */
export const ERRORS = {
  badRequest: define(1, 400, NOT_RUN, false, 'the request is malformed'),
  badJson: define(2, 400, NOT_RUN, false, 'the body is not valid JSON'),
  keyMissing: define(3, 401, NOT_RUN, false, 'no team key was given'),
  keyUnknown: define(4, 403, NOT_RUN, false, 'the team key is not valid'),
  keyWrongTeam: define(5, 403, NOT_RUN, false, 'the key is of another team'),
  queueUnknown: define(6, 404, NOT_RUN, false, 'no such queue'),
  jobUnknown: define(7, 404, NOT_RUN, false, 'no such job'),
  routeUnknown: define(8, 404, NOT_RUN, false, 'no such resource'),
  bodyTooLarge: define(9, 413, NOT_RUN, false, 'the body is too large'),
  neverRunnable: define(10, 422, NOT_RUN, false, 'no worker can hold a task'),
  duplicateId: define(11, 409, UNKNOWN, false, 'this id was used before'),
  teamLimit: define(12, 429, NOT_RUN, true, 'the team is at its limit'),
  queueFull: define(13, 429, NOT_RUN, true, 'the queue is full'),
  deadlineUnmet: define(14, 503, NOT_RUN, true, 'the deadline cannot be met'),
  noTarget: define(15, 503, NOT_RUN, true, 'no target can take the work'),
  notOwner: define(16, 503, NOT_RUN, true, 'the shard has no active owner'),
  logDown: define(17, 503, NOT_RUN, true, 'the log service is unavailable'),
  appendUnknown: define(18, 504, UNKNOWN, false, 'the append has no reply'),
  peerDown: define(19, 503, NOT_RUN, true, 'the peer cannot be reached'),
  peerLost: define(20, 504, UNKNOWN, true, 'the peer did not reply'),
  targetRefused: define(21, 503, NOT_RUN, true, 'the target took no work'),
  targetLost: define(22, 502, UNKNOWN, false, 'the target was lost'),
  deadlinePassed: define(23, 504, UNKNOWN, false, 'the deadline passed'),
  draining: define(24, 503, NOT_RUN, true, 'this process is shutting down'),
  configStale: define(25, 503, NOT_RUN, true, 'the configuration is too old'),
  configInvalid: define(26, 422, NOT_RUN, false, 'the configuration is bad'),
  configConflict: define(27, 409, NOT_RUN, false, 'the base was superseded'),
  settingsInvalid: define(28, 500, NOT_RUN, false, 'the settings are bad'),
  staleTerm: define(29, 409, NOT_RUN, false, 'the term was superseded'),
  recordInvalid: define(30, 500, NOT_RUN, false, 'the record is malformed'),
  vmsDown: define(31, 503, NOT_RUN, true, 'the list of VMs is unavailable'),
  internal: define(32, 500, UNKNOWN, false, 'an internal error'),
} as const satisfies Readonly<Record<string, ErrorDefinition>>;

/** The kind of an error. */
export type ErrorKind = keyof typeof ERRORS;

/** An error as it is carried in results and peer messages. */
export interface Failure {
  readonly kind: ErrorKind;
  readonly detail: string;
}

/** The exception form of a failure. */
export class DragonflywardError extends Error {
  constructor(
    readonly kind: ErrorKind,
    readonly detail: string,
    options?: ErrorOptions,
  ) {
    super(`${ERRORS[kind].text}: ${detail}`, options);
    this.name = 'DragonflywardError';
  }
}

/**
 * Throws an error of the given kind.
 *
 * @example
 * if (team === undefined) raise('keyUnknown', 'key k-17');
 */
export function raise(kind: ErrorKind, detail: string): never {
  throw new DragonflywardError(kind, detail);
}

/**
 * Creates a failed result of the given kind.
 *
 * @example
 * return fail('queueUnknown', req.queue);
 */
export function fail(kind: ErrorKind, detail: string): Err<Failure> {
  return new Err({kind, detail});
}

/**
 * Converts a thrown value to a failure; other errors become `internal`.
 *
 * @example
 * catch (err) { return fail(toFailure(err).kind, 'append'); }
 */
export function toFailure(err: unknown): Failure {
  if (err instanceof DragonflywardError) {
    return {kind: err.kind, detail: err.detail};
  }
  const detail = err instanceof Error ? err.message : String(err);
  return {kind: 'internal', detail};
}

/** A result whose error is a failure. */
export type Fallible<T> = Result<T, Failure>;

/** The closed list of error kinds and the answer that belongs to each. */
import {Err, type Result} from 'ts-results-es';

/** What an error says about whether the work ran. */
export type Outcome = 'notRun' | 'unknown';

/** The answer that belongs to an error kind. */
export interface ErrorAnswer {
  readonly code: number;
  readonly status: number;
  readonly outcome: Outcome;
  readonly isRetryable: boolean;
  readonly text: string;
}

const NOT_RUN: Outcome = 'notRun';
const UNKNOWN: Outcome = 'unknown';

function answer(
  code: number,
  status: number,
  outcome: Outcome,
  isRetryable: boolean,
  text: string,
): ErrorAnswer {
  return {code, status, outcome, isRetryable, text};
}

/** Kind to answer; the numbers are stable and are never used again. */
export const ERRORS = {
  badRequest: answer(1, 400, NOT_RUN, false, 'the request is malformed'),
  badJson: answer(2, 400, NOT_RUN, false, 'the body is not valid JSON'),
  keyMissing: answer(3, 401, NOT_RUN, false, 'no team key was given'),
  keyUnknown: answer(4, 403, NOT_RUN, false, 'the team key is not valid'),
  keyWrongTeam: answer(5, 403, NOT_RUN, false, 'the key is of another team'),
  queueUnknown: answer(6, 404, NOT_RUN, false, 'no such queue'),
  jobUnknown: answer(7, 404, NOT_RUN, false, 'no such job'),
  routeUnknown: answer(8, 404, NOT_RUN, false, 'no such resource'),
  bodyTooLarge: answer(9, 413, NOT_RUN, false, 'the body is too large'),
  neverRunnable: answer(10, 422, NOT_RUN, false, 'no worker can hold a task'),
  duplicateId: answer(11, 409, UNKNOWN, false, 'this id was used before'),
  teamLimit: answer(12, 429, NOT_RUN, true, 'the team is at its limit'),
  queueFull: answer(13, 429, NOT_RUN, true, 'the queue is full'),
  deadlineUnmet: answer(14, 503, NOT_RUN, true, 'the deadline cannot be met'),
  noTarget: answer(15, 503, NOT_RUN, true, 'no target can take the work'),
  notOwner: answer(16, 503, NOT_RUN, true, 'the shard has no active owner'),
  logDown: answer(17, 503, NOT_RUN, true, 'the log service is unavailable'),
  appendUnknown: answer(18, 504, UNKNOWN, false, 'the append has no reply'),
  peerDown: answer(19, 503, NOT_RUN, true, 'the peer cannot be reached'),
  peerLost: answer(20, 504, UNKNOWN, true, 'the peer did not reply'),
  targetRefused: answer(21, 503, NOT_RUN, true, 'the target took no work'),
  targetLost: answer(22, 502, UNKNOWN, false, 'the target was lost'),
  deadlinePassed: answer(23, 504, UNKNOWN, false, 'the deadline passed'),
  draining: answer(24, 503, NOT_RUN, true, 'this process is shutting down'),
  configStale: answer(25, 503, NOT_RUN, true, 'the configuration is too old'),
  configInvalid: answer(26, 422, NOT_RUN, false, 'the configuration is bad'),
  configConflict: answer(27, 409, NOT_RUN, false, 'the base was superseded'),
  settingsInvalid: answer(28, 500, NOT_RUN, false, 'the settings are bad'),
  staleTerm: answer(29, 409, NOT_RUN, false, 'the term was superseded'),
  recordInvalid: answer(30, 500, NOT_RUN, false, 'the record is malformed'),
  vmsDown: answer(31, 503, NOT_RUN, true, 'the list of VMs is unavailable'),
  internal: answer(32, 500, UNKNOWN, false, 'an internal error'),
} as const satisfies Readonly<Record<string, ErrorAnswer>>;

/** One of the closed list of error kinds. */
export type ErrorKind = keyof typeof ERRORS;

/** An error of a known kind, as it is carried in results and frames. */
export interface Failure {
  readonly kind: ErrorKind;
  readonly detail: string;
}

/** The exception that carries a failure. */
export class DragonflywardError extends Error {
  constructor(
    readonly kind: ErrorKind,
    readonly detail: string,
  ) {
    super(`${ERRORS[kind].text}: ${detail}`);
    this.name = 'DragonflywardError';
  }
}

/**
 * Throws the error of the given kind.
 *
 * @example
 * if (team === undefined) raise('keyUnknown', 'key k-17');
 */
export function raise(kind: ErrorKind, detail: string): never {
  throw new DragonflywardError(kind, detail);
}

/**
 * Makes a failed result of the given kind.
 *
 * @example
 * return fail('queueUnknown', req.queue);
 */
export function fail(kind: ErrorKind, detail: string): Err<Failure> {
  return new Err({kind, detail});
}

/**
 * Reads any thrown value as a failure; unknown values become `internal`.
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

/** A result whose error is a failure of a known kind. */
export type Fallible<T> = Result<T, Failure>;

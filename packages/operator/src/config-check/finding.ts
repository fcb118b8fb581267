/** Findings about a configuration, whatever its format. */
import type {FindingGroup, JsonPath} from '@dragonflyward/common';

/** The group of each kind of finding. */
export const GROUP_OF_KIND = {
  /** Refused by the validator that all processes use. */
  invalid: 'error',
  /** A key that a later one of the same object replaces. */
  replacedKey: 'unmatched',
  /** A value that a later exception sets as well. */
  shadowedException: 'unmatched',
  /** An organisation without teams. */
  unusedOrganisation: 'unmatched',
  /** A queue whose work no VM of the inventory can take. */
  unmetQueue: 'unmatched',
  /** A limit on a resource that no VM of the inventory has. */
  unmetResource: 'unmatched',
  /** A queue that refuses everything. */
  closedQueue: 'contradiction',
  /** A team with a share that may not use any resource. */
  emptyLimit: 'contradiction',
  /** A team whose limit keeps it below its share of the inventory. */
  unreachableShare: 'contradiction',
  /** A body limit that differs from the one that is applied to jobs. */
  bodyLimit: 'contradiction',
  /** Work that is accepted in the version in force is refused. */
  refusesWork: 'change',
  /** Tasks that run now may be stopped. */
  stopsWork: 'change',
} as const satisfies Readonly<Record<string, FindingGroup>>;

/** The kind of a finding; the names are stable for programs. */
export type FindingKind = keyof typeof GROUP_OF_KIND;

/** One finding about a configuration. */
export interface Finding {
  readonly kind: FindingKind;
  /** Path of the value; of the version in force for a removed one. */
  readonly path: JsonPath;
  /** One line that is understood without the path. */
  readonly message: string;
}

/**
 * Whether a finding means that the processes refuse the configuration.
 *
 * @example
 * if (findings.some(isError)) return;
 */
export function isError({kind}: Finding): boolean {
  return GROUP_OF_KIND[kind] === 'error';
}

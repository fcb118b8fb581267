/** What runs in a failure domain. */

/** The executors of a failure domain and the tasks placed there. */
export interface DomainUse {
  /** None if the domain is not known. */
  readonly executors: number;
  readonly tasks: number;
}

/** The executors of a cell, as far as they are counted here. */
interface Executors {
  readonly executors: ReadonlyMap<
    string,
    {
      readonly info: {readonly domain: string};
      readonly tasks: {readonly size: number};
    }
  >;
}

/**
 * Counts the executors of a failure domain and the tasks placed there.
 *
 * @example
 * log('domainClosed', {domain, ...describeDomain(state, domain)});
 */
export function describeDomain(
  {executors}: Executors,
  domain: string,
): DomainUse {
  const found = [...executors.values()].filter(
    ({info}) => info.domain === domain,
  );
  const tasks = found.reduce((sum, each) => sum + each.tasks.size, 0);
  return {executors: found.length, tasks};
}

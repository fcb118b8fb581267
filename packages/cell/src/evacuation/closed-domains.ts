/** The failure domains in which an operator lets no further tasks start. */

/** An operator's record that closes a failure domain or opens it again. */
export interface DomainClosure {
  readonly domain: string;
  readonly isClosed: boolean;
}

/** A closed failure domain. */
export interface ClosedDomain {
  readonly domain: string;
  /** Key of the record that closed it. */
  readonly key: string;
  /** Offset of the first record that closed it since it was open. */
  readonly offset: number;
}

/** The closed failure domains, by the records of the operator's topic. */
export class ClosedDomains {
  private readonly closed = new Map<string, ClosedDomain>();

  /** The closed domains, in the order in which they were closed. */
  get list(): readonly ClosedDomain[] {
    return [...this.closed.values()];
  }

  /** Whether no task may start in the domain. */
  has(domain: string): boolean {
    return this.closed.has(domain);
  }

  /**
   * Applies a record; records are applied in the order of the topic.
   *
   * @returns whether the domain was opened or closed by it
   * @example
   * const closure = {domain: 'east-1', isClosed: true};
   * if (closedDomains.apply(closure, {key: 'close/east-1', offset: 7})) notify();
   */
  apply(
    {domain, isClosed}: DomainClosure,
    {key, offset}: Pick<ClosedDomain, 'key' | 'offset'>,
  ): boolean {
    const known = this.closed.has(domain);
    if (known === isClosed) return false;
    if (isClosed) this.closed.set(domain, {domain, key, offset});
    else this.closed.delete(domain);
    return true;
  }

  /**
   * Opens the domains whose records are missing in a full read of the topic:
   * they were deleted.
   *
   * @param keys all keys that the read showed
   * @returns the domains that were closed until then
   * @example
   * for (const {domain} of closedDomains.openMissing(keys)) logOpened(domain);
   */
  openMissing(keys: ReadonlySet<string>): readonly ClosedDomain[] {
    const missing = this.list.filter(({key}) => !keys.has(key));
    for (const {domain} of missing) this.closed.delete(domain);
    return missing;
  }
}

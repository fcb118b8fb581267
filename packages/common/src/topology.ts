/** The names of machines and places, as given by settings and the VM list. */

/** What a VM is for. */
export type VmKind = 'entry' | 'worker' | 'executor';

/** Where a VM stands. */
export interface Place {
  readonly region: string;
  readonly domain: string;
  readonly rack: string;
}

/** One process of the system; the incarnation tells restarts apart. */
export interface ProcessRef {
  /** The VM's id; one process of each role runs on a VM. */
  readonly vm: string;
  /** Grows with each start on the same VM. */
  readonly incarnation: number;
}

/**
 * Tells whether two references name the same run of a process.
 *
 * @example
 * if (isSameProcess(owner, self)) renew();
 */
export function isSameProcess(a: ProcessRef, b: ProcessRef): boolean {
  return a.vm === b.vm && a.incarnation === b.incarnation;
}

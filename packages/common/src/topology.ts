/** VM kinds, VM locations and process identities. */

/** The purpose of a VM. */
export type VmKind = 'entry' | 'worker' | 'executor';

/** The region, failure domain and rack of a VM. */
export interface VmLocation {
  readonly region: string;
  readonly domain: string;
  readonly rack: string;
}

/** Identifies one run of a process: its VM and its incarnation. */
export interface ProcessRef {
  /** The VM's id; each VM runs at most one process of each role. */
  readonly vm: string;
  /** Increases with each start on the same VM. */
  readonly incarnation: number;
}

/**
 * Tells whether two references identify the same run of a process.
 *
 * @example
 * if (isSameProcess(owner, self)) renew();
 */
export function isSameProcess(a: ProcessRef, b: ProcessRef): boolean {
  return a.vm === b.vm && a.incarnation === b.incarnation;
}

/** Interface of the platform's list of VMs, which lags behind. */
import type {VmLocation, Resources, VmKind} from '@dragonflyward/common';

/** Whether a VM stays or is about to be removed. */
export type VmState = 'live' | 'leaving';

/** A VM in the list. */
export interface VmEntry extends VmLocation {
  readonly id: string;
  readonly kind: VmKind;
  readonly state: VmState;
  readonly ip: string;
  readonly port: number;
  /** Resources of a worker, or slots of an executor. */
  readonly capacity: Resources;
  /** The service that an executor serves; empty for other kinds. */
  readonly service: string;
  /** Connections that an executor accepts; 0 for other kinds. */
  readonly connections: number;
}

/** A client of the list of VMs. */
export abstract class VmListClient {
  /**
   * Fetches the whole list, which lags behind the actual VMs.
   *
   * @throws vmsDown
   */
  abstract list(): Promise<readonly VmEntry[]>;
}

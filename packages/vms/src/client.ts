/** The platform's lagging list of VMs as the rest of the system sees it. */
import type {Place, Resources, VmKind} from '@dragonflyward/common';

/** Whether a VM stays or is about to be taken away. */
export type VmState = 'live' | 'leaving';

/** One VM of the list. */
export interface VmEntry extends Place {
  readonly id: string;
  readonly kind: VmKind;
  readonly state: VmState;
  readonly ip: string;
  readonly port: number;
  /** What a worker offers, or an executor's slots. */
  readonly capacity: Resources;
  /** The service that an executor serves; empty for other kinds. */
  readonly service: string;
  /** Connections that an executor takes; 0 for other kinds. */
  readonly connections: number;
}

/** A client of the list of VMs. */
export abstract class VmListClient {
  /**
   * Reads the whole list; it lags behind.
   *
   * @throws vmsDown
   */
  abstract list(): Promise<readonly VmEntry[]>;
}

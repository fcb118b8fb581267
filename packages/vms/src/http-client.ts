/** The list of VMs over HTTP. */
import {
  JsonClient,
  raise,
  toFailure,
  type JsonClientOptions,
  type JsonReply,
} from '@dragonflyward/common';
import {VmListClient, type VmEntry} from './client.js';

const LIST_TIMEOUT_MS = 2_000;
const OK = 200;

interface VmList {
  readonly vms: readonly VmEntry[];
}

/** A client of the list of VMs at one URL. */
export class HttpVmListClient extends VmListClient {
  private readonly client: JsonClient;

  constructor(url: string, options: JsonClientOptions = {}) {
    super();
    this.client = new JsonClient(url, options);
  }

  /**
   * @throws vmsDown
   * @example
   * const workers = (await vms.list()).filter(vm => vm.kind === 'worker');
   */
  override async list(): Promise<readonly VmEntry[]> {
    const res = await this.get();
    if (res.status !== OK) return raise('vmsDown', `status ${res.status}`);
    return (res.body as VmList).vms;
  }

  private async get(): Promise<JsonReply> {
    try {
      return await this.client.call('GET', '/vms', LIST_TIMEOUT_MS);
    } catch (err) {
      return raise('vmsDown', toFailure(err).detail);
    }
  }
}

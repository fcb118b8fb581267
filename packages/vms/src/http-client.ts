/** HTTP client of the list of VMs. */
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
const NOT_MODIFIED = 304;

interface VmList {
  readonly vms: readonly VmEntry[];
}

interface VersionedList extends VmList {
  readonly etag: string;
}

/** A client of the list of VMs at one URL. */
export class HttpVmListClient extends VmListClient {
  private readonly client: JsonClient;
  /** The latest list; its ETag lets the server answer "not modified". */
  private newest: VersionedList = {etag: '', vms: []};

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
    const {newest} = this;
    const res = await this.get(newest.etag);
    if (res.status === NOT_MODIFIED) return newest.vms;
    if (res.status !== OK) return raise('vmsDown', `status ${res.status}`);
    const {vms} = res.body as VmList;
    this.newest = {etag: res.etag, vms};
    return vms;
  }

  private async get(etag: string): Promise<JsonReply> {
    const headers = etag === '' ? {} : {'if-none-match': etag};
    const timeoutMs = LIST_TIMEOUT_MS;
    try {
      return await this.client.call(
        'GET',
        '/vms',
        timeoutMs,
        undefined,
        headers,
      );
    } catch (err) {
      return raise('vmsDown', toFailure(err).detail);
    }
  }
}

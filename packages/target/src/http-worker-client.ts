/** HTTP client of a worker. */
import {
  JsonClient,
  raise,
  toFailure,
  type JsonClientOptions,
  type JsonReply,
  type Resources,
} from '@dragonflyward/common';
import {
  WorkerClient,
  type Inventory,
  type RenewReply,
  type TaskStart,
  type TaskUsage,
} from './worker-client.js';

const CALL_TIMEOUT_MS = 2_000;
const OK = 200;
const CONFLICT = 409;
const UNAVAILABLE = 503;

interface UsageList {
  readonly tasks: readonly TaskUsage[];
}

interface ErrorBody {
  readonly error?: string;
}

/** Calls the worker at one address on behalf of one shard. */
export class HttpWorkerClient extends WorkerClient {
  private readonly client: JsonClient;
  private readonly watchClient: JsonClient;

  constructor(
    ip: string,
    port: number,
    private readonly shard: string,
    options: JsonClientOptions = {},
  ) {
    super();
    const url = `http://${ip}:${port}`;
    this.client = new JsonClient(url, options);
    this.watchClient = new JsonClient(url, options);
  }

  /**
   * @throws staleTerm, targetRefused (not run), targetLost (unknown)
   * @example
   * await worker.start(task);
   */
  override async start(task: TaskStart): Promise<void> {
    const body = {...task, sentAtMs: Date.now()};
    const timeoutMs = Math.min(CALL_TIMEOUT_MS, task.startWithinMs);
    const res = await this.postStart(body, timeoutMs);
    if (res.status === OK) return;
    if (isStaleTerm(res)) return raise('staleTerm', task.taskId);
    const isRefused = res.status === CONFLICT || res.status === UNAVAILABLE;
    const kind = isRefused ? 'targetRefused' : 'targetLost';
    return raise(kind, `${task.taskId}: status ${res.status}`);
  }

  /** @throws staleTerm, targetLost */
  override async renew(
    term: number,
    taskIds: readonly string[],
    leaseMs: number,
  ): Promise<RenewReply> {
    const body = {shard: this.shard, term, taskIds, leaseMs};
    return (await this.post('/renew', body)) as RenewReply;
  }

  /** @throws staleTerm, targetLost */
  override async stop(term: number, taskId: string): Promise<void> {
    await this.post(pathOf(taskId, 'stop'), {shard: this.shard, term});
  }

  /** @throws staleTerm, targetLost */
  override async checkpoint(term: number, taskId: string): Promise<void> {
    await this.post(pathOf(taskId, 'checkpoint'), {shard: this.shard, term});
  }

  /** @throws staleTerm, targetLost */
  override async throttle(
    term: number,
    taskId: string,
    size: Resources,
  ): Promise<void> {
    const body = {shard: this.shard, term, size};
    await this.post(pathOf(taskId, 'throttle'), body);
  }

  /** @throws staleTerm, targetLost */
  override async inventory(shard: string, term: number): Promise<Inventory> {
    return (await this.post('/inventory', {shard, term})) as Inventory;
  }

  /** @throws targetLost */
  override async watch(sequence: number, waitMs: number): Promise<Inventory> {
    const path = `/watch?sequence=${sequence}&waitMs=${waitMs}`;
    const timeoutMs = waitMs + CALL_TIMEOUT_MS;
    const call = this.watchClient.call('GET', path, timeoutMs);
    return (await readReply(call)) as Inventory;
  }

  /** @throws targetLost */
  override async usage(): Promise<readonly TaskUsage[]> {
    const call = this.client.call('GET', '/usage', CALL_TIMEOUT_MS);
    return ((await readReply(call)) as UsageList).tasks;
  }

  /** Closes the idle connections. */
  close(): void {
    this.client.close();
    this.watchClient.close();
  }

  private post(path: string, body: unknown): Promise<unknown> {
    return readReply(this.client.call('POST', path, CALL_TIMEOUT_MS, body));
  }

  private async postStart(
    body: unknown,
    timeoutMs: number,
  ): Promise<JsonReply> {
    try {
      return await this.client.call('POST', '/tasks', timeoutMs, body);
    } catch (err) {
      const {kind, detail} = toFailure(err);
      const isUnsent = kind === 'peerDown';
      return raise(isUnsent ? 'targetRefused' : 'targetLost', detail);
    }
  }
}

function pathOf(taskId: string, action: string): string {
  return `/tasks/${encodeURIComponent(taskId)}/${action}`;
}

function isStaleTerm(res: JsonReply): boolean {
  const body = res.body as ErrorBody | undefined;
  return res.status === CONFLICT && body?.error === 'staleTerm';
}

async function readReply(call: Promise<JsonReply>): Promise<unknown> {
  let res: JsonReply;
  try {
    res = await call;
  } catch (err) {
    return raise('targetLost', toFailure(err).detail);
  }
  if (isStaleTerm(res)) return raise('staleTerm', 'the term was rejected');
  if (res.status === OK) return res.body;
  return raise('targetLost', `status ${res.status}`);
}

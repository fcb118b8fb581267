/** HTTP client of the log service. */
import {
  JsonClient,
  raise,
  toFailure,
  type JsonClientOptions,
  type JsonReply,
} from '@dragonflyward/common';
import {LogClient} from './client.js';
import {AdaptiveTimeout} from './adaptive-timeout.js';
import type {
  AppendReply,
  LogPage,
  NewRecord,
  ReadOptions,
  StreamInfo,
} from './types.js';

const OK = 200;
const TOO_MANY = 429;
const UNAVAILABLE = 503;

/** A client of the log service at one URL. */
export class HttpLogClient extends LogClient {
  private readonly reader: JsonClient;
  private readonly appender: JsonClient;
  private readonly readTimeout = new AdaptiveTimeout();
  private readonly appendTimeout = new AdaptiveTimeout();

  constructor(url: string, options: JsonClientOptions = {}) {
    super();
    this.reader = new JsonClient(url, options);
    // A kept-alive connection may have died since its last use, which would
    // leave the outcome of an append unknown.
    this.appender = new JsonClient(url, {...options, keepAlive: false});
  }

  /**
   * @throws logDown when the append certainly had no effect
   * @throws appendUnknown when it may have had an effect
   * @example
   * const {offset} = await log.append('config', [{id: newId('c'), data}]);
   */
  override async append(
    stream: string,
    records: readonly NewRecord[],
  ): Promise<AppendReply> {
    const res = await this.post(stream, records);
    if (res.status === OK) return res.body as AppendReply;
    const detail = `${stream}: status ${res.status}`;
    const isRefused = res.status === TOO_MANY || res.status === UNAVAILABLE;
    if (isRefused) return raise('logDown', detail);
    return raise('appendUnknown', detail);
  }

  /**
   * @throws logDown
   * @example
   * const page = await log.read('config', 0, {maxRecords: 500, waitMs: 0});
   */
  override async read(
    stream: string,
    from: number,
    options: ReadOptions,
  ): Promise<LogPage> {
    const {maxRecords, waitMs} = options;
    const query = `from=${from}&max=${maxRecords}&waitMs=${waitMs}`;
    const path = `${pathOf(stream)}?${query}`;
    return (await this.get(path, waitMs)) as LogPage;
  }

  /** @throws logDown */
  override async streams(): Promise<readonly StreamInfo[]> {
    const body = (await this.get('/streams', 0)) as StreamList;
    return body.streams;
  }

  private async post(
    stream: string,
    records: readonly NewRecord[],
  ): Promise<JsonReply> {
    const timeoutMs = this.appendTimeout.currentMs;
    const path = pathOf(stream);
    try {
      return await callTimed(this.appendTimeout, 0, () =>
        this.appender.call('POST', path, timeoutMs, {records}),
      );
    } catch (err) {
      const {kind, detail} = toFailure(err);
      const isUnsent = kind === 'peerDown';
      return raise(isUnsent ? 'logDown' : 'appendUnknown', detail);
    }
  }

  private async get(path: string, waitMs: number): Promise<unknown> {
    const timeoutMs = waitMs + this.readTimeout.currentMs;
    let res: JsonReply;
    try {
      res = await callTimed(this.readTimeout, waitMs, () =>
        this.reader.call('GET', path, timeoutMs),
      );
    } catch (err) {
      return raise('logDown', toFailure(err).detail);
    }
    if (res.status === OK) return res.body;
    return raise('logDown', `${path}: status ${res.status}`);
  }
}

interface StreamList {
  readonly streams: readonly StreamInfo[];
}

function pathOf(stream: string): string {
  return `/streams/${encodeURIComponent(stream)}/records`;
}

/** Makes a call and adapts the timeout to its reply time. */
async function callTimed(
  timeout: AdaptiveTimeout,
  requestedWaitMs: number,
  call: () => Promise<JsonReply>,
): Promise<JsonReply> {
  const startMs = performance.now();
  const usedTimeoutMs = timeout.currentMs;
  try {
    const res = await call();
    timeout.recordReply(performance.now() - startMs - requestedWaitMs);
    return res;
  } catch (err) {
    const isLost = toFailure(err).kind === 'peerLost';
    // Concurrent calls that time out together extend the timeout only once.
    if (isLost && timeout.currentMs === usedTimeoutMs) timeout.recordTimeout();
    throw err;
  }
}

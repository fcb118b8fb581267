/** HTTP client of one server that recovers from dead connections. */
import http from 'node:http';
import {toFailure} from './errors.js';
import {
  callBytes,
  callJson,
  type BytesReply,
  type JsonCall,
  type JsonReply,
  type ResponseLimit,
  type TransferOptions,
} from './json-http.js';

const KEEP_ALIVE_MS = 5_000;

/** Connection options of a client. */
export interface JsonClientOptions {
  /** Source IP of the connections: that of this process's VM. */
  readonly localAddress?: string;
  /** Whether connections are reused; true by default. */
  readonly keepAlive?: boolean;
  /** The longest response that is read; 64 MB if missing. */
  readonly responseLimit?: ResponseLimit;
}

/** Sends JSON requests to one server over keep-alive connections. */
export class JsonClient {
  private agent: http.Agent;
  private readonly agentOptions: http.AgentOptions;
  /** Options of each call. */
  private readonly callOptions: Pick<JsonClientOptions, 'responseLimit'>;

  constructor(
    private readonly baseUrl: string,
    {responseLimit, ...agentOptions}: JsonClientOptions = {},
  ) {
    this.agentOptions = agentOptions;
    this.callOptions = responseLimit === undefined ? {} : {responseLimit};
    this.agent = this.makeAgent();
  }

  /**
   * Sends a request and reads the whole response within the timeout.
   *
   * @throws peerDown when it was not sent, peerLost when it may have been
   * @example
   * const res = await client.call('GET', '/vms', 1000);
   */
  async call(
    method: JsonCall['method'],
    path: string,
    timeoutMs: number,
    body?: unknown,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<JsonReply> {
    const {agent, callOptions} = this;
    const url = this.baseUrl + path;
    const call = {...callOptions, method, url, timeoutMs, agent, body, headers};
    return this.replaceAgentOnLoss(agent, callJson(call));
  }

  /**
   * Sends a request with a raw body and returns the raw response body.
   *
   * @throws peerDown when it was not sent, peerLost when it may have been
   * @example
   * const res = await client.callBytes('POST', '/append', 1000, records);
   */
  async callBytes(
    method: JsonCall['method'],
    path: string,
    timeoutMs: number,
    body: Buffer,
    transfer: TransferOptions = {},
  ): Promise<BytesReply> {
    const {agent, callOptions} = this;
    const url = this.baseUrl + path;
    const options = {...callOptions, ...transfer};
    return this.replaceAgentOnLoss(
      agent,
      callBytes({...options, method, url, timeoutMs, agent, body}),
      transfer.signal,
    );
  }

  /** Closes the idle connections. */
  close(): void {
    destroyIdleSockets(this.agent);
  }

  private async replaceAgentOnLoss<T>(
    agent: http.Agent,
    reply: Promise<T>,
    signal?: AbortSignal,
  ): Promise<T> {
    try {
      return await reply;
    } catch (err) {
      // A call that this process ends says nothing about other connections.
      const isLost = signal?.aborted !== true;
      if (isLost && toFailure(err).kind === 'peerLost') {
        this.replaceAgent(agent);
      }
      throw err;
    }
  }

  /**
   * After one connection was lost, other idle ones may be dead too, so none
   * of them is reused.
   */
  private replaceAgent(lostAgent: http.Agent): void {
    if (this.agent !== lostAgent) return;
    this.agent = this.makeAgent();
    destroyIdleSockets(lostAgent);
  }

  private makeAgent(): http.Agent {
    return new http.Agent({
      keepAlive: true,
      keepAliveMsecs: KEEP_ALIVE_MS,
      ...this.agentOptions,
    });
  }
}

function destroyIdleSockets(agent: http.Agent): void {
  for (const sockets of Object.values(agent.freeSockets)) {
    for (const socket of sockets ?? []) socket.destroy();
  }
}

/** A JSON client of one server that outlives lost and silent connections. */
import http from 'node:http';
import {toFailure} from './errors.js';
import {
  callBytes,
  callJson,
  type BytesReply,
  type JsonCall,
  type JsonReply,
} from './json-http.js';

const KEEP_ALIVE_MS = 5_000;

/** How a client reaches its server. */
export interface JsonClientOptions {
  /** The IP that connections come from; this process's VM. */
  readonly localAddress?: string;
  /** Whether connections are used again; they are unless it is false. */
  readonly keepAlive?: boolean;
}

/** Sends JSON calls to one server over kept connections. */
export class JsonClient {
  private agent: http.Agent;

  constructor(
    private readonly baseUrl: string,
    private readonly options: JsonClientOptions = {},
  ) {
    this.agent = this.makeAgent();
  }

  /**
   * Sends a call and reads the whole answer within the time.
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
    const {agent} = this;
    const url = this.baseUrl + path;
    const call = {method, url, timeoutMs, agent, body, headers};
    return this.watch(agent, callJson(call));
  }

  /**
   * Sends a call whose body is not JSON, and reads the answer as it comes.
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
  ): Promise<BytesReply> {
    const {agent} = this;
    const url = this.baseUrl + path;
    return this.watch(agent, callBytes({method, url, timeoutMs, agent, body}));
  }

  /** Ends the idle connections. */
  close(): void {
    dropIdle(this.agent);
  }

  private async watch<T>(agent: http.Agent, reply: Promise<T>): Promise<T> {
    try {
      return await reply;
    } catch (err) {
      if (toFailure(err).kind === 'peerLost') this.renewAgent(agent);
      throw err;
    }
  }

  /** One silent connection may not be the only one: none is used again. */
  private renewAgent(lost: http.Agent): void {
    if (this.agent !== lost) return;
    this.agent = this.makeAgent();
    dropIdle(lost);
  }

  private makeAgent(): http.Agent {
    return new http.Agent({
      keepAlive: true,
      keepAliveMsecs: KEEP_ALIVE_MS,
      ...this.options,
    });
  }
}

function dropIdle(agent: http.Agent): void {
  for (const sockets of Object.values(agent.freeSockets)) {
    for (const socket of sockets ?? []) socket.destroy();
  }
}

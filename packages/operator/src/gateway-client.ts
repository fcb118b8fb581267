/** Calls a gateway's job API with a team's key. */
import {readFileSync} from 'node:fs';
import {
  callJson,
  ERRORS,
  raise,
  toFailure,
  type ErrorKind,
  type JsonCall,
  type JsonReply,
} from '@dragonflyward/common';
import type {CtlContext} from './ctl-context.js';

/** The environment variable that holds a team's key. */
export const KEY_VARIABLE = 'DRAGONFLYWARD_KEY';
const FIRST_ERROR_STATUS = 400;

/** Options of commands that act for a team. */
export interface KeyOptions {
  readonly keyFile?: string;
}

/** Calls the job API, trying one gateway after another until one answers. */
export class GatewayClient {
  constructor(
    private readonly context: CtlContext,
    private readonly options: KeyOptions,
  ) {}

  /**
   * Sends a request and returns the body of the reply.
   *
   * @throws the error kind in the reply; peerDown if no gateway answers
   * @example
   * const body = await client.call('GET', '/v1/jobs?max=50');
   */
  async call(method: JsonCall['method'], path: string): Promise<unknown> {
    const headers = {authorization: `Bearer ${this.readKey()}`};
    const {replyTimeoutMs: timeoutMs} = this.context.settings;
    for (const base of await this.gatewayUrls()) {
      const call = {method, url: base + path, headers, timeoutMs};
      const res = await tryCall(call);
      if (res !== undefined) return unwrapReply(res);
    }
    return raise('peerDown', 'no gateway answered');
  }

  private readKey(): string {
    const {keyFile} = this.options;
    const text =
      keyFile === undefined
        ? this.context.io.env[KEY_VARIABLE]
        : readKeyFile(keyFile);
    const key = (text ?? '').trim();
    return key || raise('keyMissing', `set ${KEY_VARIABLE} or --key-file`);
  }

  private async gatewayUrls(): Promise<readonly string[]> {
    const {gatewayUrl, ports} = this.context.settings;
    if (gatewayUrl !== '') return [gatewayUrl];
    const vms = await this.context.vms.list();
    return vms
      .filter(vm => vm.kind === 'entry' && vm.state === 'live')
      .map(vm => `http://${vm.ip}:${ports.gateway}`);
  }
}

function readKeyFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch {
    return raise('keyMissing', `${file} cannot be read`);
  }
}

/** Returns undefined if the connection failed, so the next can be tried. */
async function tryCall(call: JsonCall): Promise<JsonReply | undefined> {
  try {
    return await callJson(call);
  } catch (err) {
    if (toFailure(err).kind === 'peerDown') return undefined;
    throw err;
  }
}

interface ErrorBody {
  readonly error?: {readonly kind?: string; readonly detail?: string};
}

function unwrapReply({status, body}: JsonReply): unknown {
  if (status < FIRST_ERROR_STATUS) return body;
  const {kind, detail} = (body as ErrorBody | undefined)?.error ?? {};
  if (!isErrorKind(kind)) return raise('internal', `status ${status}`);
  return raise(kind, detail ?? '');
}

function isErrorKind(kind: string | undefined): kind is ErrorKind {
  return kind !== undefined && Object.hasOwn(ERRORS, kind);
}

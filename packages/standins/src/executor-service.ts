/** The stand-in of an executor: it answers callers' requests over HTTP. */
import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {readBytes, sendJson} from '@dragonflyward/common';
import {Connections, mute, MUTE_PATH} from './service.js';

const MAX_BODY_BYTES = 64 * 1024 * 1024;

/** The fault switches of an executor. */
export interface ExecutorSwitches {
  /** Part of the requests, in order, that get status 500. */
  readonly failRate: number;
  /** Sends half of each body and cuts the connection. */
  readonly cutBody: boolean;
  /** Sends headers and then nothing. */
  readonly headersOnly: boolean;
  /** Runs requests and never answers. */
  readonly blackhole: boolean;
  readonly draining: boolean;
  readonly delayMs: number;
  /** Answers pairs of requests with each other's answers. */
  readonly swap: boolean;
}

/** How an executor starts. */
export const NO_EXECUTOR_FAULTS: ExecutorSwitches = {
  failRate: 0,
  cutBody: false,
  headersOnly: false,
  blackhole: false,
  draining: false,
  delayMs: 0,
  swap: false,
};

/** The time that a request ran, as the judge reads it. */
export interface RequestRun {
  readonly requestId: string;
  /** What the request's body asks to be echoed. */
  readonly label: string;
  readonly team: string;
  readonly startMs: number;
  endMs: number | null;
}

interface Work {
  readonly sleepMs?: number;
  readonly size?: number;
  readonly echo?: unknown;
}

interface Answer {
  readonly requestId: string;
  readonly body: Buffer;
}

/** An executor with slots and a bound on connections. */
export class ExecutorService {
  private readonly runs: RequestRun[] = [];
  private held: ((answer: Answer) => void) | undefined;
  private heldAnswer: Answer | undefined;
  private handled = 0;
  private busy = 0;
  private connections = 0;
  private maxBusy = 0;
  private maxConnections = 0;
  private slotBreaches = 0;
  private switches = NO_EXECUTOR_FAULTS;

  constructor(private readonly slots: number) {}

  /** Makes the server of this executor. */
  makeServer(): http.Server {
    const server = http.createServer((req, res) => {
      if (muted.isMuted(req.socket)) return;
      if (req.url === MUTE_PATH) return mute(muted, req, res);
      this.route(req, res).catch(() => req.socket.destroy());
    });
    const muted = new Connections(server);
    server.on('connection', socket => {
      this.connections += 1;
      this.maxConnections = Math.max(this.maxConnections, this.connections);
      socket.on('close', () => (this.connections -= 1));
    });
    return server;
  }

  private async route(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const bytes = await readBytes(req, MAX_BODY_BYTES);
    if (req.url === '/admin') return this.admin(bytes, res);
    this.busy += 1;
    this.maxBusy = Math.max(this.maxBusy, this.busy);
    if (this.busy > this.slots) this.slotBreaches += 1;
    res.once('close', () => (this.busy -= 1));
    const work = parseWork(bytes);
    const run = startRun(req, work);
    this.runs.push(run);
    res.once('close', () => (run.endMs = Date.now()));
    await this.run(run, res, work, bytes);
  }

  private async run(
    {requestId}: RequestRun,
    res: http.ServerResponse,
    work: Work,
    bytes: Buffer,
  ): Promise<void> {
    await sleep((work.sleepMs ?? 0) + this.switches.delayMs);
    if (this.switches.blackhole) return;
    if (this.mustFail()) return void sendJson(res, 500, {error: 'failed'});
    const answer = {requestId, body: bodyOf(work, bytes)};
    const sent = this.switches.swap ? await this.exchange(answer) : answer;
    this.send(res, sent);
  }

  private mustFail(): boolean {
    const {failRate} = this.switches;
    this.handled += 1;
    const failedBefore = Math.floor((this.handled - 1) * failRate);
    return Math.floor(this.handled * failRate) > failedBefore;
  }

  /** The first of a pair waits for the second; each gets the other's. */
  private exchange(answer: Answer): Promise<Answer> {
    const {held, heldAnswer} = this;
    if (held !== undefined && heldAnswer !== undefined) {
      this.held = undefined;
      held(answer);
      return Promise.resolve(heldAnswer);
    }
    this.heldAnswer = answer;
    return new Promise(resolve => (this.held = resolve));
  }

  private send(res: http.ServerResponse, answer: Answer): void {
    res.writeHead(200, {
      'content-length': answer.body.length,
      'x-request-id': answer.requestId,
      ...(this.switches.draining ? {'x-draining': '1'} : {}),
    });
    if (this.switches.headersOnly) return res.flushHeaders();
    if (!this.switches.cutBody) return void res.end(answer.body);
    const half = answer.body.subarray(0, answer.body.length / 2);
    res.write(half, () => res.destroy());
  }

  private admin(bytes: Buffer, res: http.ServerResponse): void {
    if (bytes.length > 0) {
      const change = JSON.parse(bytes.toString()) as Partial<ExecutorSwitches>;
      this.switches = {...this.switches, ...change};
    }
    const {maxBusy, maxConnections, slotBreaches, runs} = this;
    sendJson(res, 200, {maxBusy, maxConnections, slotBreaches, runs});
  }
}

function startRun(req: http.IncomingMessage, work: Work): RequestRun {
  const requestId = String(req.headers['x-request-id'] ?? '');
  const team = String(req.headers['x-team'] ?? '');
  const label = typeof work.echo === 'string' ? work.echo : requestId;
  return {requestId, label, team, startMs: Date.now(), endMs: null};
}

function parseWork(bytes: Buffer): Work {
  try {
    const work = JSON.parse(bytes.toString()) as Work | null;
    return work ?? {};
  } catch {
    return {};
  }
}

function bodyOf(work: Work, bytes: Buffer): Buffer {
  if (work.size !== undefined) return Buffer.alloc(work.size, 'x');
  if (work.echo !== undefined) return Buffer.from(JSON.stringify(work.echo));
  return bytes;
}

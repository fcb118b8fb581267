/** A simulated executor that answers callers' requests over HTTP. */
import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {readBytes, sendJson} from '@dragonflyward/common';
import {Connections, handleMute, MUTE_PATH} from './service.js';

const MAX_BODY_BYTES = 64 * 1024 * 1024;

/** Faults that can be injected into an executor. */
export interface ExecutorFaults {
  /** Fraction of requests that get status 500, evenly spread. */
  readonly failRate: number;
  /** Sends half of each body and closes the connection. */
  readonly cutBody: boolean;
  /** Sends the headers and no body. */
  readonly headersOnly: boolean;
  /** Runs requests and never answers. */
  readonly blackhole: boolean;
  readonly draining: boolean;
  readonly delayMs: number;
  /** Swaps the answers of each pair of requests. */
  readonly swap: boolean;
}

/** The state in which an executor starts: no faults. */
export const NO_EXECUTOR_FAULTS: ExecutorFaults = {
  failRate: 0,
  cutBody: false,
  headersOnly: false,
  blackhole: false,
  draining: false,
  delayMs: 0,
  swap: false,
};

/** The record of one run of a request, which tests check. */
export interface RequestRun {
  readonly requestId: string;
  /** The string that the body asks to be echoed, else the request id. */
  readonly label: string;
  readonly team: string;
  readonly startMs: number;
  endMs: number | null;
}

interface RequestWork {
  readonly sleepMs?: number;
  readonly size?: number;
  readonly echo?: unknown;
}

interface ExecutorAnswer {
  readonly requestId: string;
  readonly body: Buffer;
}

/** An executor that records use beyond its slots and counts connections. */
export class ExecutorService {
  private readonly runs: RequestRun[] = [];
  private resolveHeld: ((answer: ExecutorAnswer) => void) | undefined;
  private heldAnswer: ExecutorAnswer | undefined;
  private handledRequests = 0;
  private busySlots = 0;
  private connections = 0;
  private maxBusy = 0;
  private maxConnections = 0;
  private slotBreaches = 0;
  private faults = NO_EXECUTOR_FAULTS;

  constructor(private readonly slots: number) {}

  /** Creates the HTTP server of this executor. */
  makeServer(): http.Server {
    const server = http.createServer((req, res) => {
      if (openConnections.isMuted(req.socket)) return;
      if (req.url === MUTE_PATH) return handleMute(openConnections, req, res);
      this.handle(req, res).catch(() => req.socket.destroy());
    });
    const openConnections = new Connections(server);
    server.on('connection', socket => {
      this.connections += 1;
      this.maxConnections = Math.max(this.maxConnections, this.connections);
      socket.on('close', () => (this.connections -= 1));
    });
    return server;
  }

  private async handle(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const bytes = await readBytes(req, MAX_BODY_BYTES);
    if (req.url === '/admin') return this.handleAdmin(bytes, res);
    this.busySlots += 1;
    this.maxBusy = Math.max(this.maxBusy, this.busySlots);
    if (this.busySlots > this.slots) this.slotBreaches += 1;
    res.once('close', () => (this.busySlots -= 1));
    const work = parseWork(bytes);
    const run = newRun(req, work);
    this.runs.push(run);
    res.once('close', () => (run.endMs = Date.now()));
    await this.serveRequest(run, res, work, bytes);
  }

  private async serveRequest(
    {requestId}: RequestRun,
    res: http.ServerResponse,
    work: RequestWork,
    bytes: Buffer,
  ): Promise<void> {
    await sleep((work.sleepMs ?? 0) + this.faults.delayMs);
    if (this.faults.blackhole) return;
    if (this.shouldFail()) return void sendJson(res, 500, {error: 'failed'});
    const answer = {requestId, body: replyBody(work, bytes)};
    const sent = this.faults.swap ? await this.swapAnswers(answer) : answer;
    this.send(res, sent);
  }

  private shouldFail(): boolean {
    const {failRate} = this.faults;
    this.handledRequests += 1;
    const failedBefore = Math.floor((this.handledRequests - 1) * failRate);
    return Math.floor(this.handledRequests * failRate) > failedBefore;
  }

  /** The first request of a pair waits for the second; their answers swap. */
  private swapAnswers(answer: ExecutorAnswer): Promise<ExecutorAnswer> {
    const {resolveHeld, heldAnswer} = this;
    if (resolveHeld !== undefined && heldAnswer !== undefined) {
      this.resolveHeld = undefined;
      resolveHeld(answer);
      return Promise.resolve(heldAnswer);
    }
    this.heldAnswer = answer;
    return new Promise(resolve => (this.resolveHeld = resolve));
  }

  private send(res: http.ServerResponse, answer: ExecutorAnswer): void {
    res.writeHead(200, {
      'content-length': answer.body.length,
      'x-request-id': answer.requestId,
      ...(this.faults.draining ? {'x-draining': '1'} : {}),
    });
    if (this.faults.headersOnly) return res.flushHeaders();
    if (!this.faults.cutBody) return void res.end(answer.body);
    const half = answer.body.subarray(0, answer.body.length / 2);
    res.write(half, () => res.destroy());
  }

  private handleAdmin(bytes: Buffer, res: http.ServerResponse): void {
    if (bytes.length > 0) {
      const change = JSON.parse(bytes.toString()) as Partial<ExecutorFaults>;
      this.faults = {...this.faults, ...change};
    }
    const {maxBusy, maxConnections, slotBreaches, runs} = this;
    sendJson(res, 200, {maxBusy, maxConnections, slotBreaches, runs});
  }
}

function newRun(req: http.IncomingMessage, work: RequestWork): RequestRun {
  const requestId = String(req.headers['x-request-id'] ?? '');
  const team = String(req.headers['x-team'] ?? '');
  const label = typeof work.echo === 'string' ? work.echo : requestId;
  return {requestId, label, team, startMs: Date.now(), endMs: null};
}

function parseWork(bytes: Buffer): RequestWork {
  try {
    const work = JSON.parse(bytes.toString()) as RequestWork | null;
    return work ?? {};
  } catch {
    return {};
  }
}

function replyBody(work: RequestWork, bytes: Buffer): Buffer {
  if (work.size !== undefined) return Buffer.alloc(work.size, 'x');
  if (work.echo !== undefined) return Buffer.from(JSON.stringify(work.echo));
  return bytes;
}

/** The job API for callers; each job is forwarded to its shard's owner. */
import type {
  IncomingHttpHeaders,
  IncomingMessage,
  ServerResponse,
} from 'node:http';
import {
  newId,
  raise,
  rankByHash,
  readJson,
  sendJson,
  SystemClock,
  type Clock,
} from '@dragonflyward/common';
import type {PeerAsk, PeerReply} from '@dragonflyward/peer';
import {admit, teamOfHeaders} from './access.js';
import type {ConfigView} from './config-view.js';
import {readJob, type JobRequest} from './job-spec.js';
import {askOwner} from './owner-request.js';
import {readDeadline} from './request-spec.js';

const MAX_JOB_BYTES = 1024 * 1024;
const MAX_JOB_DEADLINE_MS = 10_000;
const DEFAULT_MAX_JOBS = 100;
const MAX_JOBS = 1_000;
const MAX_ID_LENGTH = 256;
const ACCEPTED = 202;

/** What jobs are forwarded by. */
export abstract class ShardAsker {
  /** Asks a shard's owner. */
  abstract ask(
    shard: string,
    ask: PeerAsk,
    timeoutMs: number,
  ): Promise<PeerReply>;
  /** The failure domains that have targets. */
  abstract domains(): readonly string[];
  /** The failure domain of this process. */
  abstract readonly ownDomain: string;
}

interface TeamOwned {
  readonly team: string;
}

/** Serves /v1/jobs. */
export class JobRoutes {
  constructor(
    private readonly config: ConfigView,
    private readonly asker: ShardAsker,
    private readonly clock: Clock = new SystemClock(),
  ) {}

  /**
   * Submits a job; it is answered once it stands in the log.
   *
   * @throws the kinds of the error table
   */
  async submit(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const deadlineMs = readDeadline(req.headers, MAX_JOB_DEADLINE_MS);
    const job = readJob(await readJson(req, MAX_JOB_BYTES));
    const {team} = admit(this.config, job.queue, req.headers);
    const localId = job.id ?? newId('j');
    const shard = this.shardFor(job, localId);
    const jobId = `${shard}:${localId}`;
    const {queue, tasks, isGang, isService, isIdempotent} = job;
    const {size, runMs, payload} = job;
    const work = {queue, tasks, isGang, isService, isIdempotent};
    const declared = {size, runMs, payload};
    const type = 'jobSubmit';
    const ask = {type, shard, jobId, team, ...work, ...declared} as const;
    await this.ask(ask, deadlineMs);
    sendJson(res, ACCEPTED, {jobId, shard});
  }

  /** Answers with a job's status. */
  async status(
    req: IncomingMessage,
    res: ServerResponse,
    jobId: string,
  ): Promise<void> {
    const status = await this.find(req.headers, jobId);
    sendJson(res, 200, status);
  }

  /** Cancels a job. */
  async cancel(
    req: IncomingMessage,
    res: ServerResponse,
    jobId: string,
  ): Promise<void> {
    await this.find(req.headers, jobId);
    const shard = this.shardOf(jobId);
    const deadlineMs = readDeadline(req.headers, MAX_JOB_DEADLINE_MS);
    await this.ask({type: 'jobCancel', shard, jobId}, deadlineMs);
    sendJson(res, ACCEPTED, {jobId, shard});
  }

  /** Lists the team's jobs in all shards. */
  async list(
    req: IncomingMessage,
    res: ServerResponse,
    query: URLSearchParams,
  ): Promise<void> {
    const team = teamOfHeaders(this.config, req.headers);
    const maxJobs = readMax(query.get('max'));
    const deadlineMs = readDeadline(req.headers, MAX_JOB_DEADLINE_MS);
    const lists = await Promise.all(
      this.asker.domains().map(async shard => {
        const ask = {type: 'jobListAsk', shard, team, maxJobs} as const;
        const reply = await this.ask(ask, deadlineMs);
        return reply.type === 'jobs' ? reply.jobs : [];
      }),
    );
    sendJson(res, 200, {jobs: lists.flat().slice(0, maxJobs)});
  }

  private ask(
    ask: PeerAsk & {readonly shard: string},
    deadlineMs: number,
  ): Promise<PeerReply> {
    return askOwner(this.asker, this.clock, ask, deadlineMs);
  }

  /** Finds a job of the caller's team; others' jobs are as unknown to it. */
  private async find(
    headers: IncomingHttpHeaders,
    jobId: string,
  ): Promise<TeamOwned> {
    const shard = this.shardOf(jobId);
    const hasKey = headers.authorization !== undefined;
    const team = hasKey ? teamOfHeaders(this.config, headers) : '';
    const deadlineMs = readDeadline(headers, MAX_JOB_DEADLINE_MS);
    const ask = {type: 'jobAsk', shard, jobId} as const;
    const reply = await this.ask(ask, deadlineMs);
    if (reply.type !== 'job') return raise('peerLost', reply.type);
    const status = reply.status as TeamOwned;
    if (status.team !== team) raise('jobUnknown', jobId);
    return status;
  }

  /** A repeat of a caller's id goes to the same shard as the first. */
  private shardFor(job: JobRequest, localId: string): string {
    const domains = this.asker.domains();
    if (job.domain !== undefined) {
      if (!domains.includes(job.domain)) raise('noTarget', job.domain);
      return job.domain;
    }
    const {ownDomain} = this.asker;
    if (job.id === undefined && domains.includes(ownDomain)) return ownDomain;
    const [home] = rankByHash(localId, domains, domain => domain);
    return home ?? raise('noTarget', 'no failure domain is known');
  }

  private shardOf(jobId: string): string {
    if (jobId.length > MAX_ID_LENGTH) raise('jobUnknown', 'the id is too long');
    const at = jobId.indexOf(':');
    const shard = jobId.slice(0, at);
    const isKnown = at > 0 && this.asker.domains().includes(shard);
    return isKnown ? shard : raise('jobUnknown', jobId);
  }
}

function readMax(text: string | null): number {
  if (text === null) return DEFAULT_MAX_JOBS;
  const value = Number(text);
  if (Number.isSafeInteger(value) && value > 0) {
    return Math.min(value, MAX_JOBS);
  }
  return raise('badRequest', 'max is not a whole number above 0');
}

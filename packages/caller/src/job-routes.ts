/** The job API for callers; forwards each job to the owner of its shard. */
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
import {MAX_JOB_BYTES} from '@dragonflyward/state';
import {authorize, authenticateTeam} from './access.js';
import type {ConfigView} from './config-view.js';
import {readJob, type JobRequest} from './job-spec.js';
import {requestFromOwner} from './owner-request.js';
import {readDeadline} from './request-spec.js';

const MAX_JOB_DEADLINE_MS = 10_000;
const DEFAULT_MAX_JOBS = 100;
const MAX_JOBS = 1_000;
const MAX_ID_LENGTH = 256;
const ACCEPTED = 202;

/** Sends requests of the job API to shard owners. */
export abstract class ShardClient {
  /** Sends a request to the owner of a shard. */
  abstract request(
    shard: string,
    request: PeerAsk,
    timeoutMs: number,
  ): Promise<PeerReply>;
  /** The failure domains that have targets. */
  abstract domains(): readonly string[];
  /** The failure domain of this process. */
  abstract readonly ownDomain: string;
}

interface JobStatus {
  readonly team: string;
}

/** Serves /v1/jobs. */
export class JobRoutes {
  constructor(
    private readonly config: ConfigView,
    private readonly shardClient: ShardClient,
    private readonly clock: Clock = new SystemClock(),
  ) {}

  /**
   * Submits a job; answers once the job is stored in the log.
   *
   * @throws an error of the error table
   */
  async submit(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const deadlineMs = readDeadline(req.headers, MAX_JOB_DEADLINE_MS);
    const job = readJob(await readJson(req, MAX_JOB_BYTES));
    const {team} = authorize(this.config, job.queue, req.headers);
    const localId = job.id ?? newId('j');
    const shard = this.chooseShard(job, localId);
    const jobId = `${shard}:${localId}`;
    const {queue, tasks, isGang, isService, isIdempotent} = job;
    const {size, runMs, payload} = job;
    const work = {queue, tasks, isGang, isService, isIdempotent};
    const declared = {size, runMs, payload};
    const type = 'jobSubmit';
    const request = {type, shard, jobId, team, ...work, ...declared} as const;
    await this.sendRequest(request, deadlineMs);
    sendJson(res, ACCEPTED, {jobId, shard});
  }

  /** Answers with the status of a job. */
  async status(
    req: IncomingMessage,
    res: ServerResponse,
    jobId: string,
  ): Promise<void> {
    const status = await this.findJob(req.headers, jobId);
    sendJson(res, 200, status);
  }

  /** Cancels a job. */
  async cancel(
    req: IncomingMessage,
    res: ServerResponse,
    jobId: string,
  ): Promise<void> {
    await this.findJob(req.headers, jobId);
    const shard = this.parseShard(jobId);
    const deadlineMs = readDeadline(req.headers, MAX_JOB_DEADLINE_MS);
    await this.sendRequest({type: 'jobCancel', shard, jobId}, deadlineMs);
    sendJson(res, ACCEPTED, {jobId, shard});
  }

  /** Lists the jobs of the caller's team in all shards. */
  async list(
    req: IncomingMessage,
    res: ServerResponse,
    query: URLSearchParams,
  ): Promise<void> {
    const team = authenticateTeam(this.config, req.headers);
    const maxJobs = readMaxJobs(query.get('max'));
    const deadlineMs = readDeadline(req.headers, MAX_JOB_DEADLINE_MS);
    const lists = await Promise.all(
      this.shardClient.domains().map(async shard => {
        const request = {type: 'jobListAsk', shard, team, maxJobs} as const;
        const reply = await this.sendRequest(request, deadlineMs);
        return reply.type === 'jobs' ? reply.jobs : [];
      }),
    );
    sendJson(res, 200, {jobs: lists.flat().slice(0, maxJobs)});
  }

  private sendRequest(
    request: PeerAsk & {readonly shard: string},
    deadlineMs: number,
  ): Promise<PeerReply> {
    return requestFromOwner(this.shardClient, this.clock, request, deadlineMs);
  }

  /** Finds a job of the caller's team; jobs of other teams count as unknown. */
  private async findJob(
    headers: IncomingHttpHeaders,
    jobId: string,
  ): Promise<JobStatus> {
    const shard = this.parseShard(jobId);
    const hasKey = headers.authorization !== undefined;
    const team = hasKey ? authenticateTeam(this.config, headers) : '';
    const deadlineMs = readDeadline(headers, MAX_JOB_DEADLINE_MS);
    const request = {type: 'jobAsk', shard, jobId} as const;
    const reply = await this.sendRequest(request, deadlineMs);
    if (reply.type !== 'job') return raise('peerLost', reply.type);
    const status = reply.status as JobStatus;
    if (status.team !== team) raise('jobUnknown', jobId);
    return status;
  }

  /**
   * Chooses the shard of a new job. An id chosen by the caller always maps to
   * the same shard, so that its repetition is detected there.
   */
  private chooseShard(job: JobRequest, localId: string): string {
    const domains = this.shardClient.domains();
    if (job.domain !== undefined) {
      if (!domains.includes(job.domain)) raise('noTarget', job.domain);
      return job.domain;
    }
    const {ownDomain} = this.shardClient;
    if (job.id === undefined && domains.includes(ownDomain)) return ownDomain;
    const [chosen] = rankByHash(localId, domains, domain => domain);
    return chosen ?? raise('noTarget', 'no failure domain is known');
  }

  private parseShard(jobId: string): string {
    if (jobId.length > MAX_ID_LENGTH) raise('jobUnknown', 'the id is too long');
    const colonIndex = jobId.indexOf(':');
    const shard = jobId.slice(0, colonIndex);
    const isKnown =
      colonIndex > 0 && this.shardClient.domains().includes(shard);
    return isKnown ? shard : raise('jobUnknown', jobId);
  }
}

function readMaxJobs(text: string | null): number {
  if (text === null) return DEFAULT_MAX_JOBS;
  const value = Number(text);
  if (Number.isSafeInteger(value) && value > 0) {
    return Math.min(value, MAX_JOBS);
  }
  return raise('badRequest', 'max is not a whole number above 0');
}

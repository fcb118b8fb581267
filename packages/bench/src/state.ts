/** Measures group commit, replay, snapshots, memory and allowance planning. */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {NO_RESOURCES, SystemClock, type Resources} from '@dragonflyward/common';
import {
  MemoryLog,
  MemoryLogClient,
  StreamTail,
  StreamWriter,
  type LogRecord,
} from '@dragonflyward/log';
import {
  AllowanceState,
  planAllowances,
  RECORD_VERSION,
  ShardState,
  shardStream,
  type JobSpec,
  type ShardRecord,
} from '@dragonflyward/state';

const SHARD = 'north-1';
const STREAM = shardStream(SHARD);
/** How long jobs are accepted at each rate. */
const OFFER_DURATION_S = 4;
const ACCEPT_RATES = [10, 50, 370, 2_000];
/** Simulated latencies of an append at the log service. */
const APPEND_LATENCIES_MS = [1, 30];
const JOB_COUNTS = [1_000, 10_000, 50_000];
const TEAMS = 590;
const SHARDS = 16;
const OFFER_TICK_MS = 5;
const SETTLE_MS = 500;
const MS_PER_SECOND = 1_000;

type Print = (line: string) => void;

/** Group commit: how many appends the accepted jobs took. */
export interface CommitFigures {
  readonly ratePerS: number;
  readonly appendMs: number;
  readonly appendsPer1000Accepts: number;
  readonly appendsPerS: number;
  readonly medianMs: number;
}

/** The cost of a shard state with a number of live jobs. */
export interface JobFigures {
  readonly jobs: number;
  readonly foldRecordsPerS: number;
  readonly heapBytesPerJob: number;
  readonly snapshotBytesPerJob: number;
  readonly snapshotParts: number;
  readonly snapshotMs: number;
  readonly restoreMs: number;
}

/** The cost of planning the allowances of all teams and shards. */
export interface PlanFigures {
  readonly teams: number;
  readonly shards: number;
  readonly firstPlanMs: number;
  readonly nextPlanMs: number;
  readonly changes: number;
}

/** All results of this benchmark. */
export type StateFigures = Readonly<Record<string, unknown>>;

/**
 * Runs the benchmark of the replicated state.
 *
 * @example
 * const figures = await benchState(console.log);
 */
export async function benchState(print: Print): Promise<StateFigures> {
  const commits: CommitFigures[] = [];
  for (const appendMs of APPEND_LATENCIES_MS) {
    for (const rate of ACCEPT_RATES) {
      const figures = await measureCommit(rate, appendMs);
      commits.push(figures);
      print(formatFigures('commit', figures));
    }
  }
  const jobs = JOB_COUNTS.map(measureJobs);
  for (const figures of jobs) print(formatFigures('jobs', figures));
  const plan = measurePlan();
  print(formatFigures('plan', plan));
  return {commits, jobs, plan};
}

function formatFigures(name: string, figures: object): string {
  const parts = Object.entries(figures).map(([key, value]) => {
    const number = value as number;
    return `${key}=${Number(number.toFixed(2))}`;
  });
  return `${name}: ${parts.join(' ')}`;
}

async function measureCommit(
  ratePerS: number,
  appendMs: number,
): Promise<CommitFigures> {
  const clock = new SystemClock();
  const log = new MemoryLog(clock);
  log.appendNow(STREAM, [{id: 'claim', data: claimRecord()}]);
  const claims = log.appends;
  log.latencyMs = appendMs;
  const base = {client: new MemoryLogClient(log), stream: STREAM, clock};
  const tail = new StreamTail({...base, state: new ShardState(), waitMs: 500});
  const writer = new StreamWriter({...base, tail});
  tail.start();
  const startMs = clock.monotonicMs();
  const waits = await offerAccepts(writer, clock, ratePerS);
  const tookMs = clock.monotonicMs() - startMs;
  tail.stop();
  await clock.sleep(SETTLE_MS);
  const appends = log.appends - claims;
  return {
    ratePerS,
    appendMs,
    appendsPer1000Accepts: (appends / waits.length) * 1_000,
    appendsPerS: (appends / tookMs) * MS_PER_SECOND,
    medianMs: median(waits),
  };
}

/** Writes jobs at a steady rate and returns the latency of each write. */
async function offerAccepts(
  writer: StreamWriter,
  clock: SystemClock,
  ratePerS: number,
): Promise<readonly number[]> {
  const startMs = clock.monotonicMs();
  const waits: Promise<number>[] = [];
  const accepts = ratePerS * OFFER_DURATION_S;
  while (waits.length < accepts) {
    const passedMs = clock.monotonicMs() - startMs;
    const due = Math.min(accepts, (passedMs * ratePerS) / MS_PER_SECOND);
    while (waits.length < due) waits.push(accept(writer, clock, waits.length));
    await clock.sleep(OFFER_TICK_MS);
  }
  return Promise.all(waits);
}

async function accept(
  writer: StreamWriter,
  clock: SystemClock,
  index: number,
): Promise<number> {
  const startMs = clock.monotonicMs();
  await writer.write(jobAcceptedRecord(index));
  return clock.monotonicMs() - startMs;
}

function measureJobs(jobs: number): JobFigures {
  const records = [...shardRecords(jobs)];
  const foldMs = timeMs(() => replayRecords(records));
  const heapBefore = heapBytesAfterGc();
  const state = replayRecords(shardRecords(jobs));
  const heapBytesPerJob = (heapBytesAfterGc() - heapBefore) / jobs;
  let parts = state.snapshot('warm');
  const snapshotMs = timeMs(() => (parts = state.snapshot('bench')));
  const size = parts.reduce((sum, {body}) => sum + body.length, 0);
  const restoreMs = timeMs(() => new ShardState().adopt(parts));
  return {
    jobs,
    foldRecordsPerS: (records.length / foldMs) * MS_PER_SECOND,
    heapBytesPerJob,
    snapshotBytesPerJob: size / jobs,
    snapshotParts: parts.length,
    snapshotMs,
    restoreMs,
  };
}

function replayRecords(records: Iterable<LogRecord>): ShardState {
  const state = new ShardState();
  for (const record of records) state.apply(record);
  return state;
}

function measurePlan(): PlanFigures {
  const table = new AllowanceState();
  const shards = Array.from({length: SHARDS}, (_, i) => `domain-${i}`);
  const teams = Array.from({length: TEAMS}, (_, i) => `team-${i}`);
  const limits = new Map(teams.map(team => [team, resourcesOf(1_000)]));
  const plan = (seed: number): ReturnType<typeof planAllowances> => {
    const demands = teams.flatMap((team, t) =>
      shards.map((shard, s) => {
        const wanted = resourcesOf((t * 31 + s * 17 * seed) % 200);
        return {team, shard, wanted};
      }),
    );
    return planAllowances({table, limits, shards, demands});
  };
  let changes = plan(1);
  const firstPlanMs = timeMs(() => (changes = plan(1)));
  const data = {
    ...{v: RECORD_VERSION, type: 'allowances'},
    ...{prevVersion: 0, term: 1, changes},
  };
  table.apply({offset: 0, timeMs: 0, id: 'a', data});
  const nextPlanMs = timeMs(() => plan(2));
  const count = changes.length;
  return {
    teams: TEAMS,
    shards: SHARDS,
    firstPlanMs,
    nextPlanMs,
    changes: count,
  };
}

function* shardRecords(jobs: number): Generator<LogRecord> {
  yield {offset: 0, timeMs: 0, id: 'claim', data: claimRecord()};
  for (let i = 0; i < jobs; i += 1) {
    const data = structuredClone(jobAcceptedRecord(i));
    yield {offset: i + 1, timeMs: i, id: `r${i}`, data};
  }
}

function claimRecord(): ShardRecord {
  const owner = {vm: 'a', incarnation: 1};
  const previousVersions = {prevTerm: 0, prevListVersion: 0};
  const v = RECORD_VERSION;
  return {v, type: 'claim', ...previousVersions, owner, successors: []};
}

function jobAcceptedRecord(index: number): ShardRecord {
  const job = newJobSpec(index);
  const v = RECORD_VERSION;
  return {v, type: 'jobAccepted', term: 1, acceptedMs: 1e12, job};
}

function newJobSpec(index: number): JobSpec {
  return {
    jobId: `${SHARD}:render-${index}`,
    team: `team-${index % TEAMS}`,
    queue: 'renders',
    tasks: 1,
    isGang: false,
    isService: false,
    isIdempotent: true,
    size: {cpuMilli: 4_000, memMb: 8_192, accel: 1, slots: 0},
    runMs: 60_000,
    payload: {image: 'outfits/autumn', args: ['--look', String(index)]},
  };
}

function resourcesOf(count: number): Resources {
  return {...NO_RESOURCES, cpuMilli: count * 1_000, slots: count};
}

function timeMs(run: () => void): number {
  const startMs = performance.now();
  run();
  return performance.now() - startMs;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function heapBytesAfterGc(): number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  return process.memoryUsage().heapUsed;
}

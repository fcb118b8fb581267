/** The jobs of both users' workloads. */
import {NO_RESOURCES, type Resources} from '@dragonflyward/common';
import type {JobCall, TeamKey} from '@dragonflyward/standins';
import type {JobSubmission} from './job-load.js';

const BATCH_JOBS = 24;
const BATCH_RUN_MS = 1_500;
const GANG_RUN_MS = 3_000;
const KILN: Resources = {...NO_RESOURCES, cpuMilli: 4_000, memMb: 4_096};
const RENDER: Resources = {
  ...NO_RESOURCES,
  cpuMilli: 8_000,
  memMb: 16_384,
  accel: 2,
};
const TRAINING: Resources = {
  ...NO_RESOURCES,
  cpuMilli: 16_000,
  memMb: 32_768,
  accel: 8,
};

/** Lists the jobs: batch jobs of both users and one gang job. */
export function* demoJobs(
  runId: string,
  keys: ReadonlyMap<string, TeamKey>,
): Generator<JobSubmission> {
  const newSubmission = (team: string, job: JobCall): JobSubmission => {
    const key = keys.get(team);
    if (key === undefined) throw new Error(`no key for team ${team}`);
    return {key, job};
  };
  yield newSubmission('renders', {
    ...batchJob(`${runId}-training`, 'training', 4, TRAINING),
    isGang: true,
    runMs: GANG_RUN_MS,
    payload: {runMs: GANG_RUN_MS},
  });
  for (let i = 0; i < BATCH_JOBS; i += 1) {
    yield newSubmission(
      'kilns',
      batchJob(`${runId}-kiln-${i}`, 'kilns', 3, KILN),
    );
    yield newSubmission(
      'renders',
      batchJob(`${runId}-render-${i}`, 'renders', 2, RENDER),
    );
  }
}

function batchJob(
  id: string,
  queue: string,
  tasks: number,
  size: Resources,
): JobCall {
  return {
    id,
    queue,
    tasks,
    isGang: false,
    isService: false,
    isIdempotent: true,
    size,
    runMs: BATCH_RUN_MS,
    payload: {runMs: BATCH_RUN_MS, result: id},
  };
}

/** Records and values for tests. */
import {
  keyDigest,
  RECORD_VERSION,
  type ConfigRecord,
  type Configuration,
  type JobSpec,
  type KeyGrantedRecord,
  type KeyWithdrawnRecord,
  type QueueConfig,
} from '@dragonflyward/state';

const QUEUE: QueueConfig = {
  priority: 'urgent',
  service: 'quotes',
  isOpen: false,
  maxBodyBytes: 65_536,
  maxDeadlineMs: 30_000,
  maxWaiting: 100,
  policy: 'pack',
};

export const CONFIGURATION: Configuration = {
  defaults: {
    queues: {quotes: QUEUE, renders: {...QUEUE, priority: 'batch'}},
    organisations: {valley: {share: 1}},
    teams: {
      roofs: {
        organisation: 'valley',
        share: 1,
        limit: {cpuMilli: 64_000, memMb: 65_536, accel: 0, slots: 24},
      },
    },
  },
  exceptions: [
    {
      id: 'autumn',
      scope: {queue: 'quotes'},
      set: {maxWaiting: 500},
      reason: 'more quotes before the first snow',
    },
  ],
};

export function configRecord(
  base: number,
  author: string,
  configuration = CONFIGURATION,
): ConfigRecord {
  const reason = 'test';
  const v = RECORD_VERSION;
  return {v, type: 'config', base, author, reason, configuration};
}

export function grant(
  keyId: string,
  secret: string,
  team: string,
): KeyGrantedRecord {
  const key = {keyId, team, digest: keyDigest(secret)};
  return {v: RECORD_VERSION, type: 'keyGranted', author: 'ada', key};
}

export function withdraw(keyId: string): KeyWithdrawnRecord {
  const v = RECORD_VERSION;
  return {v, type: 'keyWithdrawn', author: 'ada', keyId, reason: 'lost'};
}

export function jobSpec(jobId: string): JobSpec {
  return {
    jobId,
    team: 'roofs',
    queue: 'renders',
    tasks: 2,
    isGang: false,
    isService: false,
    isIdempotent: false,
    size: {cpuMilli: 500, memMb: 512, accel: 0, slots: 0},
    runMs: 10_000,
    payload: {image: 'cut-list', args: ['--larch']},
  };
}

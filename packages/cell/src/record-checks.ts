/** Checks of what another version or writer may have stored or sent. */
import {raise, type Resources} from '@dragonflyward/common';
import {
  isCount,
  isFlag,
  isList,
  isNumber,
  isObject,
  isOptional,
  isPositive,
  isText,
  type Check,
} from './checks.js';
import {withoutImpliedDependencies} from './dependencies.js';
import type {NewJob} from './job-state.js';
import type {
  AdvicePolicy,
  ExecutorInfo,
  JobPhase,
  JobSpec,
  Queue,
  Repetition,
  StepSpec,
} from './types.js';

/** Most tasks of one occurrence of a job, which is held in memory as a whole. */
export const MAX_OCCURRENCE_TASKS = 100_000;
/** Most repetitions of a job: its occurrences are numbered up to this. */
export const MAX_REPETITIONS = 1_000_000_000;

const PHASES: ReadonlySet<unknown> = new Set<JobPhase>([
  'queued',
  'running',
  'completed',
  'failed',
  'cancelled',
]);

const isResources = isObject<Resources>({
  cpuMilli: isNumber,
  memMb: isNumber,
  accel: isNumber,
  slots: isOptional(isNumber),
});

const isStep = isObject<StepSpec>({
  count: isPositive,
  size: isResources,
  estimatedMs: isNumber,
  after: isList(isCount),
  savesProgress: isOptional(isFlag),
  isGang: isOptional(isFlag),
  isRackSensitive: isOptional(isFlag),
  requiredLabel: isOptional(isText),
  rack: isOptional(isText),
  maxPerExecutor: isOptional(isCount),
  mayDuplicate: isOptional(isFlag),
  isService: isOptional(isFlag),
  image: isOptional(isText),
  targetMs: isOptional(isNumber),
  isFiller: isOptional(isFlag),
  missAllowed: isOptional(isCount),
});

const isAdvice = isObject<AdvicePolicy>({
  decisionMs: isNumber,
  perExecutorMs: isNumber,
  validityMs: isNumber,
});

const isQueue = isObject<Queue>({
  name: isText,
  host: isOptional(isText),
  pathPrefix: isOptional(isText),
  service: isText,
  priority: isNumber,
  maxAttempts: isNumber,
  stretch: isNumber,
  objectiveMs: isNumber,
  isPublic: isOptional(isFlag),
  advice: value => value === null || isAdvice(value),
});

const isJob = isObject<NewJob>({
  id: isText,
  spec: isObject<JobSpec>({
    payload: isText,
    steps: value => isList(isStep)(value) && (value as unknown[]).length > 0,
    repetition: isObject<Repetition>({
      times: isPositive,
      firstMs: isNumber,
      intervalMs: isNumber,
    }),
  }),
  organisation: isText,
  queue: isQueue,
  acceptedMs: isNumber,
});

const isExecutor = isObject<ExecutorInfo>({
  id: isText,
  service: isText,
  ip: isText,
  port: isNumber,
  domain: isText,
  rack: isText,
  labels: isList(isText),
  capacity: isResources,
  isDraining: isOptional(isFlag),
  drainRemainingMs: isOptional(isNumber),
  coldRemainingMs: isOptional(isNumber),
  bornMs: isNumber,
});

/** Number of tasks of an occurrence with these steps. */
export function countTasks(steps: readonly StepSpec[]): number {
  return steps.reduce((sum, {count}) => sum + count, 0);
}

/**
 * Checks a decoded job. Rounds of the owner would fail with one that is not
 * whole, and one with countless tasks would take all memory.
 *
 * @throws badRequest
 * @example
 * const job = checkJob(decode(value));
 */
export function checkJob(value: unknown): NewJob {
  if (!isJob(value)) return raise('badRequest', 'not a job');
  const job = value as NewJob;
  const {steps, repetition} = job.spec;
  const tasks = countTasks(steps);
  if (tasks > MAX_OCCURRENCE_TASKS) {
    return raise('badRequest', `an occurrence of ${tasks} tasks`);
  }
  if (repetition.times > MAX_REPETITIONS) {
    return raise('badRequest', `a job of ${repetition.times} occurrences`);
  }
  const spec = {...job.spec, steps: withoutImpliedDependencies(steps)};
  return {...job, spec};
}

/**
 * Checks the decoded record of an executor that an owner has used.
 *
 * @throws badRequest
 * @example
 * const info = checkExecutor(decode(value));
 */
export function checkExecutor(value: unknown): ExecutorInfo {
  if (!isExecutor(value)) return raise('badRequest', 'not an executor');
  return value as ExecutorInfo;
}

/**
 * Checks the phase of a progress record: an unknown one would count as final.
 *
 * @throws badRequest
 * @example
 * const phase = checkPhase(record.phase);
 */
export function checkPhase(value: unknown): JobPhase {
  if (!PHASES.has(value)) return raise('badRequest', 'not a phase');
  return value as JobPhase;
}

const isRuns = isList(isCount);

/** Whether these are pairs of indexes, each of a range that is not empty. */
export const isRanges: Check = value =>
  isRuns(value) &&
  (value as number[]).length % 2 === 0 &&
  (value as number[]).every(
    (each, i, all) => i === 0 || each > (all[i - 1] ?? 0),
  );

/** Whether a row of a progress record can be applied to a step. */
export const isStepRow = isObject<{
  readonly occurrence: number;
  readonly step: number;
  readonly chunk?: number;
  readonly done: Uint8Array;
  readonly isDone: boolean;
  readonly tasks: readonly unknown[];
  readonly failedGangRuns: readonly number[];
}>({
  occurrence: isCount,
  step: isCount,
  chunk: isOptional(isCount),
  done: value => value instanceof Uint8Array,
  isDone: isFlag,
  tasks: isList(isTaskRow),
  failedGangRuns: isRuns,
});

function isTaskRow(value: unknown): boolean {
  if (!Array.isArray(value)) return false;
  const [index, failed, checkpoint, crashed, suspected] = value as unknown[];
  return (
    isCount(index) &&
    isRuns(failed) &&
    isText(checkpoint) &&
    isOptional(isRuns)(crashed) &&
    isOptional(isRuns)(suspected)
  );
}

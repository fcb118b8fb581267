/**
 * Estimates of the memory that jobs take in the process that owns the cell. The
 * deploy file gives it a heap of 160 MB; what this module allows has to leave
 * room for the process itself and for the load of the stored state.
 */
import type {JobSpec, StepSpec} from './types.js';

const MB = 1024 * 1024;
/** A job without its steps and its occurrences, in bytes. */
const JOB_BYTES = 1100;
/** A step as submitted, in bytes. */
const STEP_SPEC_BYTES = 300;
/** A dependency of a step, in bytes. */
const DEPENDENCY_BYTES = 8;
/** The state of an occurrence without its steps, in bytes. */
const OCCURRENCE_BYTES = 350;
/** The state of a step without its tasks, and its place in the order. */
const STEP_BYTES = 1050;
/** The state of a task, in bytes. */
const TASK_BYTES = 360;

/** Jobs up to this size do not compete with larger ones for memory. */
const SMALL_JOB_BYTES = 64 * 1024;

/** Jobs are counted in two classes, so that large ones leave room for small. */
export type SizeClass = 'small' | 'large';

/** The most memory that the accepted jobs of a class may need, in bytes. */
export const CLASS_BYTES: Readonly<Record<SizeClass, number>> = {
  small: 40 * MB,
  large: 40 * MB,
};

/**
 * How much more than {@link CLASS_BYTES} the jobs of a class may need that VMs
 * have accepted without the owner's word, in bytes.
 */
export const UNCONFIRMED_BYTES = 8 * MB;

/** Memory for occurrences that overlap with earlier ones of their job. */
export const OVERLAP_BYTES = 8 * MB;

/**
 * Returns the memory that a job needs as long as it is known, in bytes.
 *
 * @example
 * const bytes = specBytes(job.spec);
 */
export function specBytes({payload, steps}: JobSpec): number {
  const stepBytes = sum(
    steps,
    ({after, image, requiredLabel, rack}) =>
      STEP_SPEC_BYTES +
      DEPENDENCY_BYTES * after.length +
      image.length +
      requiredLabel.length +
      rack.length,
  );
  return JOB_BYTES + payload.length + stepBytes;
}

/**
 * Returns the memory that each open occurrence of a job needs, in bytes.
 *
 * @example
 * const bytes = occurrenceBytes(job.spec);
 */
export function occurrenceBytes({steps}: JobSpec): number {
  const stateBytes = sum(steps, ({count}) => STEP_BYTES + TASK_BYTES * count);
  return OCCURRENCE_BYTES + stateBytes;
}

/**
 * Returns the memory that a job needs to get on, in bytes: one occurrence at a
 * time is enough, except where the tasks last until the job is cancelled.
 *
 * @example
 * const bytes = jobBytes(spec);
 */
export function jobBytes(spec: JobSpec): number {
  const count = isLasting(spec) ? spec.repetition.times : 1;
  return specBytes(spec) + count * occurrenceBytes(spec);
}

/** Whether occurrences of the job never end by themselves. */
export function isLasting({steps}: JobSpec): boolean {
  return steps.some(({isService}) => isService);
}

/**
 * Returns the class in which a job is counted.
 *
 * @example
 * const bytesLeft = CLASS_BYTES[sizeClassOf(bytes)] - used;
 */
export function sizeClassOf(bytes: number): SizeClass {
  return bytes <= SMALL_JOB_BYTES ? 'small' : 'large';
}

function sum(
  steps: readonly StepSpec[],
  sizeOf: (step: StepSpec) => number,
): number {
  return steps.reduce((total, step) => total + sizeOf(step), 0);
}

/** The admission of a VM that owns the cell. */
import type {Clock} from '@dragonflyward/common';
import {JobAdmission, type JobTable} from '@dragonflyward/cell';

/** Creates the admission of a VM that owns the cell and knows all jobs. */
export function ownAdmission(table: JobTable, clock: Clock): JobAdmission {
  return new JobAdmission({
    table,
    clock,
    vmCount: () => 1,
    isOwner: () => true,
    askOwner: () => Promise.resolve(null),
  });
}

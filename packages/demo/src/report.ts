/** The results of a demonstration run. */
import {
  findOverlappingRuns,
  findLimitBreaches,
  findRepeatedRequests,
  type RequestResult,
  type TargetRecords,
} from '@dragonflyward/standins';
import type {JobLoad} from './job-load.js';
import {countOutcome} from './request-load.js';
import {limitOf, TEAMS} from './users.js';

const PERCENT = 100;

/** Counts of outcomes and broken promises of a run. */
export interface DemoReport {
  readonly requests: {
    readonly sent: number;
    readonly answered: number;
    readonly refused: number;
    readonly unknown: number;
    readonly lost: number;
    /** Non-idempotent requests that ran more than once. */
    readonly doubled: number;
    readonly medianMs: number;
    readonly p99Ms: number;
  };
  readonly jobs: {
    readonly accepted: number;
    readonly finished: number;
    readonly refused: number;
    readonly lost: number;
    /** Tasks that ran in two places at the same time. */
    readonly doubled: number;
  };
  readonly overcommits: number;
  readonly slotBreaches: number;
  readonly limitBreaches: number;
}

/** The results as callers saw them, and the targets' records. */
export interface DemoResults {
  readonly requests: readonly RequestResult[];
  readonly nonIdempotent: ReadonlySet<string>;
  readonly jobs: JobLoad;
  readonly records: TargetRecords;
}

/** Evaluates a run. */
export function makeReport(results: DemoResults): DemoReport {
  const {requests, jobs, records} = results;
  const limits = new Map(TEAMS.map(team => [team, limitOf(team)]));
  const repeated = findRepeatedRequests(records.requests);
  const isNonIdempotent = (id: string): boolean =>
    results.nonIdempotent.has(id);
  const finished = jobs.count('succeeded');
  return {
    requests: {
      sent: requests.length,
      answered: countOutcome(requests, 'answered'),
      refused: countOutcome(requests, 'refused'),
      unknown: countOutcome(requests, 'unknown'),
      lost: countOutcome(requests, 'lost'),
      doubled: repeated.filter(isNonIdempotent).length,
      medianMs: quantileMs(requests, 50),
      p99Ms: quantileMs(requests, 99),
    },
    jobs: {
      accepted: jobs.jobs.length,
      finished,
      refused: jobs.refused.length,
      lost: jobs.jobs.length - finished,
      doubled: findOverlappingRuns(records.tasks).length,
    },
    overcommits: records.overcommits.length,
    slotBreaches: records.slotBreaches,
    limitBreaches: findLimitBreaches(records, limits).length,
  };
}

/** Whether the run broke none of the promises that it checks. */
export function hasPassed(report: DemoReport): boolean {
  const {requests, jobs} = report;
  const faults = [
    requests.lost,
    requests.doubled,
    jobs.lost,
    jobs.doubled,
    report.overcommits,
    report.slotBreaches,
    report.limitBreaches,
  ];
  return faults.every(count => count === 0) && jobs.accepted > 0;
}

/** Formats the report as lines of a table. */
export function* formatTable(report: DemoReport): Generator<string> {
  yield* formatSection('requests', report.requests);
  yield* formatSection('jobs', report.jobs);
  const {overcommits, slotBreaches, limitBreaches} = report;
  yield* formatSection('fleet', {overcommits, slotBreaches, limitBreaches});
}

function* formatSection(
  name: string,
  values: Readonly<Record<string, number>>,
): Generator<string> {
  for (const [key, value] of Object.entries(values)) {
    yield `${name.padEnd(10)}${key.padEnd(16)}${String(value).padStart(8)}`;
  }
}

function quantileMs(
  requests: readonly RequestResult[],
  percent: number,
): number {
  const sorted = requests.map(req => req.tookMs).sort((a, b) => a - b);
  const index = Math.floor(((sorted.length - 1) * percent) / PERCENT);
  return Math.round(sorted[index] ?? 0);
}

/** Compares placement engines on the same traces. */
import {
  FirstFitEngine,
  newPolicies,
  Replay,
  FairShareEngine,
  type PlacementEngine,
  type Trace,
} from '@dragonflyward/policy';
import {LeastLoadedPolicy, ReportedUsePolicy} from './paper-policies.js';
import {fullFleetTrace, mixedDayTrace} from './policy-traces.js';
import {ShareOnlyEngine} from './share-only-engine.js';

interface Candidate {
  readonly name: string;
  newEngine(): PlacementEngine;
}

/** The results of one engine on one trace. */
export interface CompareFigures {
  readonly trace: string;
  readonly engine: string;
  readonly waitP50Ms: Readonly<Record<string, number>>;
  readonly waitP99Ms: Readonly<Record<string, number>>;
  readonly packing: number;
  readonly worstAttainment: number;
  readonly mostAttainment: number;
  readonly meanAttainment: number;
  readonly starts: number;
  readonly preemptions: number;
  readonly breaches: number;
}

const PERMILLE = 1_000;

const CANDIDATES: readonly Candidate[] = [
  {name: 'first fit', newEngine: () => new FirstFitEngine()},
  {name: 'shares only', newEngine: () => new ShareOnlyEngine()},
  {name: 'previous', newEngine: () => newPreviousEngine()},
  {name: 'current', newEngine: () => new FairShareEngine()},
  {name: 'emptiest first', newEngine: () => newEmptiestEngine()},
  {name: 'reported use', newEngine: () => new ReportedUseEngine()},
];

/** The first version of the share engine, without its later features. */
function newPreviousEngine(): PlacementEngine {
  const features = {preempts: false, reserves: false, learns: false};
  return new FairShareEngine({features});
}

function newEmptiestEngine(): PlacementEngine {
  const emptiest = new LeastLoadedPolicy();
  return new FairShareEngine({policies: {...newPolicies(), pack: emptiest}});
}

/** Places by the use that workers last reported, not by its own counts. */
class ReportedUseEngine extends FairShareEngine {
  private readonly policy: ReportedUsePolicy;

  constructor() {
    const policy = new ReportedUsePolicy();
    super({policies: {...newPolicies(), pack: policy}});
    this.policy = policy;
  }

  override recordUsage(
    ...args: Parameters<FairShareEngine['recordUsage']>
  ): void {
    super.recordUsage(...args);
    this.policy.recordReport();
  }
}

/**
 * Runs all engines on all traces.
 *
 * @example
 * const figures = comparePolicies(console.log);
 */
export function comparePolicies(
  print: (line: string) => void,
): readonly CompareFigures[] {
  const all: CompareFigures[] = [];
  for (const trace of [mixedDayTrace(), fullFleetTrace()]) {
    for (const candidate of CANDIDATES) {
      const figures = compareOne(trace, candidate);
      all.push(figures);
      print(formatFigures(figures));
    }
  }
  return all;
}

function compareOne(trace: Trace, candidate: Candidate): CompareFigures {
  const replay = new Replay(candidate.newEngine(), trace);
  const record = replay.run();
  record.recordUnstartedWaits(trace.endMs);
  const attainments = [...record.attainments().values()];
  const sum = attainments.reduce((a, b) => a + b, 0);
  const waitP50Ms: Record<string, number> = {};
  const waitP99Ms: Record<string, number> = {};
  for (const {name} of trace.jobs) {
    waitP50Ms[name] = record.waitMs(name, 50);
    waitP99Ms[name] = record.waitMs(name, 99);
  }
  return {
    trace: trace.name,
    engine: candidate.name,
    waitP50Ms,
    waitP99Ms,
    packing: roundToPermille(record.packing),
    worstAttainment: roundToPermille(Math.min(...attainments)),
    mostAttainment: roundToPermille(Math.max(...attainments)),
    meanAttainment: roundToPermille(sum / attainments.length),
    starts: record.starts,
    preemptions: record.preemptions,
    breaches: replay.audit.breaches.length,
  };
}

function roundToPermille(value: number): number {
  return Math.round(value * PERMILLE) / PERMILLE;
}

function formatFigures(figures: CompareFigures): string {
  const {trace, engine, waitP50Ms, waitP99Ms} = figures;
  const waits = Object.keys(waitP99Ms).map(
    name => `${name} ${waitP50Ms[name]}/${waitP99Ms[name]} ms`,
  );
  const {packing, worstAttainment, mostAttainment, meanAttainment} = figures;
  const {preemptions, breaches} = figures;
  return [
    `${trace} | ${engine}`,
    `packing ${packing}, shares ${worstAttainment} to ${mostAttainment}`,
    `mean ${meanAttainment}, preempted ${preemptions}, breaches ${breaches}`,
    `waits p50/p99: ${waits.join(', ')}`,
  ].join(' | ');
}

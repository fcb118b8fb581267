/** Compares engines side by side on the same traces. */
import {
  FirstFitEngine,
  newPolicies,
  Replay,
  FairShareEngine,
  type PlacementEngine,
  type Trace,
} from '@dragonflyward/policy';
import {EmptiestPolicy, ReportedUsePolicy} from './paper-policies.js';
import {fullFleetTrace, mixedDayTrace} from './policy-traces.js';
import {ShareOnlyEngine} from './share-only-engine.js';

interface Contender {
  readonly name: string;
  newEngine(): PlacementEngine;
}

/** What one engine reached on one trace. */
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

const CONTENDERS: readonly Contender[] = [
  {name: 'first fit', newEngine: () => new FirstFitEngine()},
  {name: 'shares only', newEngine: () => new ShareOnlyEngine()},
  {name: 'previous', newEngine: () => newPreviousEngine()},
  {name: 'current', newEngine: () => new FairShareEngine()},
  {name: 'emptiest first', newEngine: () => newEmptiestEngine()},
  {name: 'reported use', newEngine: () => new ReportedUseEngine()},
];

/** The first version of the share engine: without its later stages. */
function newPreviousEngine(): PlacementEngine {
  const features = {preempts: false, reserves: false, learns: false};
  return new FairShareEngine({features});
}

function newEmptiestEngine(): PlacementEngine {
  const emptiest = new EmptiestPolicy();
  return new FairShareEngine({policies: {...newPolicies(), pack: emptiest}});
}

/** Places by what workers last reported in place of own counts. */
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
    this.policy.noteReport();
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
    for (const contender of CONTENDERS) {
      const figures = compareOne(trace, contender);
      all.push(figures);
      print(toLine(figures));
    }
  }
  return all;
}

function compareOne(trace: Trace, contender: Contender): CompareFigures {
  const replay = new Replay(contender.newEngine(), trace);
  const record = replay.run();
  record.recordUnstartedWaits(trace.endMs);
  const parts = [...record.attainments().values()];
  const sum = parts.reduce((a, b) => a + b, 0);
  const waitP50Ms: Record<string, number> = {};
  const waitP99Ms: Record<string, number> = {};
  for (const {name} of trace.jobs) {
    waitP50Ms[name] = record.waitMs(name, 50);
    waitP99Ms[name] = record.waitMs(name, 99);
  }
  return {
    trace: trace.name,
    engine: contender.name,
    waitP50Ms,
    waitP99Ms,
    packing: round(record.packing),
    worstAttainment: round(Math.min(...parts)),
    mostAttainment: round(Math.max(...parts)),
    meanAttainment: round(sum / parts.length),
    starts: record.starts,
    preemptions: record.preemptions,
    breaches: replay.audit.breaches.length,
  };
}

function round(value: number): number {
  return Math.round(value * PERMILLE) / PERMILLE;
}

function toLine(figures: CompareFigures): string {
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

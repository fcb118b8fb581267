/** Checks a configuration without sending it. */
import type {
  EntryChange,
  JsonDocument,
  JsonPath,
  SkippedCheck,
} from '@dragonflyward/common';
import {
  listConfigurationProblems,
  validateConfiguration,
  type Configuration,
} from '@dragonflyward/state';
import {findChanges} from './changes.js';
import {findContradictions, findUnreachableShares} from './contradictions.js';
import {findEffects} from './effects.js';
import {isError, type Finding} from './finding.js';
import type {Inventory} from './inventory.js';
import {findUnmatched, findUnmet} from './unmatched.js';

/** What a configuration is checked against; what is absent is skipped. */
export interface CheckReferences {
  /** The version in force, or one in its place. */
  readonly against?: Configuration | undefined;
  readonly inventory?: Inventory | undefined;
}

/** The result of a check. */
export interface CheckReport<F extends Finding = Finding> {
  readonly findings: readonly F[];
  readonly changes: readonly EntryChange[];
  readonly skipped: readonly SkippedCheck[];
}

/** A finding with its line. */
export interface LocatedFinding extends Finding {
  /** Line of the value or of what contains it; 0 for a removed entry. */
  readonly line: number;
}

/**
 * Checks a value. Only errors are found in one that is not valid.
 *
 * @example
 * const {findings} = checkConfiguration(value, {against, inventory});
 */
export function checkConfiguration(
  value: unknown,
  {against, inventory}: CheckReferences,
): CheckReport {
  const validated = validateConfiguration(value);
  if (validated.isErr()) {
    const problems = listConfigurationProblems(value);
    const findings = problems.map(({path, detail: message}) => {
      return {kind: 'invalid', path, message} as const;
    });
    const reason = 'the configuration is not valid';
    return {findings, changes: [], skipped: [{check: 'all others', reason}]};
  }
  const cfg = validated.value;
  const findings = [...findUnmatched(cfg), ...findContradictions(cfg)];
  const skipped: SkippedCheck[] = [];
  if (inventory === undefined) {
    const check = 'requirements and shares that the VMs must meet';
    skipped.push({check, reason: 'no --inventory was given'});
  } else {
    findings.push(...findUnmet(cfg, inventory));
    findings.push(...findUnreachableShares(cfg, inventory));
  }
  if (against === undefined) {
    const check = 'differences from the version in force';
    skipped.push({check, reason: '--offline was given'});
    return {findings, changes: [], skipped};
  }
  const effects = [...findEffects(against, cfg)];
  findings.push(
    ...effects.map(({kind, path, message}) => ({kind, path, message})),
  );
  return {findings, changes: [...findChanges(against, cfg, effects)], skipped};
}

/**
 * Checks a document, and adds lines and replaced keys to the findings. Errors
 * come first, then the others by line.
 *
 * @example
 * const report = checkDocument(document, {against, inventory});
 */
export function checkDocument(
  document: JsonDocument,
  references: CheckReferences,
): CheckReport<LocatedFinding> {
  const report = checkConfiguration(document.value, references);
  const located = report.findings.map(finding => {
    return {...finding, line: findLine(document, finding.path)};
  });
  for (const {path, line, usedLine} of document.replacedKeys) {
    const cause =
      usedLine === undefined
        ? 'this name cannot be sent'
        : `replaced by the same key in line ${usedLine}`;
    const message = `${path.join('.')}: has no effect; ${cause}`;
    located.push({kind: 'replacedKey', path, message, line});
  }
  const rank = (finding: Finding): number => (isError(finding) ? 0 : 1);
  located.sort((a, b) => rank(a) - rank(b) || a.line - b.line);
  return {...report, findings: located};
}

const ENTRY_PATH_LENGTH = 3;

/** Returns 0 for an entry that only the version in force has. */
function findLine(document: JsonDocument, path: JsonPath): number {
  const entry = path.slice(0, ENTRY_PATH_LENGTH);
  const isEntry = entry[0] === 'defaults' && path.length >= ENTRY_PATH_LENGTH;
  if (isEntry && !document.has(entry)) return 0;
  return document.lineOf(path);
}

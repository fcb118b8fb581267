/** Formats the report of a configuration check, whatever is checked. */
import type {JsonPath} from './json-document.js';
import {formatDifference, type Difference} from './value-diff.js';

/** What a finding is about, as the name of the group in the output. */
export type FindingGroup = 'error' | 'unmatched' | 'contradiction' | 'change';

/** A check that was left out, with the reason. */
export interface SkippedCheck {
  readonly check: string;
  readonly reason: string;
}

/** An entry that differs from the version in force. */
export interface EntryChange {
  readonly path: JsonPath;
  readonly kind: 'added' | 'removed' | 'changed';
  /** The values that differ; none for an added or removed entry. */
  readonly differences: readonly Difference[];
  /** What the change refuses or stops, alone or with other changes. */
  readonly effects: readonly string[];
}

/** A finding as it is shown. */
export interface ReportedFinding {
  readonly group: FindingGroup;
  readonly kind: string;
  readonly path: JsonPath;
  /** Line of the value or of what contains it; 0 for a removed entry. */
  readonly line: number;
  readonly message: string;
}

/** The result of a check, as it is shown. */
export interface ReportContent {
  /** Name of the input. */
  readonly file: string;
  /** What it was compared with; undefined for nothing. */
  readonly against: string | undefined;
  /** Whether it was compared; what is refused may not be comparable. */
  readonly isCompared: boolean;
  readonly findings: readonly ReportedFinding[];
  readonly changes: readonly EntryChange[];
  readonly skipped: readonly SkippedCheck[];
}

/**
 * Formats a report as a JSON value.
 *
 * @example
 * console.log(JSON.stringify(toReportJson(report)));
 */
export function toReportJson(report: ReportContent): object {
  const {file, against, findings, changes, skipped} = report;
  return {
    file,
    against: against ?? null,
    errors: countErrors(findings),
    findings: findings.map(({group, kind, path, line, message}) => ({
      group,
      kind,
      path: path.join('.'),
      line: line === 0 ? null : line,
      message,
    })),
    changes: changes.map(({path, ...change}) => ({
      path: path.join('.'),
      ...change,
    })),
    skipped,
  };
}

/**
 * Formats a report as lines.
 *
 * @example
 * for (const line of formatReport(report)) console.log(line);
 */
export function* formatReport({
  file,
  against,
  isCompared,
  findings,
  changes,
  skipped,
}: ReportContent): Generator<string> {
  const errors = countErrors(findings);
  for (const {group, kind, line, message} of findings) {
    const place = line === 0 ? file : `${file}:${line}`;
    yield toPrintable(`${place}: ${group} ${kind}: ${message}`);
  }
  if (against !== undefined && isCompared) {
    yield `against ${against}: entries that differ: ${changes.length}`;
    for (const change of changes) {
      for (const line of formatChange(change)) yield toPrintable(line);
    }
  }
  for (const {check, reason} of skipped) {
    yield `not checked: ${check} (${reason})`;
  }
  yield `findings: ${findings.length}, of them errors: ${errors}`;
}

/**
 * Replaces control characters, as the keys of a wrong file may hold line breaks
 * and terminal sequences.
 *
 * @example
 * toPrintable('a\nb'); // 'a?b'
 */
export function toPrintable(line: string): string {
  return line.replace(/\p{Cc}/gu, '?');
}

function countErrors(findings: readonly ReportedFinding[]): number {
  return findings.filter(({group}) => group === 'error').length;
}

const SIGN_OF_CHANGE = {added: '+', removed: '-', changed: '~'} as const;

function* formatChange({
  path,
  kind,
  differences,
  effects,
}: EntryChange): Generator<string> {
  yield `${SIGN_OF_CHANGE[kind]} ${path.join('.')}`;
  for (const difference of differences) {
    yield `    ${formatDifference(difference)}`;
  }
  for (const effect of effects) yield `    effect: ${effect}`;
}

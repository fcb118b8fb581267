/** What the log says of the load of a new owner's state. */
import type {TopicLoadReport} from './topic-load.js';

/** Sums over all topics, and the topics whose last call has failed. */
export interface LoadDescription {
  readonly tookMs: number;
  readonly pages: number;
  readonly records: number;
  readonly bytes: number;
  readonly failures: number;
  /** The longest of all topics, which are read at the same time, in ms. */
  readonly waitMs: number;
  readonly receiveMs: number;
  readonly applyMs: number;
  readonly failed: readonly TopicLoadReport[];
}

/**
 * Sums up the loads of all topics. A long `receiveMs` shows a narrow link, a
 * long `applyMs` a slow processor, a long `waitMs` a slow store.
 *
 * @example
 * log('ownerActive', describeLoad(feed.loadReports, tookMs));
 */
export function describeLoad(
  reports: readonly TopicLoadReport[],
  tookMs: number,
): LoadDescription {
  const sum = (key: 'pages' | 'records' | 'bytes' | 'failures'): number =>
    reports.reduce((total, report) => total + report[key], 0);
  const longest = (key: 'waitMs' | 'receiveMs' | 'applyMs'): number =>
    Math.max(0, ...reports.map(report => report[key]));
  return {
    tookMs: Math.round(tookMs),
    pages: sum('pages'),
    records: sum('records'),
    bytes: sum('bytes'),
    failures: sum('failures'),
    waitMs: longest('waitMs'),
    receiveMs: longest('receiveMs'),
    applyMs: longest('applyMs'),
    failed: reports.filter(({err}) => err !== ''),
  };
}

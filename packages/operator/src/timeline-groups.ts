/** Groups the event kinds to limit the number of colours and shapes. */
import {EVENT_KINDS, type EventKind} from '@dragonflyward/common';

/** The shape of the marks of a group. */
export type MarkShape =
  'circle' | 'square' | 'diamond' | 'up' | 'down' | 'bar' | 'cross' | 'ring';

/** A group of event kinds that share a colour and a shape. */
export interface KindGroup {
  readonly id: string;
  readonly label: string;
  readonly colour: string;
  readonly shape: MarkShape;
  readonly prefixes: readonly string[];
}

/** All groups, in the order of their rows in a lane. */
export const KIND_GROUPS: readonly KindGroup[] = [
  {
    id: 'process',
    label: 'process start and stop',
    colour: '#111827',
    shape: 'bar',
    prefixes: ['process'],
  },
  {
    id: 'owner',
    label: 'shard ownership',
    colour: '#7c3aed',
    shape: 'diamond',
    prefixes: ['owner', 'successors', 'snapshot'],
  },
  {
    id: 'link',
    label: 'peers and log service',
    colour: '#b45309',
    shape: 'up',
    prefixes: ['peer', 'log', 'record'],
  },
  {
    id: 'config',
    label: 'configuration, closed domains, keys, allowances',
    colour: '#0369a1',
    shape: 'square',
    prefixes: ['config', 'domain', 'key', 'allowance'],
  },
  {
    id: 'job',
    label: 'jobs',
    colour: '#15803d',
    shape: 'circle',
    prefixes: ['job'],
  },
  {
    id: 'task',
    label: 'tasks',
    colour: '#0d9488',
    shape: 'ring',
    prefixes: ['task'],
  },
  {
    id: 'target',
    label: 'workers and executors',
    colour: '#be185d',
    shape: 'down',
    prefixes: ['worker', 'executor'],
  },
  {
    id: 'trouble',
    label: 'losses, refusals, unknown outcomes',
    colour: '#dc2626',
    shape: 'cross',
    prefixes: [
      'request',
      'taskLost',
      'jobRefused',
      'jobSetAside',
      'workerLost',
      'workerSetAside',
      'executorLost',
    ],
  },
];

/** Finds the last matching group, as later groups are more specific. */
function findGroup(kind: EventKind): number {
  return KIND_GROUPS.findLastIndex(group =>
    group.prefixes.some(prefix => kind.startsWith(prefix)),
  );
}

const GROUP_OF_KIND = new Map(
  EVENT_KINDS.map(kind => [kind, Math.max(0, findGroup(kind))]),
);

/**
 * Returns the index of the group of an event kind.
 *
 * @example
 * const group = KIND_GROUPS[groupIndexOf('taskStarted')];
 */
export function groupIndexOf(kind: EventKind): number {
  return GROUP_OF_KIND.get(kind) ?? 0;
}

/** Compares a configuration with the version in force, by entry. */
import {isDeepStrictEqual} from 'node:util';
import {
  diffValues,
  type EntryChange,
  type JsonPath,
} from '@dragonflyward/common';
import type {Configuration, Exception} from '@dragonflyward/state';
import {closuresOf} from '../domain-edit.js';
import {effectiveTeams} from './effective.js';
import type {Effect} from './effects.js';

/** What an entry applies to, for example "queue quotes". */
type Subject = string;

/** An entry of one version or of both. */
interface EntryPair {
  readonly path: JsonPath;
  readonly before: unknown;
  readonly after: unknown;
  /** None for an entry that nothing belongs to. */
  readonly subjects: readonly Subject[];
}

const SECTIONS = {
  queues: 'queue',
  organisations: 'organisation',
  teams: 'team',
} as const;

/** How many teams a summary names. */
const MAX_NAMES = 5;

/**
 * Lists the entries that differ, each with the effects that it is a cause of.
 *
 * @example
 * const effects = [...findEffects(inForce, draft)];
 * for (const change of findChanges(inForce, draft, effects)) print(change);
 */
export function* findChanges(
  before: Configuration,
  after: Configuration,
  effects: readonly Effect[],
): Generator<EntryChange> {
  const refusals = new Map<Subject, string[]>();
  for (const {kind, subject, message} of effects) {
    if (kind !== 'refusesWork') continue;
    refusals.set(subject, [...(refusals.get(subject) ?? []), message]);
  }
  const loweredShares = describeLoweredShares(effects);
  for (const pair of pairEntries(before, after)) {
    if (isDeepStrictEqual(pair.before, pair.after)) continue;
    const refused = [...new Set(pair.subjects)].flatMap(
      subject => refusals.get(subject) ?? [],
    );
    const stopped = changesShares(pair) ? loweredShares : [];
    const kind =
      pair.before === undefined
        ? 'added'
        : pair.after === undefined
          ? 'removed'
          : 'changed';
    const isChanged = kind === 'changed';
    yield {
      path: pair.path,
      kind,
      differences: isChanged ? [...diffValues(pair.before, pair.after)] : [],
      effects: [...refused, ...stopped],
    };
  }
}

function* pairEntries(
  before: Configuration,
  after: Configuration,
): Generator<EntryPair> {
  const used = new Set([...organisationsOf(before), ...organisationsOf(after)]);
  for (const section of ['queues', 'organisations', 'teams'] as const) {
    const old = new Map(Object.entries<object>(before.defaults[section]));
    const now = new Map(Object.entries<object>(after.defaults[section]));
    for (const name of sortedKeys(old, now)) {
      const path = ['defaults', section, name];
      const isUnused = section === 'organisations' && !used.has(name);
      const subjects = isUnused ? [] : [`${SECTIONS[section]} ${name}`];
      yield {path, before: old.get(name), after: now.get(name), subjects};
    }
  }
  const old = new Map(before.exceptions.map(entry => [entry.id, entry]));
  const now = new Map(after.exceptions.map(entry => [entry.id, entry]));
  for (const id of sortedKeys(old, now)) {
    const pair = {before: old.get(id), after: now.get(id)};
    const subjects = Object.values(pair).flatMap(subjectOf);
    yield {path: ['exceptions', id], ...pair, subjects};
  }
  // The last exception in the list decides, so their order has effects.
  const common = [...old.values()].filter(({id}) => now.has(id));
  yield {
    path: ['exceptions'],
    before: {order: common.map(({id}) => id)},
    after: {order: [...now.keys()].filter(id => old.has(id))},
    subjects: common.flatMap(subjectOf),
  };
  yield* pairClosures(before, after);
}

function* pairClosures(
  before: Configuration,
  after: Configuration,
): Generator<EntryPair> {
  const [old, now] = [closuresOf(before), closuresOf(after)];
  for (const domain of sortedKeys(old, now)) {
    const pair = {before: old.get(domain), after: now.get(domain)};
    yield {path: ['closedDomains', domain], ...pair, subjects: []};
  }
}

function organisationsOf(cfg: Configuration): readonly string[] {
  return [...effectiveTeams(cfg).values()].map(team => team.organisation);
}

function sortedKeys(
  before: ReadonlyMap<string, unknown>,
  after: ReadonlyMap<string, unknown>,
): readonly string[] {
  return [...new Set([...before.keys(), ...after.keys()])].sort();
}

function subjectOf(exception: Exception | undefined): readonly Subject[] {
  if (exception === undefined) return [];
  const {queue, team} = exception.scope;
  return [queue === undefined ? `team ${team}` : `queue ${queue}`];
}

/**
 * Summarises the lowered shares in one line, as any change of a share may
 * lower those of many teams.
 */
function describeLoweredShares(effects: readonly Effect[]): readonly string[] {
  const lowered = effects.filter(({kind}) => kind === 'stopsWork');
  if (lowered.length === 0) return [];
  const names = lowered.slice(0, MAX_NAMES).map(({subject}) => subject);
  const more = lowered.length > MAX_NAMES ? ', …' : '';
  const list = `${lowered.length} (${names.join(', ')}${more})`;
  return [`changes a share; teams whose shares fall: ${list}`];
}

function changesShares({subjects, before, after}: EntryPair): boolean {
  if (subjects.length === 0) return false;
  return !isDeepStrictEqual(shareOf(before), shareOf(after));
}

interface ShareFields {
  readonly share?: unknown;
  readonly organisation?: unknown;
  readonly order?: unknown;
  /** The values of an exception. */
  readonly set?: ShareFields;
}

function shareOf(entry: unknown): readonly unknown[] {
  const {set, ...fields} = (entry ?? {}) as ShareFields;
  const {share, organisation, order} = set ?? fields;
  return [share, organisation, order];
}

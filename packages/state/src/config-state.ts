/** State of the configuration stream: configuration and keys in force. */
import {createHash} from 'node:crypto';
import type {ApplyResult, LogRecord} from '@dragonflyward/log';
import {validateConfiguration} from './config-schema.js';
import type {
  Configuration,
  Exception,
  KeyEntry,
  OrganisationConfig,
  QueueConfig,
  TeamConfig,
} from './config-types.js';
import {CONFIG_RECORDS} from './record-schema.js';
import type {
  ConfigRecord,
  ConfigStreamRecord,
  KeyGrantedRecord,
} from './records.js';
import {SnapshottedState, type ChangeOf} from './snapshotted-state.js';

/** The revision of a cell without any published configuration. */
export const NO_REVISION = -1;
const MAX_PUBLICATIONS = 200;
const KEY_SEPARATOR = '.';

const EMPTY_CONFIGURATION: Configuration = {
  defaults: {queues: {}, organisations: {}, teams: {}},
  exceptions: [],
};

/** Result of a publication. */
export type PublicationVerdict =
  'inForce' | 'superseded' | 'lostRace' | 'invalid';

/** One publication of a configuration, with its result. */
export interface Publication {
  readonly revision: number;
  readonly base: number;
  readonly author: string;
  readonly reason: string;
  readonly timeMs: number;
  readonly verdict: PublicationVerdict;
  /** The revision that replaced it or won the race against it; -1 for none. */
  readonly by: number;
}

/** A key and whether it is still valid. */
export interface KeyStatus extends KeyEntry {
  readonly isWithdrawn: boolean;
  readonly author: string;
  /** Offset of the record that set this status. */
  readonly offset: number;
}

interface HeadEntry {
  readonly revision: number;
  readonly recordId: string;
  readonly configuration: Configuration;
}

interface SnapshotEntry {
  readonly head?: HeadEntry;
  readonly publication?: Publication;
  readonly key?: KeyStatus;
}

/**
 * Returns the digest that is stored in place of a key's secret.
 *
 * @example
 * const digest = keyDigest(secret);
 */
export function keyDigest(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}

/** Configuration and keys, computed from the configuration stream. */
export class ConfigState extends SnapshottedState<ConfigStreamRecord> {
  /** Offset of the configuration record in force. */
  revision = NO_REVISION;
  configuration: Configuration = EMPTY_CONFIGURATION;
  private queuesByName: ReadonlyMap<string, QueueConfig> = new Map();
  private teamsByName: ReadonlyMap<string, TeamConfig> = new Map();
  private recordId = '';
  private publications: readonly Publication[] = [];
  private readonly keysById = new Map<string, KeyStatus>();

  constructor() {
    super(CONFIG_RECORDS);
  }

  /**
   * Returns a queue with the exceptions applied.
   *
   * @example
   * const queue = config.queue('quotes');
   */
  queue(name: string): QueueConfig | undefined {
    return this.queuesByName.get(name);
  }

  /** Returns a team with the exceptions applied. */
  team(name: string): TeamConfig | undefined {
    return this.teamsByName.get(name);
  }

  /** Returns an organisation. */
  organisation(name: string): OrganisationConfig | undefined {
    const {organisations} = this.configuration.defaults;
    return Object.hasOwn(organisations, name) ? organisations[name] : undefined;
  }

  /** Returns all queues with the exceptions applied. */
  queues(): ReadonlyMap<string, QueueConfig> {
    return this.queuesByName;
  }

  /** Returns all teams with the exceptions applied. */
  teams(): ReadonlyMap<string, TeamConfig> {
    return this.teamsByName;
  }

  /**
   * Returns the team of a key of the form `keyId.secret`, if the key is valid.
   *
   * @example
   * const team = config.teamOfKey(bearer);
   * if (team === undefined) raise('keyUnknown', keyId);
   */
  teamOfKey(key: string): string | undefined {
    const separatorIndex = key.indexOf(KEY_SEPARATOR);
    if (separatorIndex < 0) return undefined;
    const entry = this.keysById.get(key.slice(0, separatorIndex));
    if (entry === undefined || entry.isWithdrawn) return undefined;
    const isSecretCorrect =
      entry.digest === keyDigest(key.slice(separatorIndex + 1));
    return isSecretCorrect ? entry.team : undefined;
  }

  /**
   * Whether no task may start on the workers of a failure domain.
   *
   * @example
   * if (config.isDomainClosed(shard)) return;
   */
  isDomainClosed(name: string): boolean {
    const {closedDomains = []} = this.configuration;
    return closedDomains.some(({domain}) => domain === name);
  }

  /** Returns the newest publications, oldest first. */
  history(): readonly Publication[] {
    return this.publications;
  }

  /** Returns all keys, including withdrawn ones. */
  keys(): readonly KeyStatus[] {
    return [...this.keysById.values()];
  }

  protected override applyChange(
    change: ChangeOf<ConfigStreamRecord>,
    record: LogRecord,
  ): ApplyResult {
    if (change.type === 'config') return this.applyConfig(change, record);
    if (change.type === 'keyGranted') {
      return this.applyKeyGranted(change, record.offset);
    }
    return this.applyKeyWithdrawn(change.keyId, change.author, record.offset);
  }

  /** Whether the publication is based on the revision in force. */
  protected isCurrent(change: ConfigRecord): boolean {
    return change.base === this.revision;
  }

  protected override *entries(): Generator<SnapshotEntry> {
    const {revision, recordId, configuration} = this;
    yield {head: {revision, recordId, configuration}};
    for (const publication of this.publications) yield {publication};
    for (const key of this.keysById.values()) yield {key};
  }

  protected override restore(entries: readonly unknown[]): void {
    const snapshotEntries = entries as readonly SnapshotEntry[];
    this.keysById.clear();
    this.publications = snapshotEntries.flatMap(
      ({publication}) => publication ?? [],
    );
    for (const {head, key} of snapshotEntries) {
      if (head !== undefined) this.setConfiguration(head);
      if (key !== undefined) this.keysById.set(key.keyId, key);
    }
  }

  private setConfiguration({
    revision,
    recordId,
    configuration,
  }: HeadEntry): void {
    this.revision = revision;
    this.recordId = recordId;
    this.configuration = configuration;
    const {defaults, exceptions} = configuration;
    this.queuesByName = applyExceptions(defaults.queues, 'queue', exceptions);
    this.teamsByName = applyExceptions(defaults.teams, 'team', exceptions);
  }

  private applyConfig(change: ConfigRecord, record: LogRecord): ApplyResult {
    if (record.id === this.recordId) return 'void';
    if (validateConfiguration(change.configuration).isErr()) {
      this.addPublication(change, record, 'invalid', NO_REVISION);
      return 'skipped';
    }
    if (!this.isCurrent(change)) {
      this.addPublication(change, record, 'lostRace', this.revision);
      return 'void';
    }
    const {offset, id} = record;
    const {configuration} = change;
    this.markSuperseded(offset);
    this.addPublication(change, record, 'inForce', NO_REVISION);
    this.setConfiguration({revision: offset, recordId: id, configuration});
    return 'applied';
  }

  private markSuperseded(by: number): void {
    this.publications = this.publications.map(publication =>
      publication.revision === this.revision
        ? {...publication, verdict: 'superseded', by}
        : publication,
    );
  }

  private addPublication(
    change: ConfigRecord,
    record: LogRecord,
    verdict: PublicationVerdict,
    by: number,
  ): void {
    const {base, author, reason} = change;
    const {offset: revision, timeMs} = record;
    const added = {revision, base, author, reason, timeMs, verdict, by};
    this.publications = [...this.publications, added].slice(-MAX_PUBLICATIONS);
  }

  private applyKeyGranted(
    change: KeyGrantedRecord,
    offset: number,
  ): ApplyResult {
    const {key, author} = change;
    if (this.keysById.has(key.keyId)) return 'void';
    this.keysById.set(key.keyId, {...key, isWithdrawn: false, author, offset});
    return 'applied';
  }

  /**
   * Keeps the withdrawn key, so that a later grant cannot make it valid again.
   */
  protected applyKeyWithdrawn(
    keyId: string,
    author: string,
    offset: number,
  ): ApplyResult {
    const key = this.keysById.get(keyId) ?? {keyId, team: '', digest: ''};
    if ('isWithdrawn' in key && key.isWithdrawn) return 'void';
    this.keysById.set(keyId, {...key, isWithdrawn: true, author, offset});
    return 'applied';
  }
}

/**
 * Applies the exceptions to the values in the order of the list.
 *
 * @example
 * applyExceptions(defaults.teams, 'team', exceptions).get('roofs');
 */
export function applyExceptions<T extends object>(
  defaults: Readonly<Record<string, T>>,
  kind: 'queue' | 'team',
  exceptions: readonly Exception[],
): ReadonlyMap<string, T> {
  const values = new Map(Object.entries(defaults));
  for (const {scope, set} of exceptions) {
    const name = scope[kind];
    const value = name === undefined ? undefined : values.get(name);
    if (name === undefined || value === undefined) continue;
    values.set(name, {...value, ...set});
  }
  return values;
}

/** Finds what a change refuses or stops of the work that is accepted now. */
import {RESOURCE_NAMES} from '@dragonflyward/common';
import type {
  Configuration,
  QueueConfig,
  TeamConfig,
} from '@dragonflyward/state';
import {effectiveQueues, effectiveTeams, sourceOf} from './effective.js';
import type {Finding} from './finding.js';
import {ROUNDING, teamFractions, toPercent} from './team-shares.js';

/** What a change refuses or stops. */
export interface Effect extends Finding {
  readonly kind: 'refusesWork' | 'stopsWork';
  /** The queue or team that it concerns, for example "queue quotes". */
  readonly subject: string;
}

/** A refusal, and the field whose value causes it; empty for a removal. */
interface Refusal {
  readonly field: string;
  readonly message: string;
}

/**
 * Finds the effects of a change, with the exceptions of both versions applied.
 *
 * @example
 * const findings = [...findEffects(inForce, draft)];
 */
export function* findEffects(
  before: Configuration,
  after: Configuration,
): Generator<Effect> {
  const queues = effectiveQueues(after);
  for (const [name, queue] of effectiveQueues(before)) {
    for (const refusal of findQueueRefusals(queue, queues.get(name))) {
      yield toEffect(after, 'queue', name, refusal);
    }
  }
  const teams = effectiveTeams(after);
  for (const [name, team] of effectiveTeams(before)) {
    for (const refusal of findTeamRefusals(team, teams.get(name))) {
      yield toEffect(after, 'team', name, refusal);
    }
  }
  yield* findLoweredFractions(before, after);
}

function toEffect(
  after: Configuration,
  kind: 'queue' | 'team',
  name: string,
  {field, message}: Refusal,
): Effect {
  return {
    kind: 'refusesWork',
    path: sourceOf(after, kind, name, field),
    message: `${kind} "${name}": ${message}`,
    subject: `${kind} ${name}`,
  };
}

function* findQueueRefusals(
  before: QueueConfig,
  after: QueueConfig | undefined,
): Generator<Refusal> {
  if (after === undefined) {
    yield {field: '', message: 'removed; its requests and jobs are refused'};
    return;
  }
  if (before.isOpen && !after.isOpen) {
    yield {field: 'isOpen', message: 'refuses callers without a key'};
  }
  if (after.maxWaiting < before.maxWaiting) {
    const message = `refuses work over ${after.maxWaiting} waiting, before ${before.maxWaiting}`;
    yield {field: 'maxWaiting', message};
  }
  // What follows applies to requests only.
  if (before.service === '') return;
  if (after.service === '') {
    const message = 'refuses requests, as it has no service any more';
    yield {field: 'service', message};
    return;
  }
  if (after.maxBodyBytes < before.maxBodyBytes) {
    const message = `refuses bodies over ${after.maxBodyBytes} bytes, before ${before.maxBodyBytes}`;
    yield {field: 'maxBodyBytes', message};
  }
  if (after.maxDeadlineMs < before.maxDeadlineMs) {
    const message = `gives up on requests after ${after.maxDeadlineMs} ms, before ${before.maxDeadlineMs}`;
    yield {field: 'maxDeadlineMs', message};
  }
}

function* findTeamRefusals(
  before: TeamConfig,
  after: TeamConfig | undefined,
): Generator<Refusal> {
  if (after === undefined) {
    yield {field: '', message: 'removed; nothing of it is started any more'};
    return;
  }
  for (const resource of RESOURCE_NAMES) {
    const [old, now] = [before.limit[resource], after.limit[resource]];
    if (now >= old) continue;
    const message = `starts nothing over ${now} ${resource}, before ${old}; what runs goes on`;
    yield {field: 'limit', message};
  }
}

/** A team above its share may lose tasks to teams below theirs. */
function* findLoweredFractions(
  before: Configuration,
  after: Configuration,
): Generator<Effect> {
  const now = teamFractions(after);
  for (const [name, old] of teamFractions(before)) {
    const fraction = now.get(name);
    if (fraction === undefined || fraction + ROUNDING >= old) continue;
    const path = sourceOf(after, 'team', name, 'share');
    const subject = `team ${name}`;
    const message = `team "${name}": its share of a full fleet falls from ${toPercent(old)} to ${toPercent(fraction)}; tasks above it may be stopped`;
    yield {kind: 'stopsWork', path, message, subject};
  }
}

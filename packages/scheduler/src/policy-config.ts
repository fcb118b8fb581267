/** Converts the configuration in force to the input of the policy. */
import {NO_RESOURCES, type Resources} from '@dragonflyward/common';
import type {PolicyQueue, PolicyTeam} from '@dragonflyward/policy';
import type {Allowance, ConfigState} from '@dragonflyward/state';

const DEFAULT_ORGANISATION_SHARE = 1;

/**
 * Lists the queues in the form that the policy takes.
 *
 * @example
 * engine.setQueues([...policyQueues(config)]);
 */
export function* policyQueues(config: ConfigState): Generator<PolicyQueue> {
  for (const [queue, {priority, policy}] of config.queues()) {
    yield {queue, priority, policy};
  }
}

/**
 * Lists the teams with their allowances in a shard.
 *
 * @example
 * owner.setTeams([...policyTeams(config, allowances.amountsOf(shard))]);
 */
export function* policyTeams(
  config: ConfigState,
  amounts: readonly Allowance[],
): Generator<PolicyTeam> {
  const byTeam = new Map<string, Resources>();
  for (const {team, amount} of amounts) byTeam.set(team, amount);
  for (const [team, {organisation, share}] of config.teams()) {
    const organisations = config.configuration.defaults.organisations;
    const organisationShare =
      organisations[organisation]?.share ?? DEFAULT_ORGANISATION_SHARE;
    const allowance = byTeam.get(team) ?? NO_RESOURCES;
    yield {team, organisation, share, organisationShare, allowance};
  }
}

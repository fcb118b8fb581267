/** Edits the configuration in force and publishes the result. */
import {raise} from '@dragonflyward/common';
import {validateConfiguration, type Configuration} from '@dragonflyward/state';
import {
  publish,
  type ChangeOptions,
  type PublishResult,
} from './apply-change.js';
import {reportPublish} from './config-commands.js';
import type {CtlContext} from './ctl-context.js';
import {EXIT, type ExitCode} from './exit-codes.js';

/** A publication that lost a race had no effect, so a retry is safe. */
const MAX_ATTEMPTS = 5;

/**
 * Returns an edited copy of a configuration, or the configuration itself if
 * there is nothing to change.
 */
export type ConfigurationEdit = (configuration: Configuration) => Configuration;

/** How an edit ended. */
export type EditOutcome =
  | {readonly kind: 'published'; readonly result: PublishResult}
  | {readonly kind: 'unchanged'; readonly revision: number};

/**
 * Edits and publishes the configuration in force. If another change is
 * accepted first, applies the edit again on top of it.
 *
 * @throws what the edit throws, configInvalid, logDown, appendUnknown
 * @example
 * const outcome = await editAndPublish(context, edit, 'storm damage');
 */
export async function editAndPublish(
  context: CtlContext,
  edit: ConfigurationEdit,
  reason: string,
): Promise<EditOutcome> {
  for (let attempt = 1; ; attempt += 1) {
    const {configLog} = context;
    const {revision, configuration} = await configLog.read();
    const edited = edit(configuration);
    if (edited === configuration) return {kind: 'unchanged', revision};
    const validated = validateConfiguration(edited);
    if (validated.isErr()) raise('configInvalid', validated.error.detail);
    const draft = {base: revision, reason, configuration: edited};
    const result = await publish(context, draft, configLog);
    const isRaceLost = result.verdict.result !== 'applied';
    if (isRaceLost && attempt < MAX_ATTEMPTS) continue;
    return {kind: 'published', result};
  }
}

/** What a report says besides where the change is in force. */
export interface EditNotes {
  /** Why there was nothing to change. */
  readonly unchanged: string;
  readonly warnings: readonly string[];
}

/**
 * Reports an edit: where it is in force, or that nothing changed.
 *
 * @example
 * return reportEdit(context, outcome, options, {unchanged, warnings: []});
 */
export async function reportEdit(
  context: CtlContext,
  outcome: EditOutcome,
  options: ChangeOptions,
  {unchanged, warnings}: EditNotes,
): Promise<ExitCode> {
  if (outcome.kind === 'published') {
    return reportPublish(context, outcome.result, options, warnings);
  }
  const {revision} = outcome;
  const value = {accepted: false, isUnchanged: true, revision, warnings};
  context.output.print(value, [
    ...warnings.map(warning => `warning: ${warning}`),
    `${unchanged}; nothing changed (revision ${revision})`,
  ]);
  return EXIT.ok;
}

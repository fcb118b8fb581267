/** The command `config check`. */
import {
  DragonflywardError,
  formatReport,
  raise,
  readDocument,
  readDocumentFile,
  STDIN_NAME,
  toPrintable,
  toReportJson,
  type InputLimits,
  type ReportContent,
} from '@dragonflyward/common';
import {validateConfiguration, type Configuration} from '@dragonflyward/state';
import {InvalidArgumentError, Option, type Command} from 'commander';
import {
  checkDocument,
  decodeInventory,
  GROUP_OF_KIND,
  isError,
  type CheckReport,
  type Inventory,
  type LocatedFinding,
} from './config-check/index.js';
import {makeAction, type CtlContext, type ProgramIo} from './ctl-context.js';
import {CHECK_EXIT, type ExitCode} from './exit-codes.js';

/** Far above the largest configurations; a wrong file is refused early. */
const DEFAULT_MAX_BYTES = 1024 * 1024;
const DEFAULT_TIMEOUT_MS = 10_000;
/** The longest delay of a Node.js timer; a longer one would fire at once. */
const MAX_TIMEOUT_MS = 2 ** 31 - 1;

interface CheckOptions {
  readonly inventory?: string;
  readonly against?: string;
  readonly offline?: boolean;
  readonly maxBytes: number;
  readonly timeoutMs: number;
}

/** The configuration that a draft is compared with. */
interface Reference {
  /** Where it comes from, for the output. */
  readonly name: string;
  readonly configuration: Configuration;
}

async function check(
  context: CtlContext,
  options: CheckOptions,
  file = STDIN_NAME,
): Promise<ExitCode> {
  const {maxBytes, timeoutMs} = options;
  const abort = new AbortController();
  const timer = setTimeout(() => {
    abort.abort();
  }, timeoutMs);
  try {
    const limits = {maxBytes, timeoutMs, signal: abort.signal};
    return await runCheck(context, options, file, limits);
  } catch (err) {
    return context.output.printError(err, CHECK_EXIT.notChecked);
  } finally {
    clearTimeout(timer);
  }
}

async function runCheck(
  context: CtlContext,
  options: CheckOptions,
  file: string,
  limits: InputLimits,
): Promise<ExitCode> {
  const isStdin = file === STDIN_NAME;
  const name = isStdin ? '(standard input)' : file;
  const document = isStdin
    ? await readDocument(context.io.stdin ?? process.stdin, name, limits)
    : await readDocumentFile(file, limits);
  const inventory = await readInventory(options.inventory, limits);
  const reference = await readReference(context, options, limits);
  const against = reference?.configuration;
  const report = checkDocument(document, {against, inventory});
  const content = toContent(name, report, reference);
  context.output.print(toReportJson(content), formatReport(content));
  const isClean = report.findings.length === 0;
  return isClean ? CHECK_EXIT.clean : CHECK_EXIT.findings;
}

async function readInventory(
  file: string | undefined,
  limits: InputLimits,
): Promise<Inventory | undefined> {
  if (file === undefined) return undefined;
  const {value} = await readDocumentFile(file, limits);
  const decoded = decodeInventory(value);
  if (decoded.isOk()) return decoded.value;
  return raise('configInvalid', `${file}: ${decoded.error.detail}`);
}

async function readReference(
  context: CtlContext,
  {against, offline}: CheckOptions,
  limits: InputLimits,
): Promise<Reference | undefined> {
  if (offline === true) return undefined;
  if (against === undefined) return readInForce(context, limits);
  const {value} = await readDocumentFile(against, limits);
  const validated = validateConfiguration(value);
  if (validated.isOk()) return {name: against, configuration: validated.value};
  const detail = toPrintable(validated.error.detail);
  return raise('configInvalid', `${against}: ${detail}`);
}

async function readInForce(
  {clock, configLog}: CtlContext,
  {timeoutMs, signal}: InputLimits,
): Promise<Reference> {
  const detail = `no response within ${timeoutMs} ms`;
  const timeout = new Promise<never>((_, reject) => {
    const onAbort = (): void => {
      reject(new DragonflywardError('logDown', detail));
    };
    if (signal.aborted) onAbort();
    else signal.addEventListener('abort', onAbort, {once: true});
  });
  const read = configLog.read(clock.monotonicMs() + timeoutMs);
  const {revision, configuration} = await Promise.race([read, timeout]);
  return {name: `revision ${revision}`, configuration};
}

function toContent(
  file: string,
  {findings, changes, skipped}: CheckReport<LocatedFinding>,
  reference: Reference | undefined,
): ReportContent {
  const grouped = findings.map(finding => {
    return {...finding, group: GROUP_OF_KIND[finding.kind]};
  });
  const against = reference?.name;
  const isCompared = !findings.some(isError);
  return {file, against, isCompared, findings: grouped, changes, skipped};
}

function parseLimit(text: string): number {
  const value = Number(text);
  if (Number.isInteger(value) && value > 0 && value <= MAX_TIMEOUT_MS) {
    return value;
  }
  throw new InvalidArgumentError(`not from 1 to ${MAX_TIMEOUT_MS}`);
}

/**
 * Adds the command `check` to the command `config`.
 *
 * @example
 * addCheckCommand(config, PROCESS_IO);
 */
export function addCheckCommand(config: Command, io: ProgramIo): void {
  const against = new Option(
    '--against <file>',
    'compare with a file, not with the version in force',
  );
  const offline = new Option('--offline', 'compare with nothing');
  config
    .command('check [file]')
    .description('check a file ("-": standard input) without sending it')
    .option('--inventory <file>', 'the VMs, as the VM list answers')
    .addOption(against)
    .addOption(offline.conflicts('against'))
    .option(
      '--max-bytes <n>',
      'the largest input',
      parseLimit,
      DEFAULT_MAX_BYTES,
    )
    .option(
      '--timeout-ms <n>',
      'time for reading all inputs',
      parseLimit,
      DEFAULT_TIMEOUT_MS,
    )
    .addHelpText('after', CHECK_NOTES)
    .action(makeAction(io, check));
}

const CHECK_NOTES = `
Exit codes: 0 no findings, 1 findings, 2 not checked (wrong usage, unusable
input, no response). Differences alone are not findings.

Examples:
  dragonflyward-ctl --settings ctl.jsonc config check fleet.jsonc
  dragonflyward-ctl config check - --against live.jsonc --json < fleet.jsonc`;

/** What the commands share: settings, clients and the form of output. */
import {
  loadProgramSettings,
  raise,
  SystemClock,
  type Clock,
} from '@dragonflyward/common';
import {HttpLogClient, type LogClient} from '@dragonflyward/log';
import {HttpVmListClient, type VmListClient} from '@dragonflyward/vms';
import {Command, CommanderError} from 'commander';
import {ConfigLog} from './config-log.js';
import {CTL_SETTINGS_SCHEMA, type CtlSettings} from './ctl-settings.js';
import {EXIT, type ExitCode} from './exit-codes.js';
import {Fleet} from './fleet.js';
import {Output, STANDARD_SINK, type TextSink} from './output.js';

/** The environment variable that names the settings file. */
export const SETTINGS_VARIABLE = 'DRAGONFLYWARD_SETTINGS';

/** Options that all commands take. */
export interface GlobalOptions {
  readonly settings?: string;
  readonly set: readonly string[];
  readonly json?: boolean;
}

/** Where a program's input and output come from and go to. */
export interface ProgramIo {
  readonly sink: TextSink;
  readonly env: Readonly<NodeJS.ProcessEnv>;
}

/** The input and output of this process. */
export const PROCESS_IO: ProgramIo = {sink: STANDARD_SINK, env: process.env};

/** What a command works with. */
export class CtlContext {
  readonly clock: Clock = new SystemClock();
  readonly output: Output;
  private loaded: CtlSettings | undefined;

  constructor(
    private readonly options: GlobalOptions,
    readonly io: ProgramIo,
  ) {
    this.output = new Output(options.json ?? false, io.sink);
  }

  /**
   * The settings: file, then environment, then flags.
   *
   * @throws settingsInvalid
   */
  get cfg(): CtlSettings {
    const {env} = this.io;
    const file = this.options.settings ?? env[SETTINGS_VARIABLE] ?? '';
    const sources = {file, flags: this.options.set, env};
    this.loaded ??= loadProgramSettings<CtlSettings>(
      sources,
      CTL_SETTINGS_SCHEMA,
    );
    return this.loaded;
  }

  /** Who makes a change; it stands in the log beside it. */
  get author(): string {
    const author = this.cfg.author || (this.io.env['USER'] ?? '');
    return author || raise('settingsInvalid', 'key "author" is empty');
  }

  get log(): LogClient {
    return new HttpLogClient(this.cfg.logUrl);
  }

  get vms(): VmListClient {
    return new HttpVmListClient(this.cfg.vmListUrl);
  }

  get configLog(): ConfigLog {
    return new ConfigLog(this.log, this.clock);
  }

  get fleet(): Fleet {
    return new Fleet(this.vms, this.cfg.ports, this.cfg.replyTimeoutMs);
  }
}

/** Does a command's work and returns its exit code. */
export type CommandBody<O, A extends readonly string[]> = (
  context: CtlContext,
  options: O,
  ...args: A
) => Promise<ExitCode>;

/**
 * Makes the action of a command: it runs the body, then ends the program.
 *
 * @example
 * config.command('show').action(action(io, showConfig));
 */
export function action<O, A extends readonly string[]>(
  io: ProgramIo,
  body: CommandBody<O, A>,
): (...params: unknown[]) => Promise<void> {
  return async (...params) => {
    const command = params.at(-1);
    if (!(command instanceof Command)) return;
    const options: O & GlobalOptions = command.optsWithGlobals();
    const args = params.slice(0, -2) as unknown as A;
    const context = new CtlContext(options, io);
    const run = (): Promise<ExitCode> => body(context, options, ...args);
    throw new ProgramExit(await runBody(context, run));
  };
}

/** Carries a command's exit code to where the program ends. */
class ProgramExit extends Error {
  constructor(readonly exitCode: ExitCode) {
    super(`exit code ${exitCode}`);
  }
}

async function runBody(
  context: CtlContext,
  body: () => Promise<ExitCode>,
): Promise<ExitCode> {
  try {
    return await body();
  } catch (err) {
    return context.output.fail(err);
  }
}

/**
 * Adds the options that all commands take.
 *
 * @example
 * const program = withGlobalOptions(new Command('dragonflyward-ctl'));
 */
export function withGlobalOptions(program: Command): Command {
  const collect = (value: string, all: readonly string[]): string[] => [
    ...all,
    value,
  ];
  return program
    .option('--settings <file>', 'settings in JSON with comments')
    .option('--set <key=value>', 'override one setting', collect, [])
    .option('--json', 'print one JSON document')
    .showHelpAfterError('(add --help for usage)');
}

/**
 * Runs a program and returns its exit code.
 *
 * @example
 * process.exitCode = await runProgram(program, process.argv.slice(2));
 */
export async function runProgram(
  program: Command,
  args: readonly string[],
): Promise<ExitCode> {
  try {
    await program.parseAsync([...args], {from: 'user'});
    return EXIT.ok;
  } catch (err) {
    if (err instanceof ProgramExit) return err.exitCode;
    return isHelp(err) ? EXIT.ok : EXIT.usage;
  }
}

/** Commander ends with exit code 0 after it has shown help. */
function isHelp(err: unknown): boolean {
  return err instanceof CommanderError && err.exitCode === 0;
}

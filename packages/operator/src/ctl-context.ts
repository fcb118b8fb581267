/** What the commands share: settings, clients and output. */
import type {Readable} from 'node:stream';
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

/** A program's environment and output. */
export interface ProgramIo {
  readonly sink: TextSink;
  readonly env: Readonly<NodeJS.ProcessEnv>;
  /** Standard input; that of this process if absent. */
  readonly stdin?: Readable;
}

/** The environment and output of this process. */
export const PROCESS_IO: ProgramIo = {sink: STANDARD_SINK, env: process.env};

/** Settings, clients and output for one command. */
export class CtlContext {
  readonly clock: Clock = new SystemClock();
  readonly output: Output;
  private loadedSettings: CtlSettings | undefined;

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
  get settings(): CtlSettings {
    const {env} = this.io;
    const file = this.options.settings ?? env[SETTINGS_VARIABLE] ?? '';
    const sources = {file, flags: this.options.set, env};
    this.loadedSettings ??= loadProgramSettings<CtlSettings>(
      sources,
      CTL_SETTINGS_SCHEMA,
    );
    return this.loadedSettings;
  }

  /** The author that is recorded in the log with a change. */
  get author(): string {
    const author = this.settings.author || (this.io.env['USER'] ?? '');
    return author || raise('settingsInvalid', 'key "author" is empty');
  }

  get log(): LogClient {
    return new HttpLogClient(this.settings.logUrl);
  }

  get vms(): VmListClient {
    return new HttpVmListClient(this.settings.vmListUrl);
  }

  get configLog(): ConfigLog {
    return new ConfigLog(this.log, this.clock);
  }

  get fleet(): Fleet {
    return new Fleet(
      this.vms,
      this.settings.ports,
      this.settings.replyTimeoutMs,
    );
  }
}

/** Runs a command and returns its exit code. */
export type CommandHandler<O, A extends readonly unknown[]> = (
  context: CtlContext,
  options: O,
  ...args: A
) => Promise<ExitCode>;

/**
 * Wraps a handler as the action of a command, which then ends the program.
 *
 * @example
 * config.command('show').action(makeAction(io, showConfig));
 */
export function makeAction<O, A extends readonly unknown[]>(
  io: ProgramIo,
  handler: CommandHandler<O, A>,
): (...params: unknown[]) => Promise<void> {
  return async (...params) => {
    const command = params.at(-1);
    if (!(command instanceof Command)) return;
    const options: O & GlobalOptions = command.optsWithGlobals();
    const args = params.slice(0, -2) as unknown as A;
    const context = new CtlContext(options, io);
    const run = (): Promise<ExitCode> => handler(context, options, ...args);
    throw new ProgramExit(await runHandler(context, run));
  };
}

/** Carries a command's exit code to `runProgram`. */
class ProgramExit extends Error {
  constructor(readonly exitCode: ExitCode) {
    super(`exit code ${exitCode}`);
  }
}

async function runHandler(
  context: CtlContext,
  handler: () => Promise<ExitCode>,
): Promise<ExitCode> {
  try {
    return await handler();
  } catch (err) {
    return context.output.printError(err);
  }
}

/**
 * Adds the options that all commands take.
 *
 * @example
 * const program = addGlobalOptions(new Command('dragonflyward-ctl'));
 */
export function addGlobalOptions(program: Command): Command {
  const appendValue = (value: string, all: readonly string[]): string[] => [
    ...all,
    value,
  ];
  return program
    .option('--settings <file>', 'settings file, JSON with comments')
    .option('--set <key=value>', 'override one setting', appendValue, [])
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
    return isHelpExit(err) ? EXIT.ok : EXIT.usage;
  }
}

/** Commander throws an error with exit code 0 after it has shown help. */
function isHelpExit(err: unknown): boolean {
  return err instanceof CommanderError && err.exitCode === 0;
}

/** Command line and start-up code shared by the gateway and the scheduler. */
import {Command} from 'commander';
import {toFailure} from './errors.js';
import {
  PROCESS_SETTINGS_SCHEMA,
  type ProcessSettings,
} from './process-settings.js';
import {loadProgramSettings, type SettingsSources} from './settings.js';
import {onTermination} from './shutdown.js';

/** Exit code of a program whose settings are invalid. */
export const SETTINGS_EXIT_CODE = 78;
const FAILED_EXIT_CODE = 1;

/** A long-running process that shuts down on a termination signal. */
export abstract class Daemon {
  /** Starts the daemon; resolves once its ports are open. */
  abstract start(): Promise<void>;
  /** Shuts the daemon down gracefully. */
  abstract drain(): Promise<void>;
}

/** The name of a daemon, its help text and its factory. */
export interface DaemonProgram {
  readonly name: string;
  readonly description: string;
  readonly make: (cfg: ProcessSettings) => Daemon;
}

interface Flags {
  readonly settings: string;
  readonly set: readonly string[];
}

/**
 * Reads the command line and the settings, and runs the daemon.
 *
 * @example
 * await runDaemon({name, description, make: cfg => new Gateway(cfg)});
 */
export async function runDaemon(program: DaemonProgram): Promise<void> {
  const {name, description} = program;
  const collect = (value: string, all: readonly string[]): string[] => [
    ...all,
    value,
  ];
  const command = new Command(name)
    .description(description)
    .requiredOption('--settings <file>', 'settings file, JSON with comments')
    .option('--set <key=value>', 'override one setting', collect, []);
  const {settings, set} = command.parse().opts<Flags>();
  try {
    await start(program, {file: settings, flags: set, env: process.env});
  } catch (err) {
    const {kind, detail} = toFailure(err);
    process.stderr.write(`${name}: ${kind}: ${detail}\n`);
    const isBadSetting = kind === 'settingsInvalid';
    process.exit(isBadSetting ? SETTINGS_EXIT_CODE : FAILED_EXIT_CODE);
  }
}

async function start(
  {make}: DaemonProgram,
  sources: SettingsSources,
): Promise<void> {
  const cfg = loadProgramSettings<ProcessSettings>(
    sources,
    PROCESS_SETTINGS_SCHEMA,
  );
  const daemon = make(cfg);
  onTermination(() => daemon.drain(), cfg.timing.drainBoundMs);
  await daemon.start();
}

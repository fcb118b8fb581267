/** The command line of dragonflyward-ctl. */
import {Command} from 'commander';
import {addConfigCommands} from './config-commands.js';
import {addGlobalOptions, type ProgramIo} from './ctl-context.js';
import {addDomainCommands} from './domain-commands.js';
import {addExceptionCommands} from './exception-commands.js';
import {addJobCommands} from './job-commands.js';
import {addKeyCommands} from './key-commands.js';
import {addStatusCommand} from './status-command.js';

const NOTES = `
Settings are read from --settings FILE (or DRAGONFLYWARD_SETTINGS). Variables
such as DRAGONFLYWARD_LOG_URL override the file, and --set logUrl=... overrides
both.

Exit codes:
  0 done, and in force everywhere   5 no such key, job or exception
  1 internal error                  6 a service is unavailable; nothing changed
  2 wrong usage                     7 outcome unknown; look at the history
  3 not valid; nothing changed      8 accepted, not yet in force everywhere
  4 conflict; nothing changed       9 refused; nothing changed

"config check" has exit codes of its own; see its --help.

Examples:
  dragonflyward-ctl --settings ctl.jsonc status
  dragonflyward-ctl config publish fleet.jsonc --base 41 --reason "kiln queue"
  dragonflyward-ctl exception list --json`;

/**
 * Makes the program.
 *
 * @example
 * await runProgram(ctlProgram(PROCESS_IO), ['status']);
 */
export function ctlProgram(io: ProgramIo): Command {
  const program = addGlobalOptions(new Command('dragonflyward-ctl'))
    .description(
      'Manages dragonflyward: configuration, domains, keys, jobs, status',
    )
    .addHelpText('after', NOTES)
    .exitOverride()
    .configureOutput({writeOut: io.sink.out, writeErr: io.sink.err});
  addConfigCommands(program, io);
  addExceptionCommands(program, io);
  addDomainCommands(program, io);
  addKeyCommands(program, io);
  addJobCommands(program, io);
  addStatusCommand(program, io);
  return program;
}

#!/usr/bin/env node
/** The program dragonflyward-ctl. */
import {PROCESS_IO, runProgram} from './ctl-context.js';
import {ctlProgram} from './ctl-program.js';

process.exitCode = await runProgram(
  ctlProgram(PROCESS_IO),
  process.argv.slice(2),
);

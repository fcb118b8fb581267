#!/usr/bin/env node
/** The program dragonflyward-timeline. */
import {PROCESS_IO, runProgram} from './ctl-context.js';
import {timelineProgram} from './timeline-program.js';

process.exitCode = await runProgram(
  timelineProgram(PROCESS_IO),
  process.argv.slice(2),
);

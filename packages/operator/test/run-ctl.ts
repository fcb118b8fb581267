import {NO_RESOURCES} from '@dragonflyward/common';
import type {Rig} from '@dragonflyward/standins';
import type {Configuration, QueueConfig} from '@dragonflyward/state';
import type {Command} from 'commander';
import {runProgram, type ProgramIo} from '../src/ctl-context.js';
import {ctlProgram} from '../src/ctl-program.js';

const QUEUE: QueueConfig = {
  priority: 'urgent',
  service: 'quotes',
  isOpen: false,
  maxBodyBytes: 1_000,
  maxDeadlineMs: 5_000,
  maxWaiting: 10,
  policy: 'spread',
};

/** Queues for requests and jobs; the team "roofs" can run requests only. */
export const CONFIGURATION: Configuration = {
  defaults: {
    queues: {
      quotes: QUEUE,
      kilns: {...QUEUE, service: '', policy: 'pack'},
    },
    organisations: {valley: {share: 1}},
    teams: {
      roofs: {
        organisation: 'valley',
        share: 1,
        limit: {...NO_RESOURCES, slots: 8},
      },
    },
  },
  exceptions: [],
};

/** A program's output and exit code. */
export interface ProgramResult {
  readonly code: number;
  readonly text: string;
  readonly value: Readonly<Record<string, unknown>>;
}

/** Runs ctl and timeline against a rig. */
export class OperatorPrograms {
  constructor(
    private readonly rig: Rig,
    private readonly env: Readonly<Record<string, string>>,
  ) {}

  /** Runs ctl and parses its JSON output. */
  ctl(...args: readonly string[]): Promise<ProgramResult> {
    return this.run(ctlProgram, '--json', ...args);
  }

  /** Publishes a file on a base. */
  publish(file: string, base: number): Promise<ProgramResult> {
    const flags = ['--base', `${base}`, '--reason', 'test'];
    return this.ctl('config', 'publish', file, ...flags);
  }

  async run(
    program: (io: ProgramIo) => Command,
    ...args: readonly string[]
  ): Promise<ProgramResult> {
    let text = '';
    const out = (part: string): void => void (text += part);
    const sink = {out, err: () => undefined};
    const env = {
      USER: 'ada',
      DRAGONFLYWARD_LOG_URL: this.rig.logUrl,
      DRAGONFLYWARD_VM_LIST_URL: this.rig.vmListUrl,
      ...this.env,
    };
    const code = await runProgram(program({sink, env}), args);
    const json = text.startsWith('{') ? text : '{}';
    return {code, text, value: JSON.parse(json) as ProgramResult['value']};
  }
}

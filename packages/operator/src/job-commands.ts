/** The commands `job list|show|cancel` and `explain`. */
import type {JobStatus} from '@dragonflyward/state';
import {raise} from '@dragonflyward/common';
import type {Command} from 'commander';
import {action, type CtlContext, type ProgramIo} from './ctl-context.js';
import {EXIT, type ExitCode} from './exit-codes.js';
import {GatewayCalls, type KeyOptions} from './gateway-client.js';
import {toTable} from './output.js';

interface ListOptions extends KeyOptions {
  readonly max: string;
}

interface JobList {
  readonly jobs: readonly JobStatus[];
}

async function list(
  context: CtlContext,
  options: ListOptions,
): Promise<ExitCode> {
  const calls = new GatewayCalls(context, options);
  const max = encodeURIComponent(options.max);
  const {jobs} = (await calls.call('GET', `/v1/jobs?max=${max}`)) as JobList;
  const heading = ['job', 'queue', 'phase', 'running', 'ended', 'reason'];
  const rows = jobs.map(job => [
    job.jobId,
    job.queue,
    job.end ?? job.phase,
    `${job.tasksRunning}`,
    `${job.tasksEnded}`,
    job.reason,
  ]);
  context.output.print({jobs}, toTable(heading, rows));
  return EXIT.ok;
}

async function show(
  context: CtlContext,
  options: KeyOptions,
  jobId: string,
): Promise<ExitCode> {
  const calls = new GatewayCalls(context, options);
  const job = (await calls.call('GET', pathOf(jobId))) as JobStatus;
  context.output.print(job, [...jobLines(job), ...resultLines(job)]);
  return EXIT.ok;
}

function* jobLines(job: JobStatus): Generator<string> {
  yield `job ${job.jobId} of team ${job.team}, queue ${job.queue}`;
  yield `shard ${job.shard}: ${job.phase}${job.end ? `, ${job.end}` : ''}`;
  yield `tasks: ${job.tasksRunning} running, ${job.tasksEnded} ended`;
  if (job.reason !== '') yield `reason: ${job.reason}`;
}

function* resultLines({results}: JobStatus): Generator<string> {
  for (const [index, result] of results.entries()) {
    if (result !== '') yield `task ${index}: ${result}`;
  }
}

async function cancel(
  context: CtlContext,
  options: KeyOptions,
  jobId: string,
): Promise<ExitCode> {
  const calls = new GatewayCalls(context, options);
  await calls.call('DELETE', pathOf(jobId));
  const value = {jobId, cancelled: true};
  context.output.print(value, [`cancelled: ${jobId}`]);
  return EXIT.ok;
}

function pathOf(jobId: string): string {
  return `/v1/jobs/${encodeURIComponent(jobId)}`;
}

/** Asks all schedulers; only the owner of the job's shard can explain it. */
async function explain(
  {fleet, output}: CtlContext,
  _options: object,
  jobId: string,
): Promise<ExitCode> {
  const path = `/explain?job=${encodeURIComponent(jobId)}`;
  const replies = await fleet.readAll(path, 'scheduler');
  const reply = replies.find(({body}) => body !== undefined);
  if (reply?.body !== undefined) {
    const job = reply.body as unknown as JobStatus;
    const by = reply.process.name;
    output.print({answeredBy: by, ...job}, [
      ...jobLines(job),
      `answered by ${by}`,
    ]);
    return EXIT.ok;
  }
  const hasAll = replies.every(({failure}) => failure.startsWith('status 404'));
  if (hasAll) return raise('jobUnknown', jobId);
  const silent = replies.map(({process, failure}) => {
    return `${process.name}: ${failure}`;
  });
  return raise(
    'notOwner',
    `no scheduler explains ${jobId}: ${silent.join('; ')}`,
  );
}

/**
 * Adds the commands `job` and `explain`.
 *
 * @example
 * addJobCommands(program, PROCESS_IO);
 */
export function addJobCommands(program: Command, io: ProgramIo): void {
  const job = program
    .command('job')
    .description("list, show and cancel a team's jobs, with the team's key")
    .addHelpText('after', KEY_NOTE);
  const keyFile = ['--key-file <file>', "file with the team's key"] as const;
  job
    .command('list')
    .description("list the team's jobs")
    .option(...keyFile)
    .option('--max <count>', 'how many at most', '100')
    .action(action(io, list));
  job
    .command('show <job>')
    .description('show one job and the results of its tasks')
    .option(...keyFile)
    .action(action(io, show));
  job
    .command('cancel <job>')
    .description('cancel one job')
    .option(...keyFile)
    .action(action(io, cancel));
  program
    .command('explain <job>')
    .description('say why a job waits, or why its tasks run where they do')
    .action(action(io, explain));
}

const KEY_NOTE = `
The key is read from DRAGONFLYWARD_KEY or --key-file, never from a flag.

Example:
  dragonflyward-ctl job list --key-file roofs.key`;

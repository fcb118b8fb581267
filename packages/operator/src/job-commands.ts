/** The commands `job list|show|cancel` and `explain`. */
import type {JobStatus} from '@dragonflyward/state';
import {raise} from '@dragonflyward/common';
import type {Command} from 'commander';
import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {makeAction, type CtlContext, type ProgramIo} from './ctl-context.js';
import {EXIT, type ExitCode} from './exit-codes.js';
import {GatewayClient, type KeyOptions} from './gateway-client.js';
import {
  explainJob,
  formatExplanation,
  isUseful,
  parseLogLine,
  type LogLine,
} from './log-explanation.js';
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
  const client = new GatewayClient(context, options);
  const max = encodeURIComponent(options.max);
  const {jobs} = (await client.call('GET', `/v1/jobs?max=${max}`)) as JobList;
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
  const client = new GatewayClient(context, options);
  const job = (await client.call('GET', jobPath(jobId))) as JobStatus;
  context.output.print(job, [...formatJob(job), ...formatTaskResults(job)]);
  return EXIT.ok;
}

function* formatJob(job: JobStatus): Generator<string> {
  yield `job ${job.jobId} of team ${job.team}, queue ${job.queue}`;
  yield `shard ${job.shard}: ${job.phase}${job.end ? `, ${job.end}` : ''}`;
  yield `tasks: ${job.tasksRunning} running, ${job.tasksEnded} ended`;
  if (job.reason !== '') yield `reason: ${job.reason}`;
}

function* formatTaskResults({results}: JobStatus): Generator<string> {
  for (const [index, result] of results.entries()) {
    if (result !== '') yield `task ${index}: ${result}`;
  }
}

async function cancel(
  context: CtlContext,
  options: KeyOptions,
  jobId: string,
): Promise<ExitCode> {
  const client = new GatewayClient(context, options);
  await client.call('DELETE', jobPath(jobId));
  const value = {jobId, cancelled: true};
  context.output.print(value, [`cancelled: ${jobId}`]);
  return EXIT.ok;
}

function jobPath(jobId: string): string {
  return `/v1/jobs/${encodeURIComponent(jobId)}`;
}

/** Reads log files, or asks the schedulers. */
async function explain(
  context: CtlContext,
  _options: object,
  jobId: string,
  files: readonly string[] = [],
): Promise<ExitCode> {
  if (files.length > 0) return explainFromLogs(context, jobId, files);
  return explainFromSchedulers(context, jobId);
}

async function explainFromLogs(
  {output}: CtlContext,
  jobId: string,
  files: readonly string[],
): Promise<ExitCode> {
  const logLines: LogLine[] = [];
  for (const file of files) {
    const input = createReadStream(file);
    for await (const text of createInterface({input})) {
      const line = parseLogLine(text);
      if (line !== null && isUseful(jobId, line)) logLines.push(line);
    }
  }
  const explanation = explainJob(jobId, logLines);
  if (explanation.lines.length === 0) return raise('jobUnknown', jobId);
  output.print(explanation, [...formatExplanation(jobId, explanation)]);
  return EXIT.ok;
}

/** Asks all schedulers, as only the owner of the job's shard can explain it. */
async function explainFromSchedulers(
  {fleet, output}: CtlContext,
  jobId: string,
): Promise<ExitCode> {
  const path = `/explain?job=${encodeURIComponent(jobId)}`;
  const replies = await fleet.readAll(path, 'scheduler');
  const reply = replies.find(({body}) => body !== undefined);
  if (reply?.body !== undefined) {
    const job = reply.body as unknown as JobStatus;
    const schedulerName = reply.process.name;
    output.print({answeredBy: schedulerName, ...job}, [
      ...formatJob(job),
      `answered by ${schedulerName}`,
    ]);
    return EXIT.ok;
  }
  const isUnknownToAll = replies.every(({failure}) =>
    failure.startsWith('status 404'),
  );
  if (isUnknownToAll) return raise('jobUnknown', jobId);
  const failures = replies.map(({process, failure}) => {
    return `${process.name}: ${failure}`;
  });
  return raise(
    'notOwner',
    `no scheduler can explain ${jobId}: ${failures.join('; ')}`,
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
    .option('--max <count>', 'maximum number of jobs', '100')
    .action(makeAction(io, list));
  job
    .command('show <job>')
    .description('show one job and the results of its tasks')
    .option(...keyFile)
    .action(makeAction(io, show));
  job
    .command('cancel <job>')
    .description('cancel one job')
    .option(...keyFile)
    .action(makeAction(io, cancel));
  program
    .command('explain <job> [files...]')
    .description(
      'explain why a job waits, or why its tasks run where they do; with log ' +
        'files of VMs, what became of it',
    )
    .action(makeAction(io, explain));
}

const KEY_NOTE = `
The key is read from DRAGONFLYWARD_KEY or the file of --key-file. No flag takes
the key itself.

Example:
  dragonflyward-ctl job list --key-file roofs.key`;

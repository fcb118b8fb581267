/** Measures the CPU time, memory and I/O of the control processes. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Figures} from './benches.js';
import {ControlCell, type MeasuredRole} from './control-cell.js';
import type {ProcessUsage} from './process-meter.js';

const FEW_WORKERS = 4;
const MANY_WORKERS = 60;
const TASKS_PER_WORKER = 20;
const WINDOW_MS = 15_000;
const MS_PER_SECOND = 1_000;
const BYTES_PER_KB = 1_000;
const PERCENT = 100;

interface UsageRow {
  readonly workers: number;
  readonly tasks: number;
  readonly role: MeasuredRole;
  readonly cpuPercent: number;
  readonly rssMb: number;
  readonly readKbPerSecond: number;
  readonly writtenKbPerSecond: number;
}

/**
 * Runs the control benchmark: two fleet sizes, each idle and with tasks.
 *
 * @example
 * const figures = await benchControl(console.log);
 */
export async function benchControl(
  print: (line: string) => void,
): Promise<Figures> {
  const rows: UsageRow[] = [];
  for (const workers of [FEW_WORKERS, MANY_WORKERS]) {
    for (const row of await measureSize(workers)) {
      rows.push(row);
      print(formatRow(row));
    }
  }
  return {rows};
}

async function measureSize(workers: number): Promise<readonly UsageRow[]> {
  const cell = new ControlCell(workers);
  try {
    await cell.start();
    const idle = await measureWindow(cell, workers, 0);
    await cell.runTasks(TASKS_PER_WORKER);
    const tasks = TASKS_PER_WORKER * workers;
    return [...idle, ...(await measureWindow(cell, workers, tasks))];
  } finally {
    await cell.stop();
  }
}

async function measureWindow(
  cell: ControlCell,
  workers: number,
  tasks: number,
): Promise<readonly UsageRow[]> {
  const before = await cell.usageByRole();
  await sleep(WINDOW_MS);
  const after = await cell.usageByRole();
  return [...after].map(([role, use]) => {
    const start = before.get(role) ?? use;
    return {workers, tasks, role, ...ratesOf(start, use)};
  });
}

function ratesOf(
  before: ProcessUsage,
  after: ProcessUsage,
): Omit<UsageRow, 'workers' | 'tasks' | 'role'> {
  const seconds = WINDOW_MS / MS_PER_SECOND;
  const kbPerSecond = (bytes: number): number => bytes / BYTES_PER_KB / seconds;
  return {
    cpuPercent: ((after.cpuMs - before.cpuMs) / WINDOW_MS) * PERCENT,
    rssMb: after.rssMb,
    readKbPerSecond: kbPerSecond(after.readBytes - before.readBytes),
    writtenKbPerSecond: kbPerSecond(after.writtenBytes - before.writtenBytes),
  };
}

function formatRow(row: UsageRow): string {
  const size = `${row.workers} workers, ${row.tasks} tasks, ${row.role}:`;
  const cpu = `${row.cpuPercent.toFixed(2)} % of a core`;
  const memory = `${row.rssMb.toFixed(0)} MB`;
  const read = `reads ${row.readKbPerSecond.toFixed(1)} KB/s`;
  const written = `writes ${row.writtenKbPerSecond.toFixed(1)} KB/s`;
  return `${size} ${cpu}, ${memory}, ${read}, ${written}`;
}

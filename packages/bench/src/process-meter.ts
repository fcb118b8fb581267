/** Reads what a process has used, from the kernel's view of it. */
import {readFileSync} from 'node:fs';

const MS_PER_TICK = 10;
const KB_PER_MB = 1_024;
/** Fields of /proc/PID/stat after the name, from 0. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** What a process has used since its start, and its memory now. */
export interface ProcessUsage {
  readonly cpuMs: number;
  readonly rssMb: number;
  /** Bytes read and written, by sockets too. */
  readonly readBytes: number;
  readonly writtenBytes: number;
}

/**
 * Reads a process's use.
 *
 * @example
 * const {rssMb} = readUse(process.pid);
 */
export function readUsage(pid: number): ProcessUsage {
  const stat = readProcFile(pid, 'stat');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const userTicks = Number(fields[USER_TICKS_FIELD]);
  const systemTicks = Number(fields[SYSTEM_TICKS_FIELD]);
  const io = readProcFile(pid, 'io');
  return {
    cpuMs: (userTicks + systemTicks) * MS_PER_TICK,
    rssMb: numberAfter(readProcFile(pid, 'status'), 'VmRSS:') / KB_PER_MB,
    readBytes: numberAfter(io, 'rchar:'),
    writtenBytes: numberAfter(io, 'wchar:'),
  };
}

function readProcFile(pid: number, file: string): string {
  return readFileSync(`/proc/${pid}/${file}`, 'utf8');
}

function numberAfter(text: string, label: string): number {
  const rest = text.slice(text.indexOf(label) + label.length);
  return Number.parseInt(rest.trim(), 10);
}

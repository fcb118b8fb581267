/** Reads a process's resource usage from /proc. */
import {readFileSync} from 'node:fs';

const MS_PER_TICK = 10;
const KB_PER_MB = 1_024;
/** Zero-based fields of /proc/PID/stat, counted after the process name. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** A process's usage since its start, and its current memory. */
export interface ProcessUsage {
  readonly cpuMs: number;
  readonly rssMb: number;
  /** Bytes read and written, including sockets. */
  readonly readBytes: number;
  readonly writtenBytes: number;
}

/**
 * Reads a process's resource usage.
 *
 * @example
 * const {rssMb} = readUsage(process.pid);
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

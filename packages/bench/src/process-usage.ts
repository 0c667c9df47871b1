/** Reads processor time and memory of processes from Linux's `/proc`. */
import { readFileSync } from 'node:fs';

export interface ProcessUsage {
  readonly cpuMs: number;
  readonly residentBytes: number;
}

const CLOCK_TICK_MS = 10;
const PAGE_BYTES = 4_096;
// Indexes of the fields of /proc/PID/stat that follow the command name.
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;
const RESIDENT_PAGES_FIELD = 21;

/** Reads a running process's processor time since its start and its current resident memory. */
export function readUsage(pid: number): ProcessUsage {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD]);
  const residentBytes = Number(fields[RESIDENT_PAGES_FIELD]) * PAGE_BYTES;
  return { cpuMs: ticks * CLOCK_TICK_MS, residentBytes };
}

/** Processor time as a percentage of one core between two readings. */
export function cpuPercent(before: ProcessUsage, after: ProcessUsage, elapsedMs: number): number {
  return ((after.cpuMs - before.cpuMs) / elapsedMs) * 100;
}

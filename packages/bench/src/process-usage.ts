/** Processor time and memory of processes, as the operating system accounts for them. */
import { readFileSync } from 'node:fs';

export interface ProcessUsage {
  readonly cpuMs: number;
  readonly residentBytes: number;
}

const CLOCK_TICK_MS = 10;
const PAGE_BYTES = 4_096;
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;
const RESIDENT_PAGES_FIELD = 21;

/** Reads the usage of a running process since its start. */
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

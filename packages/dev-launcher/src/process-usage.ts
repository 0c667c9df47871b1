/** Measures the resident memory and the open descriptors of a process, for tests. */
import type { ChildProcess } from 'node:child_process';
import { readdirSync, readFileSync } from 'node:fs';

export interface ProcessUsage {
  readonly residentMb: number;
  readonly descriptors: number;
}

/** The highest usage seen, and whether the process has ended. */
export interface ObservedUsage extends ProcessUsage {
  readonly hasEnded: boolean;
}

const SAMPLE_INTERVAL_MS = 20;

/**
 * Reads the usage of a process from /proc.
 *
 * @returns `undefined` if there is no such process
 * @example
 * readProcessUsage(process.pid); // { residentMb: 61.2, descriptors: 24 }
 */
export function readProcessUsage(pid: number): ProcessUsage | undefined {
  try {
    const residentKb = /^VmRSS:\s+(\d+) kB$/m.exec(
      readFileSync(`/proc/${pid}/status`, 'utf8'),
    )?.[1];
    if (residentKb === undefined) return undefined;
    return {
      residentMb: Number(residentKb) / 1_024,
      descriptors: readdirSync(`/proc/${pid}/fd`).length,
    };
  } catch {
    return undefined;
  }
}

/**
 * Samples the usage of a process while `action` runs; returns the highest values.
 *
 * @example
 * const seen = await observeUsage(child, () => connectCrowd(address));
 */
export async function observeUsage(
  child: ChildProcess,
  action: () => Promise<unknown>,
): Promise<ObservedUsage> {
  let residentMb = 0;
  let descriptors = 0;
  const sample = () => {
    const usage = readProcessUsage(child.pid ?? 0);
    residentMb = Math.max(residentMb, usage?.residentMb ?? 0);
    descriptors = Math.max(descriptors, usage?.descriptors ?? 0);
  };
  const timer = setInterval(sample, SAMPLE_INTERVAL_MS);
  try {
    await action();
  } finally {
    clearInterval(timer);
    sample();
  }
  const hasEnded = child.exitCode !== null || child.signalCode !== null;
  return { hasEnded, residentMb: Math.round(residentMb), descriptors };
}

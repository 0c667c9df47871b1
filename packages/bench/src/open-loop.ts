/**
 * Open-loop load: requests start by the clock, whether earlier ones have ended or not, and latency
 * counts from the intended start, so that a stall is not hidden by the requests it held back.
 */
import { build, type Histogram } from 'hdr-histogram-js';
import type { Pool } from 'pg';

export interface LoadOptions {
  readonly ratePerSecond: number;
  readonly durationMs: number;
  /** Runs one request; the number tells requests apart. */
  readonly run: (number: number) => Promise<void>;
}

export interface LoadResult {
  readonly started: number;
  readonly succeeded: number;
  readonly failures: Readonly<Record<string, number>>;
  readonly latency: Histogram;
}

const MICROSECONDS = 1_000;

/** Starts requests at a steady rate and waits for all of them. */
export async function runOpenLoop(options: LoadOptions): Promise<LoadResult> {
  const latency = build({ numberOfSignificantValueDigits: 3 });
  const failures: Record<string, number> = {};
  const pending: Promise<void>[] = [];
  const startMs = performance.now();
  let started = 0;
  let succeeded = 0;
  for (;;) {
    const elapsedMs = performance.now() - startMs;
    if (elapsedMs >= options.durationMs) break;
    const due = Math.floor((elapsedMs / 1_000) * options.ratePerSecond) + 1;
    for (; started < due; started += 1) pending.push(runOne(started));
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  await Promise.all(pending);
  return { started, succeeded, failures, latency };

  async function runOne(number: number): Promise<void> {
    const intendedMs = startMs + (number / options.ratePerSecond) * 1_000;
    try {
      await options.run(number);
      succeeded += 1;
      latency.recordValue(Math.round((performance.now() - intendedMs) * MICROSECONDS));
    } catch (error) {
      const code = (error as { code?: string }).code ?? String(error);
      failures[code] = (failures[code] ?? 0) + 1;
    }
  }
}

/** Closed-loop throughput: `workers` requests at a time for the given time. */
export async function runClosedLoop(
  pool: Pool,
  text: string,
  workers: number,
  durationMs: number,
): Promise<{ readonly perSecond: number; readonly latency: Histogram }> {
  const latency = build({ numberOfSignificantValueDigits: 3 });
  const startMs = performance.now();
  let count = 0;
  await Promise.all(
    Array.from({ length: workers }, async () => {
      while (performance.now() - startMs < durationMs) {
        const sentMs = performance.now();
        await pool.query(text);
        latency.recordValue(Math.round((performance.now() - sentMs) * MICROSECONDS));
        count += 1;
      }
    }),
  );
  return { perSecond: (count / (performance.now() - startMs)) * 1_000, latency };
}

/** A percentile in milliseconds. */
export function percentileMs(latency: Histogram, percentile: number): number {
  return Math.round(latency.getValueAtPercentile(percentile) / 10) / 100;
}

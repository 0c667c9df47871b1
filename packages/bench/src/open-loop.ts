/**
 * Load generators. Open-loop load starts requests on schedule whether or not earlier ones have ended,
 * and measures latency from the scheduled start, so that a stall also counts for the requests that it
 * delays (no coordinated omission). Closed-loop load measures throughput.
 */
import { build, type Histogram } from 'hdr-histogram-js';
import type { Pool } from 'pg';

export interface LoadOptions {
  readonly ratePerSecond: number;
  readonly durationMs: number;
  /** Runs one request, given its sequence number from 0. */
  readonly run: (number: number) => Promise<void>;
}

export interface LoadResult {
  readonly started: number;
  readonly succeeded: number;
  /** Number of failures by error code, or by error text where there is no code. */
  readonly failures: Readonly<Record<string, number>>;
  /** Latency of the successful requests, in microseconds. */
  readonly latency: Histogram;
}

const MICROSECONDS_PER_MS = 1_000;

/** Starts requests at a constant rate for the given time and waits until all have ended. */
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
    const dueCount = Math.floor((elapsedMs / 1_000) * options.ratePerSecond) + 1;
    for (; started < dueCount; started += 1) pending.push(runRequest(started));
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  await Promise.all(pending);
  return { started, succeeded, failures, latency };

  async function runRequest(number: number): Promise<void> {
    const intendedMs = startMs + (number / options.ratePerSecond) * 1_000;
    try {
      await options.run(number);
      succeeded += 1;
      latency.recordValue(Math.round((performance.now() - intendedMs) * MICROSECONDS_PER_MS));
    } catch (error) {
      const code = (error as { code?: string }).code ?? String(error);
      failures[code] = (failures[code] ?? 0) + 1;
    }
  }
}

/** Runs a query in `workers` parallel loops for the given time; latency is in microseconds. */
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
        latency.recordValue(Math.round((performance.now() - sentMs) * MICROSECONDS_PER_MS));
        count += 1;
      }
    }),
  );
  return { perSecond: (count / (performance.now() - startMs)) * 1_000, latency };
}

/** A percentile in milliseconds, rounded to 0.01 ms, of a histogram in microseconds. */
export function percentileMs(latency: Histogram, percentile: number): number {
  return Math.round(latency.getValueAtPercentile(percentile) / 10) / 100;
}

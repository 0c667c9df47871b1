/** Counters and gauges over StatsD, with a local copy that status pages and tests can read. */
import type { StatsdSettings } from '@bramleykeel/core';
import { StatsD } from 'hot-shots';

export interface Counters {
  /** Adds to a counter. Names are dotted: `refusal.queue-full`, `retry.read-on-primary`. */
  readonly count: (name: string, by?: number) => void;
  readonly gauge: (name: string, value: number) => void;
  readonly timing: (name: string, durationMs: number) => void;
  /** Totals since the start of the process. */
  readonly totals: () => Record<string, number>;
  readonly close: () => void;
}

/**
 * Creates the counters of one daemon; without StatsD settings only the local copy is kept.
 *
 * @example
 * const counters = createCounters('entry', { host: '127.0.0.1', port: 8125 });
 * counters.count('refusal.queue-full');
 */
export function createCounters(daemon: string, statsd: StatsdSettings | undefined): Counters {
  const totals = new Map<string, number>();
  const client = statsd && createClient(daemon, statsd);
  return {
    count: (name, by = 1) => {
      totals.set(name, (totals.get(name) ?? 0) + by);
      client?.increment(name, by);
    },
    gauge: (name, value) => {
      totals.set(name, value);
      client?.gauge(name, value);
    },
    timing: (name, durationMs) => {
      client?.timing(name, durationMs);
    },
    totals: () => Object.fromEntries(totals),
    close: () => {
      client?.close(() => undefined);
    },
  };
}

function createClient(daemon: string, statsd: StatsdSettings): StatsD {
  return new StatsD({
    host: statsd.host,
    port: statsd.port,
    prefix: `bramleykeel.${daemon}.`,
    maxBufferSize: 1_400,
    errorHandler: () => undefined,
  });
}

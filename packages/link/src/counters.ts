/** Counters, gauges and timings: sent to StatsD and kept in memory for status requests, Prometheus and tests. */
import type { StatsdSettings } from '@bramleykeel/core';
import { StatsD } from 'hot-shots';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

export interface Counters {
  /** Adds to a counter. Names are dotted: `refusal.queue-full`, `retry.read-on-primary`. */
  readonly count: (name: string, by?: number) => void;
  readonly gauge: (name: string, value: number) => void;
  /** Records a duration in a histogram. */
  readonly timing: (name: string, durationMs: number) => void;
  /** Counter totals since the start of the process, and the last value of each gauge. */
  readonly totals: () => Record<string, number>;
  readonly close: () => void;
}

export interface PrometheusCounters extends Counters {
  /** Renders all metrics in the Prometheus text format. */
  readonly renderMetrics: () => Promise<string>;
}

/** Upper bounds of the histogram buckets: from one network hop to the longest time-out of a route. */
const BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000];

/**
 * Creates the counters of one daemon. Without StatsD settings they are only kept in memory.
 *
 * @example
 * const counters = createCounters('entry', { host: '127.0.0.1', port: 8125 });
 * counters.count('refusal.queue-full');
 */
export function createCounters(
  daemon: string,
  statsd: StatsdSettings | undefined,
): PrometheusCounters {
  const totals = new Map<string, number>();
  const gauges = new Map<string, number>();
  const client = statsd && createClient(daemon, statsd);
  const { registry, times } = createRegistry(daemon, totals, gauges);
  return {
    count: (name, by = 1) => {
      totals.set(name, (totals.get(name) ?? 0) + by);
      client?.increment(name, by);
    },
    gauge: (name, value) => {
      gauges.set(name, value);
      client?.gauge(name, value);
    },
    timing: (name, durationMs) => {
      times.observe({ name }, durationMs);
      client?.timing(name, durationMs);
    },
    totals: () => Object.fromEntries([...totals, ...gauges]),
    renderMetrics: () => registry.metrics(),
    close: () => {
      client?.close(() => undefined);
    },
  };
}

/** Metric names become label values. All of them come from the code, so the number of label values is bounded. */
function createRegistry(
  daemon: string,
  totals: ReadonlyMap<string, number>,
  gauges: ReadonlyMap<string, number>,
) {
  const registry = new Registry();
  registry.setDefaultLabels({ daemon });
  const registers = [registry];
  new Counter({
    name: 'bramleykeel_events_total',
    help: 'Decisions and faults by their dotted name, since the start of the process.',
    labelNames: ['name'],
    registers,
    collect() {
      this.reset();
      for (const [name, total] of totals) this.inc({ name }, total);
    },
  });
  new Gauge({
    name: 'bramleykeel_level',
    help: 'What the process holds now, by its dotted name.',
    labelNames: ['name'],
    registers,
    collect() {
      for (const [name, value] of gauges) this.set({ name }, value);
    },
  });
  const times = new Histogram({
    name: 'bramleykeel_time_ms',
    help: 'Times by their dotted name, in milliseconds.',
    labelNames: ['name'],
    buckets: BUCKETS_MS,
    registers,
  });
  return { registry, times };
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

import type { Server } from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { createCounters, type PrometheusCounters } from './counters.js';
import { listenForMetrics } from './metrics-server.js';

describe('metrics server', () => {
  let counters: PrometheusCounters;
  let server: Server;
  let url: string;

  beforeEach(async () => {
    counters = createCounters('entry', undefined);
    server = await listenForMetrics('127.0.0.1:0', counters);
    const address = server.address();
    url = `http://127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`;
  });

  afterEach(() => {
    server.close();
    counters.close();
  });

  it('serves counters, gauges and histograms by name', async () => {
    counters.count('refusal.queue-full');
    counters.count('refusal.queue-full', 2);
    counters.gauge('groups.owned', 3);
    counters.timing('statement.primary', 14);
    const page = await (await fetch(`${url}/metrics`)).text();
    expect(page).toContain('bramleykeel_events_total{name="refusal.queue-full",daemon="entry"} 3');
    expect(page).toContain('bramleykeel_level{name="groups.owned",daemon="entry"} 3');
    expect(page).toMatch(/bramleykeel_time_ms_bucket\{le="20".*name="statement.primary".*\} 1/);
    expect(page).toMatch(/bramleykeel_time_ms_bucket\{le="10".*name="statement.primary".*\} 0/);
  });

  it('reports the same totals on repeated requests', async () => {
    counters.count('refusal.queue-full');
    await fetch(`${url}/metrics`);
    const page = await (await fetch(`${url}/metrics`)).text();
    expect(page).toContain('name="refusal.queue-full",daemon="entry"} 1');
  });

  it.each([
    ['another path', '/other', 'GET'],
    ['another method', '/metrics', 'POST'],
  ])('answers 404 for %s', async (_name, path, method) => {
    expect((await fetch(`${url}${path}`, { method })).status).toBe(404);
  });
});

import type { Server } from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { createCounters, type PrometheusCounters } from './counters.js';
import { listenForMetrics, type Page } from './metrics-server.js';

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

  // Guards against a page whose failure leaves the request open, or ends the process.
  it('serves further pages with their search parameters, and answers 500 if one fails', async () => {
    const pages = new Map<string, Page>([
      [
        '/-/echo',
        (search) => {
          if (search.get('fail') === '1') return Promise.reject(new Error('failed'));
          const body = search.get('text') ?? '';
          return Promise.resolve({ status: 404, contentType: 'text/plain', body });
        },
      ],
    ]);
    const other = await listenForMetrics('127.0.0.1:0', counters, pages);
    const address = other.address();
    const base = `http://127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`;
    const echoed = await fetch(`${base}/-/echo?text=a%20b`);
    expect([echoed.status, await echoed.text()]).toEqual([404, 'a b']);
    expect((await fetch(`${base}/-/echo?fail=1`)).status).toBe(500);
    expect((await fetch(`${base}/metrics`)).status).toBe(200);
    expect((await fetch(`${base}/-/echo`, { method: 'POST' })).status).toBe(404);
    other.close();
  });
});

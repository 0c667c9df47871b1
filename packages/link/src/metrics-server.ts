/** HTTP endpoint that serves a daemon's metrics in the Prometheus text format. */
import type { Server } from 'node:http';
import { splitAddress } from '@bramleykeel/core';
import { createBoundedHttpServer } from './bounded-http.js';
import type { PrometheusCounters } from './counters.js';

export const METRICS_PATH = '/metrics';

/** Metrics are read by a few collectors only. */
const MAX_CONNECTIONS = 64;
const MAX_REQUESTS = 4;

export interface PageAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Answers `GET` requests for a path; the search parameters are the request's. */
export type Page = (search: URLSearchParams) => Promise<PageAnswer>;

/**
 * Serves `GET /metrics` on `address`, and further pages for operators.
 *
 * @param pages by path; they share the bounds of the server, so that one with slow answers limits itself
 * @throws if the address cannot be listened on
 * @example
 * const server = await listenForMetrics('127.0.0.1:9102', counters);
 */
export async function listenForMetrics(
  address: string,
  counters: PrometheusCounters,
  pages: ReadonlyMap<string, Page> = new Map(),
): Promise<Server> {
  const allPages = new Map(pages).set(METRICS_PATH, async () => ({
    status: 200,
    contentType: 'text/plain; version=0.0.4',
    body: await counters.renderMetrics(),
  }));
  const bounds = {
    maxConnections: MAX_CONNECTIONS,
    maxRequests: MAX_REQUESTS,
    counters,
    name: 'metrics',
  };
  const server = createBoundedHttpServer(bounds, (request, response) => {
    request.resume();
    const [path = '', search = ''] = (request.url ?? '').split('?', 2);
    const page = allPages.get(path);
    if (request.method !== 'GET' || !page) {
      response.writeHead(404).end();
      return;
    }
    page(new URLSearchParams(search)).then(
      ({ status, contentType, body }) => {
        response.writeHead(status, { 'content-type': contentType }).end(body);
      },
      () => {
        counters.count('metrics.page-failed');
        response.writeHead(500).end();
      },
    );
  });
  const { host, port } = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return server;
}

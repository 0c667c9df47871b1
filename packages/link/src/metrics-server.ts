/** HTTP endpoint that serves a daemon's metrics in the Prometheus text format. */
import type { Server } from 'node:http';
import { splitAddress } from '@bramleykeel/core';
import { createBoundedHttpServer } from './bounded-http.js';
import type { PrometheusCounters } from './counters.js';

export const METRICS_PATH = '/metrics';

/** Metrics are read by a few collectors only. */
const MAX_CONNECTIONS = 64;
const MAX_REQUESTS = 4;

/**
 * Serves `GET /metrics` on `address`.
 *
 * @throws if the address cannot be listened on
 * @example
 * const server = await listenForMetrics('127.0.0.1:9102', counters);
 */
export async function listenForMetrics(
  address: string,
  counters: PrometheusCounters,
): Promise<Server> {
  const bounds = {
    maxConnections: MAX_CONNECTIONS,
    maxRequests: MAX_REQUESTS,
    counters,
    name: 'metrics',
  };
  const server = createBoundedHttpServer(bounds, (request, response) => {
    request.resume();
    if (request.method !== 'GET' || request.url !== METRICS_PATH) {
      response.writeHead(404).end();
      return;
    }
    void counters.renderMetrics().then((metrics) => {
      response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(metrics);
    });
  });
  const { host, port } = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return server;
}

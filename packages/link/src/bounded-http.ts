/** HTTP servers whose clients cannot make them hold more than a bounded number of connections and requests. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { boundConnections } from './bounded-connections.js';
import type { Counters } from './counters.js';

export interface HttpBounds {
  readonly maxConnections: number;
  /** Requests that are handled at the same time; others get 503. */
  readonly maxRequests: number;
  readonly counters: Pick<Counters, 'count'>;
  /** Prefix of the counters' names, such as `metrics`. */
  readonly name: string;
}

/** Time for the headers of a request, in milliseconds. */
const HEADERS_TIMEOUT_MS = 5_000;
/** Time for a whole request; a document of 8 MiB takes 2 s at 32 Mbit/s. In milliseconds. */
const REQUEST_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_TIMEOUT_MS = 10_000;
const CHECK_INTERVAL_MS = 1_000;
/** Requests that one connection may have in progress; well-behaved clients wait for each answer. */
const MAX_PIPELINED_REQUESTS = 4;

/**
 * Creates an HTTP server whose connections and requests are bounded. A connection that sends requests without waiting
 * for answers is closed.
 *
 * @example
 * const server = createBoundedHttpServer(bounds, (request, response) => response.end());
 */
export function createBoundedHttpServer(
  { maxConnections, maxRequests, counters, name }: HttpBounds,
  handle: (request: IncomingMessage, response: ServerResponse) => void,
): Server {
  let requestCount = 0;
  const inProgress = new WeakMap<object, number>();
  const options = {
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    connectionsCheckingInterval: CHECK_INTERVAL_MS,
  };
  const server = createServer(options, (request, response) => {
    const { socket } = request;
    const ofConnection = (inProgress.get(socket) ?? 0) + 1;
    if (socket.destroyed) return;
    if (ofConnection > MAX_PIPELINED_REQUESTS) {
      counters.count(`limit.${name}-pipelined`);
      socket.destroy();
      return;
    }
    if (requestCount >= maxRequests) {
      counters.count(`limit.${name}-requests`);
      response.writeHead(503, { connection: 'close' }).end();
      return;
    }
    inProgress.set(socket, ofConnection);
    requestCount += 1;
    connections.setIdle(socket, false);
    response.once('close', () => {
      requestCount -= 1;
      const left = (inProgress.get(socket) ?? 1) - 1;
      inProgress.set(socket, left);
      if (left === 0) connections.setIdle(socket, true);
    });
    handle(request, response);
  });
  const connections = boundConnections(server, maxConnections, (socket) => {
    counters.count(`limit.${name}-connections`);
    socket.destroy();
  });
  server.on('connection', (socket) => {
    socket.once('close', () => {
      connections.release(socket);
    });
  });
  server.on('clientError', (_error, socket) => {
    socket.destroy();
  });
  return server;
}

/** HTTP server that receives the announcements of targets. */
import type { IncomingMessage, Server } from 'node:http';
import { type Announcement, announcementSchema, splitAddress } from '@bramleykeel/core';
import {
  type Counters,
  createBodyBudget,
  createBoundedHttpServer,
  type ProcessLimits,
  readJsonBody,
} from '@bramleykeel/link';
import { z } from 'zod';

const MAX_BODY_BYTES = 16_384;
/** Part of the descriptors for announcements; each target keeps one connection to an entry. */
const SHARE_OF_DESCRIPTORS = 0.1;
/** Connections that are accepted however few descriptors there are. */
const MIN_CONNECTIONS = 64;
const MAX_CONCURRENT_REQUESTS = 256;

/**
 * Listens for `PUT /announce`; requests need `token` as bearer token if it is set. Connections, requests and bodies
 * are bounded.
 *
 * @throws when the address is taken
 */
export function listenForAnnouncements(
  address: string,
  token: string | undefined,
  { maxDescriptors }: Pick<ProcessLimits, 'maxDescriptors'>,
  counters: Pick<Counters, 'count'>,
  onAnnouncement: (announcement: Announcement) => void,
): Promise<Server> {
  const bodies = createBodyBudget(MAX_CONCURRENT_REQUESTS * MAX_BODY_BYTES, counters);
  const bounds = {
    maxConnections: Math.max(MIN_CONNECTIONS, Math.floor(maxDescriptors * SHARE_OF_DESCRIPTORS)),
    maxRequests: MAX_CONCURRENT_REQUESTS,
    counters,
    name: 'announcements',
  };
  const server = createBoundedHttpServer(bounds, (request, response) => {
    void handleRequest(request).then(({ statusCode, body }) => {
      response.statusCode = statusCode;
      response.setHeader('content-type', 'application/json');
      response.end(JSON.stringify(body));
    });
  });
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve(server);
    });
  });

  async function handleRequest(request: IncomingMessage) {
    if (request.method !== 'PUT' || request.url !== '/announce') {
      return { statusCode: 404, body: { message: 'expected PUT /announce' } };
    }
    if (token !== undefined && request.headers.authorization !== `Bearer ${token}`) {
      counters.count('refusal.announcement-token');
      return { statusCode: 403, body: { message: 'the announcement token was not accepted' } };
    }
    const body = await readJsonBody(bodies, request, MAX_BODY_BYTES);
    const parsed = announcementSchema.safeParse(body);
    if (!parsed.success) {
      counters.count('refusal.announcement-malformed');
      return { statusCode: 400, body: { message: z.prettifyError(parsed.error) } };
    }
    onAnnouncement(parsed.data);
    return { statusCode: 200, body: {} };
  }
}

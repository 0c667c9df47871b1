/** HTTP server that receives the announcements of targets. */
import { createServer, type IncomingMessage, type Server } from 'node:http';
import { type Announcement, announcementSchema, splitAddress } from '@bramleykeel/core';
import { type Counters, readJsonBody } from '@bramleykeel/link';
import { z } from 'zod';

const MAX_BODY_BYTES = 16_384;

/**
 * Listens for `PUT /announce`; requests need `token` as bearer token if it is set.
 *
 * @throws when the address is taken
 */
export function listenForAnnouncements(
  address: string,
  token: string | undefined,
  counters: Counters,
  onAnnouncement: (announcement: Announcement) => void,
): Promise<Server> {
  const server = createServer((request, response) => {
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
    const parsed = announcementSchema.safeParse(await readJsonBody(request, MAX_BODY_BYTES));
    if (!parsed.success) {
      counters.count('refusal.announcement-malformed');
      return { statusCode: 400, body: { message: z.prettifyError(parsed.error) } };
    }
    onAnnouncement(parsed.data);
    return { statusCode: 200, body: {} };
  }
}

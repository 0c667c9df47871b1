import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { expect, it } from 'vitest';
import { DEFAULT_LINK_TIMING } from './link-peer.js';
import { listenForLinks } from './link-server.js';

async function findFreePort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = server.address();
  server.close();
  return typeof address === 'object' && address ? address.port : 0;
}

// Guards against a process that never ends on SIGTERM: a link that was being opened kept its server from closing.
it('closes while a connection has not been authenticated yet', async () => {
  const port = await findFreePort();
  const options = { secret: 'a secret of the tests', ...DEFAULT_LINK_TIMING };
  const handlers = { onRequest: () => undefined, onNotify: () => undefined };
  const server = await listenForLinks(`127.0.0.1:${port}`, options, handlers);
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  await once(socket, 'data');
  const closed = server.close().then(() => 'closed');
  expect(await Promise.race([closed, delay(1_000, 'still open')])).toBe('closed');
  socket.destroy();
});

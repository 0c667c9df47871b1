/** Finds an unused loopback address, for tests that start their own listeners. */
import { createServer } from 'node:net';

/**
 * Returns `127.0.0.1:PORT` with a free port, found by briefly listening on port 0.
 *
 * @example
 * const server = await listenForLinks(await findFreeAddress(), options, handlers);
 */
export async function findFreeAddress(): Promise<string> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = server.address();
  const port = typeof address === 'object' && address ? address.port : 0;
  await new Promise((resolve) => server.close(resolve));
  return `127.0.0.1:${port}`;
}

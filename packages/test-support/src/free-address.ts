/** A loopback address that nothing listens at, for tests of links that start their own listeners. */
import { createServer } from 'node:net';

/**
 * Finds a free port by listening on one for a moment.
 *
 * @example
 * const server = await listenForLinks(await freeAddress(), options, handlers);
 */
export async function freeAddress(): Promise<string> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = server.address();
  const port = typeof address === 'object' && address ? address.port : 0;
  await new Promise((resolve) => server.close(resolve));
  return `127.0.0.1:${port}`;
}

/** Finds free TCP ports on loopback. */
import { createServer, type Server } from 'node:net';

/** Returns `count` different ports that were free a moment ago. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({ length: count }, openAnyPort));
  const ports = servers.map((server) => {
    const address = server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  });
  await Promise.all(servers.map(closeServer));
  return ports;
}

function openAnyPort(): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => {
      resolve(server);
    });
  });
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
  });
}

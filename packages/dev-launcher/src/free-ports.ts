/**
 * Allocates loopback ports for development clusters, below the ephemeral port range of the system.
 * A process reserves a block of ports by listening on the first port of the block.
 */
import { createServer, type Server } from 'node:net';

const FIRST_PORT = 12_000;
const PORTS_PER_BLOCK = 100;
const BLOCK_COUNT = 200;

/**
 * Reserves `count` ports until this process exits.
 *
 * @throws if fewer than `count` ports are free in the blocks that no other process has reserved
 * @example
 * const ports = await reservePorts(21);
 */
export async function reservePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  const firstBlock = process.pid % BLOCK_COUNT;
  for (let blockOffset = 0; blockOffset < BLOCK_COUNT && ports.length < count; blockOffset += 1) {
    const block = (firstBlock + blockOffset) % BLOCK_COUNT;
    ports.push(...(await reservePortBlock(FIRST_PORT + block * PORTS_PER_BLOCK)));
  }
  if (ports.length < count)
    throw new Error(`fewer than ${count} development cluster ports are free`);
  return ports.slice(0, count);
}

/** Reserves a block and returns its free ports; empty if another process has reserved the block. */
async function reservePortBlock(firstPort: number): Promise<number[]> {
  const blockServer = await tryListen(firstPort);
  if (!blockServer) return [];
  blockServer.unref();
  const ports: number[] = [];
  for (let port = firstPort + 1; port < firstPort + PORTS_PER_BLOCK; port += 1) {
    const server = await tryListen(port);
    if (!server) continue;
    ports.push(port);
    await closeServer(server);
  }
  return ports;
}

function tryListen(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(undefined);
    });
    server.listen(port, '127.0.0.1', () => {
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

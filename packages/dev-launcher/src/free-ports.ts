/**
 * Ports for development clusters on loopback. They come from below the range that the system takes
 * outgoing ports from, in blocks that a process holds on to by listening on the block's first port.
 */
import { createServer, type Server } from 'node:net';

const FIRST_PORT = 12_000;
const BLOCK_PORTS = 100;
const BLOCK_COUNT = 200;

/**
 * Reserves `count` ports for as long as this process runs.
 *
 * @throws when no block is left, or the machine uses ports of each block for something else
 * @example
 * const ports = await reservePorts(21);
 */
export async function reservePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  const firstBlock = process.pid % BLOCK_COUNT;
  for (let step = 0; step < BLOCK_COUNT && ports.length < count; step += 1) {
    const block = (firstBlock + step) % BLOCK_COUNT;
    ports.push(...(await reserveBlock(FIRST_PORT + block * BLOCK_PORTS)));
  }
  if (ports.length < count) throw new Error(`fewer than ${count} ports are free`);
  return ports.slice(0, count);
}

/** The free ports of a block, or none when another process holds it. */
async function reserveBlock(firstPort: number): Promise<number[]> {
  const holder = await listenOn(firstPort);
  if (!holder) return [];
  holder.unref();
  const ports: number[] = [];
  for (let port = firstPort + 1; port < firstPort + BLOCK_PORTS; port += 1) {
    const server = await listenOn(port);
    if (!server) continue;
    ports.push(port);
    await closeServer(server);
  }
  return ports;
}

function listenOn(port: number): Promise<Server | undefined> {
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

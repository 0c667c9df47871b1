/**
 * Memory and processor time of an entry by its number of idle connections, and of the group owner
 * without caller connections. With no connections, the result is its cost for control alone.
 */
import { createConnection, type Socket } from 'node:net';
import { serialize } from 'pg-protocol';
import type { Cluster } from '@bramleykeel/dev-launcher';
import { delay, GROUP, findOwnerIndex, processIdOf, withCluster } from './bench-cluster.js';
import { cpuPercent, readUsage } from './process-usage.js';

const CONNECTION_COUNTS = [0, 500, 1_500, 3_300];
const OPEN_BATCH_SIZE = 50;

export function measureConnections(durationMs: number) {
  const extraEntryToml = '';
  return withCluster({ extraEntryToml }, async (cluster) => {
    const owner = await findOwnerIndex(cluster);
    const entry = (owner + 1) % cluster.plan.entries.length;
    const name = cluster.plan.entries[entry]?.id ?? '';
    const sockets: Socket[] = [];
    const rows = [];
    for (const count of CONNECTION_COUNTS) {
      while (sockets.length < count) {
        const batchSize = Math.min(OPEN_BATCH_SIZE, count - sockets.length);
        const opened = Array.from({ length: batchSize }, () => openIdleSession(cluster, entry));
        sockets.push(...(await Promise.all(opened)));
      }
      await delay(1_000);
      rows.push({ entry: name, ...(await measureIdleUsage(cluster, name, count, durationMs)) });
    }
    for (const socket of sockets) socket.destroy();
    const ownerName = cluster.plan.entries[owner]?.id ?? '';
    rows.push({
      entry: `${ownerName} (owner)`,
      ...(await measureIdleUsage(cluster, ownerName, 0, durationMs)),
    });
    return rows;
  });
}

/** Opens an authenticated session and leaves it idle. */
function openIdleSession(cluster: Cluster, entryIndex: number): Promise<Socket> {
  const port = cluster.plan.entries[entryIndex]?.callerPort ?? 0;
  const key = cluster.plan.keys.get('tuulgan') ?? '';
  const socket = createConnection(port, '127.0.0.1');
  return new Promise((resolve, reject) => {
    socket.once('error', reject);
    socket.once('connect', () => {
      socket.write(serialize.startup({ user: 'tuulgan', database: GROUP }));
    });
    socket.once('data', () => {
      socket.once('data', () => {
        resolve(socket);
      });
      socket.write(serialize.password(key));
    });
  });
}

async function measureIdleUsage(
  cluster: Cluster,
  name: string,
  connections: number,
  durationMs: number,
) {
  const pid = processIdOf(cluster, name);
  const before = readUsage(pid);
  const startMs = performance.now();
  await delay(durationMs);
  const after = readUsage(pid);
  return {
    connections,
    residentMb: Math.round(after.residentBytes / 104_857.6) / 10,
    cpuPercent: Math.round(cpuPercent(before, after, performance.now() - startMs) * 100) / 100,
  };
}

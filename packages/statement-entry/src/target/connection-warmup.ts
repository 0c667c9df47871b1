/** Opens connections for customers before their first statement waits for one. */
import { hasConnectionLeft, openConnection, releaseConnection } from './connection-pool.js';
import type { ServerState, StatementOwner } from '../owner/owner-state.js';

/** Share of a server's connections that is opened ahead; the rest follows demand. */
const WARM_SHARE = 0.5;

const warming = new WeakSet<ServerState>();

/**
 * Opens at most one connection to each server that has a slot to spare: opening one occupies a slot.
 * Customers with the highest rates come first.
 */
export async function warmConnections(owner: StatementOwner): Promise<void> {
  if (owner.isStopping) return;
  await Promise.all([...owner.servers.values()].map((server) => warmServer(owner, server)));
}

async function warmServer(owner: StatementOwner, server: ServerState): Promise<void> {
  const { announcement, connectionCount, connectedCustomers } = server;
  const isSpare = server.runningCount + 1 < announcement.slots;
  const isUsable = server.failingSinceMs === undefined && !announcement.isLeaving;
  const limit = owner.pools.maxConnections(server) * WARM_SHARE;
  if (!isSpare || !isUsable || warming.has(server) || connectionCount >= limit) return;
  const next = owner.environment.customers().find((name) => !connectedCustomers.has(name));
  if (next === undefined || !hasConnectionLeft(owner.pools, server)) return;
  warming.add(server);
  const pooled = await openConnection(owner.pools, server, next);
  warming.delete(server);
  if (pooled) releaseConnection(pooled);
}

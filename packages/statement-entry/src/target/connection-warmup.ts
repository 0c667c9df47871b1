/** Opens connections for customers in advance, so that their first statement does not wait for one. */
import { hasAvailableConnection, openConnection, releaseConnection } from './connection-pool.js';
import type { ServerState, StatementOwner } from '../owner/owner-state.js';
import { isEvacuated } from '../owner/placement.js';

/** Share of a server's connections that may be opened in advance; the rest are opened on demand. */
const WARM_UP_SHARE = 0.5;

const serversBeingWarmed = new WeakSet<ServerState>();

/**
 * Opens at most one connection to each server that has a spare slot, because opening one occupies a slot.
 * Starts with the customers that have the highest rates.
 */
export async function warmUpConnections(owner: StatementOwner): Promise<void> {
  if (owner.isStopping) return;
  await Promise.all([...owner.servers.values()].map((server) => warmUpServer(owner, server)));
}

async function warmUpServer(owner: StatementOwner, server: ServerState): Promise<void> {
  const { announcement, connectionCount, connectedCustomers } = server;
  const hasSpareSlot = server.runningCount + 1 < announcement.slots;
  const isUsable =
    server.failingSinceMs === undefined && !announcement.isLeaving && !isEvacuated(owner, server);
  const limit = owner.pools.maxConnections(server) * WARM_UP_SHARE;
  if (!hasSpareSlot || !isUsable || serversBeingWarmed.has(server) || connectionCount >= limit)
    return;
  const next = owner.environment.customers().find((name) => !connectedCustomers.has(name));
  if (next === undefined || !hasAvailableConnection(owner.pools, server)) return;
  serversBeingWarmed.add(server);
  const pooled = await openConnection(owner.pools, server, next);
  serversBeingWarmed.delete(server);
  if (pooled) releaseConnection(pooled);
}

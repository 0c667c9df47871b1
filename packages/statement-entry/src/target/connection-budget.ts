/** The connections that an owner may have open to each server of its group. */
import { areFormerConnectionsClosed, connectionLimit, usableConnections } from '@bramleykeel/core';
import type { ServerState, StatementOwner } from '../owner/owner-state.js';

export const DEFAULT_MAX_CONNECTIONS = 20;
/**
 * Time after a promotion in which a reader that does not answer may still have connections to the new primary, in
 * milliseconds; longer than the freezes and cuts at the users' sites.
 */
const READER_CONNECTIONS_MS = 10_000;

/**
 * Maximum number of open connections of an owner to one server, including idle ones.
 *
 * @example
 * const limit = maxOwnerConnections(owner, server);
 */
export function maxOwnerConnections(owner: StatementOwner, server: ServerState): number {
  const { environment } = owner;
  const { slots } = server.announcement;
  const maxConnections = environment.groupSettings()?.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
  const former = environment.formerOwner();
  const isSettled = former !== undefined && areFormerConnectionsClosed(former);
  const part = mayReaderUse(owner, server) ? 'owner-beside-reader' : 'owner';
  const limit = connectionLimit({ maxConnections, slots }, part, isSettled);
  if (isSettled || part !== 'owner' || server.otherConnections === undefined) return limit;
  // Former owners open no connections any more, so what the server has left can be used.
  const settledLimit = connectionLimit({ maxConnections, slots }, part, true);
  const freeConnections = usableConnections(maxConnections) - server.otherConnections;
  return Math.max(limit, Math.min(settledLimit, freeConnections));
}

/** Whether the reader of the server's region may have connections to it. */
export function mayReaderUse(owner: StatementOwner, server: ServerState): boolean {
  const { environment, readerRegions, leadership } = owner;
  const { server: name, zone, role } = server.announcement;
  const region = environment.regionOf(zone);
  if (!readerRegions.has(region) && !environment.readerIn(region)) return false;
  const isPrimary = role === 'primary' || (leadership.kind === 'led' && leadership.server === name);
  if (!isPrimary) return true;
  const isRecent = performance.now() - owner.lastPromotionMs < READER_CONNECTIONS_MS;
  return isRecent && !owner.releasedByReader.has(name);
}

/** Pools connections to the servers of a group, with a connection limit for each server. */
import { type CustomerName, type GroupName, latestPosition } from '@bramleykeel/core';
import type { Counters } from '@bramleykeel/link';
import { match } from 'ts-pattern';
import type { PooledConnection, ServerState } from '../owner/owner-state.js';
import type { OpenTarget, TargetConnection, TargetRefusal } from '../types/target-port.js';

export interface PoolContext {
  readonly group: GroupName;
  readonly openTarget: OpenTarget;
  readonly counters: Counters;
  /** Maximum number of open connections to the server, including idle ones. */
  readonly maxConnections: (server: ServerState) => number;
}

export type AcquiredConnection =
  | { readonly kind: 'acquired'; readonly pooled: PooledConnection }
  | { readonly kind: 'unavailable' };

/** How a connection to a server failed. */
export type ConnectionFailure = 'unreachable' | 'silent' | 'closed';

/**
 * Timeout for opening a connection, in milliseconds: ten times the connection time of the users' servers,
 * and two round trips between regions.
 */
const OPEN_TIMEOUT_MS = 400;
/** Pause after a server refused a connection because its limit is reached, in milliseconds. */
const FULL_SERVER_BACKOFF_MS = 40;
/** A connection with more prepared statements is closed instead of reused, to limit the server's memory. */
const MAX_PREPARED_STATEMENTS = 256;

/** Whether a statement of any customer can get a connection now, by reusing, replacing or opening one. */
export function hasAvailableConnection(pools: PoolContext, server: ServerState): boolean {
  return server.idle.length > 0 || server.connectionCount < pools.maxConnections(server);
}

/**
 * Takes an idle connection of the customer, preferably one whose session values match `valuesKey`, or opens
 * a new one. At the connection limit, closes idle connections of other customers first.
 */
export async function acquireConnection(
  pools: PoolContext,
  server: ServerState,
  customer: CustomerName,
  valuesKey: string,
): Promise<AcquiredConnection> {
  closeIdleConnections(server, ({ connection }) => !connection.isOpen());
  const reusable = takeIdleConnection(server, customer, valuesKey);
  if (reusable) return { kind: 'acquired', pooled: reusable };
  evictIdleConnections(pools, server);
  if (server.connectionCount >= pools.maxConnections(server)) return { kind: 'unavailable' };
  const pooled = await openConnection(pools, server, customer);
  return pooled ? { kind: 'acquired', pooled } : { kind: 'unavailable' };
}

/** Closes idle connections, oldest first, until one more may be opened. The limit may have been lowered. */
function evictIdleConnections(pools: PoolContext, server: ServerState): void {
  while (server.idle.length > 0 && server.connectionCount >= pools.maxConnections(server)) {
    const [oldest] = server.idle;
    closeIdleConnections(server, (idle) => idle === oldest);
    pools.counters.count('target.connection-replaced');
  }
}

/** Closes idle connections in excess of the limit, which may have been lowered. */
export function closeExcessIdleConnections(pools: PoolContext, server: ServerState): void {
  const excess = server.connectionCount - pools.maxConnections(server);
  if (excess <= 0) return;
  const oldest = new Set(server.idle.slice(0, excess));
  closeIdleConnections(server, (idle) => oldest.has(idle));
}

function takeIdleConnection(
  { idle }: ServerState,
  customer: CustomerName,
  valuesKey: string,
): PooledConnection | undefined {
  const isOfCustomer = ({ connection }: PooledConnection) => connection.customer === customer;
  const exactIndex = idle.findLastIndex(
    (each) => isOfCustomer(each) && each.valuesKey === valuesKey,
  );
  const index = exactIndex === -1 ? idle.findLastIndex(isOfCustomer) : exactIndex;
  return index === -1 ? undefined : idle.splice(index, 1)[0];
}

/** Opens a connection for a customer; `undefined` if that fails or the server refuses it. */
export async function openConnection(
  pools: PoolContext,
  server: ServerState,
  customer: CustomerName,
): Promise<PooledConnection | undefined> {
  const { address, server: name } = server.announcement;
  server.connectionCount += 1;
  server.connectedCustomers.add(customer);
  pools.counters.count('target.connection-opened');
  const startedAtMs = performance.now();
  const { group } = pools;
  const opened = await pools.openTarget({
    address,
    group,
    server: name,
    customer,
    timeoutMs: OPEN_TIMEOUT_MS,
  });
  return match(opened)
    .with({ kind: 'open' }, ({ connection, position }) => {
      recordAnswer(server);
      if (position) server.position = latestPosition(server.position, position);
      return createPooledConnection(server, connection);
    })
    .with({ kind: 'refused' }, ({ code }) => {
      server.connectionCount -= 1;
      recordOpenRefusal(pools, server, code);
      return undefined;
    })
    .with({ kind: 'failed' }, ({ why }) => {
      server.connectionCount -= 1;
      pools.counters.count(`target.open-${why}`);
      recordFailure(server, why, startedAtMs);
      return undefined;
    })
    .exhaustive();
}

function createPooledConnection(
  server: ServerState,
  connection: TargetConnection,
): PooledConnection {
  const nowMs = performance.now();
  return {
    connection,
    server,
    openedAtMs: nowMs,
    values: {},
    valuesKey: '',
    prepared: new Set(),
    lastUsedMs: nowMs,
    isDiscarded: false,
  };
}

function recordOpenRefusal(pools: PoolContext, server: ServerState, code: TargetRefusal): void {
  const nowMs = performance.now();
  pools.counters.count(`target.open-${code}`);
  // Another server now uses the address, so the announced one no longer exists.
  if (code === 'misrouted') recordFailure(server, 'unreachable', nowMs);
  else server.busyUntilMs = Math.max(server.busyUntilMs, nowMs + FULL_SERVER_BACKOFF_MS);
}

/** Returns a connection to the pool. It must have no unanswered order and no open transaction. */
export function releaseConnection(pooled: PooledConnection): void {
  const { server, connection, prepared } = pooled;
  if (pooled.isDiscarded) return;
  if (server.isRetired || !connection.isOpen() || prepared.size > MAX_PREPARED_STATEMENTS) {
    discardConnection(pooled);
    return;
  }
  pooled.lastUsedMs = performance.now();
  server.idle.push(pooled);
}

/** Closes a connection instead of reusing it; the server rolls back its open transaction, if any. */
export function discardConnection(pooled: PooledConnection): void {
  if (pooled.isDiscarded) return;
  pooled.isDiscarded = true;
  pooled.server.connectionCount -= 1;
  pooled.connection.close();
}

/** Closes the idle connections that match. */
export function closeIdleConnections(
  server: ServerState,
  isMatch: (pooled: PooledConnection) => boolean,
): void {
  const closed = server.idle.filter(isMatch);
  if (closed.length === 0) return;
  const kept = server.idle.filter((pooled) => !closed.includes(pooled));
  server.idle.splice(0, server.idle.length, ...kept);
  for (const pooled of closed) discardConnection(pooled);
}

/** Closes the idle connections; those in use are closed when they are released. */
export function retireServer(server: ServerState): void {
  server.isRetired = true;
  closeIdleConnections(server, () => true);
}

/** Records an answer of the server and clears its earlier failures. */
export function recordAnswer(server: ServerState): void {
  server.isVerified = true;
  server.failingSinceMs = undefined;
  server.refusedCount = 0;
  server.lastAnswerMs = performance.now();
}

/**
 * Records that a connection failed.
 *
 * @param sinceMs start of the failed attempt, by the monotonic clock
 */
export function recordFailure(server: ServerState, why: ConnectionFailure, sinceMs: number): void {
  server.failingSinceMs ??= sinceMs;
  if (why === 'unreachable') server.refusedCount += 1;
}

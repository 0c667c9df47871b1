/** Connections to the servers of a group, kept for reuse and bounded for each server. */
import { type CustomerName, type GroupName, latestPosition } from '@bramleykeel/core';
import type { Counters } from '@bramleykeel/link';
import { match } from 'ts-pattern';
import type { PooledConnection, ServerState } from '../owner/owner-state.js';
import type { OpenTarget, TargetConnection, TargetRefusal } from '../types/target-port.js';

export interface PoolContext {
  readonly group: GroupName;
  readonly openTarget: OpenTarget;
  readonly counters: Counters;
  /** Connections that may be open to the server, idle ones included. */
  readonly maxConnections: (server: ServerState) => number;
}

export type AcquiredConnection =
  | { readonly kind: 'acquired'; readonly pooled: PooledConnection }
  | { readonly kind: 'unavailable' };

/** How a connection to a server failed. */
export type ConnectionFailure = 'unreachable' | 'silent' | 'closed';

/**
 * A new connection that is not answered in this time has failed, in milliseconds: ten times what the
 * users' servers take for one, and two round trips between regions.
 */
const OPEN_TIMEOUT_MS = 400;
/** A server that has no connection left is not asked for another one for this time, in milliseconds. */
const FULL_PAUSE_MS = 40;
/** A connection with more prepared names than this is not used again, to bound the server's memory. */
const MAX_PREPARED = 256;

/** Whether a statement of some customer could get a connection now, by one that is idle or new. */
export function hasConnectionLeft(pools: PoolContext, server: ServerState): boolean {
  return server.idle.length > 0 || server.connectionCount < pools.maxConnections(server);
}

/**
 * Takes an idle connection of the customer, those with the wanted values first, or opens one. At the
 * bound an idle connection of another customer makes room.
 */
export async function acquireConnection(
  pools: PoolContext,
  server: ServerState,
  customer: CustomerName,
  valuesKey: string,
): Promise<AcquiredConnection> {
  dropIdle(server, ({ connection }) => !connection.isOpen());
  const kept = takeIdle(server, customer, valuesKey);
  if (kept) return { kind: 'acquired', pooled: kept };
  makeRoom(pools, server);
  if (server.connectionCount >= pools.maxConnections(server)) return { kind: 'unavailable' };
  const pooled = await openConnection(pools, server, customer);
  return pooled ? { kind: 'acquired', pooled } : { kind: 'unavailable' };
}

/** Closes idle connections, oldest first, until one more can be opened; the bound may have fallen. */
function makeRoom(pools: PoolContext, server: ServerState): void {
  while (server.idle.length > 0 && server.connectionCount >= pools.maxConnections(server)) {
    const [oldest] = server.idle;
    dropIdle(server, (idle) => idle === oldest);
    pools.counters.count('target.connection-replaced');
  }
}

/** Closes idle connections beyond a bound that has fallen. */
export function trimIdle(pools: PoolContext, server: ServerState): void {
  const excess = server.connectionCount - pools.maxConnections(server);
  if (excess <= 0) return;
  const oldest = new Set(server.idle.slice(0, excess));
  dropIdle(server, (idle) => oldest.has(idle));
}

function takeIdle(
  { idle }: ServerState,
  customer: CustomerName,
  valuesKey: string,
): PooledConnection | undefined {
  const isOwn = ({ connection }: PooledConnection) => connection.customer === customer;
  const exact = idle.findLastIndex((each) => isOwn(each) && each.valuesKey === valuesKey);
  const index = exact === -1 ? idle.findLastIndex(isOwn) : exact;
  return index === -1 ? undefined : idle.splice(index, 1)[0];
}

/** Opens a connection for a customer; `undefined` when the server does not take it. */
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
      noteAnswer(server);
      if (position) server.position = latestPosition(server.position, position);
      return createPooled(server, connection);
    })
    .with({ kind: 'refused' }, ({ code }) => {
      server.connectionCount -= 1;
      noteOpenRefusal(pools, server, code);
      return undefined;
    })
    .with({ kind: 'failed' }, ({ why }) => {
      server.connectionCount -= 1;
      pools.counters.count(`target.open-${why}`);
      noteFailure(server, why, startedAtMs);
      return undefined;
    })
    .exhaustive();
}

function createPooled(server: ServerState, connection: TargetConnection): PooledConnection {
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

function noteOpenRefusal(pools: PoolContext, server: ServerState, code: TargetRefusal): void {
  const nowMs = performance.now();
  pools.counters.count(`target.open-${code}`);
  // Another server has taken the address over: the one that was announced is gone.
  if (code === 'misrouted') noteFailure(server, 'unreachable', nowMs);
  else server.busyUntilMs = Math.max(server.busyUntilMs, nowMs + FULL_PAUSE_MS);
}

/** Gives a connection back whose server has answered everything and holds no transaction. */
export function releaseConnection(pooled: PooledConnection): void {
  const { server, connection, prepared } = pooled;
  if (pooled.isDiscarded) return;
  if (server.isRetired || !connection.isOpen() || prepared.size > MAX_PREPARED) {
    discardConnection(pooled);
    return;
  }
  pooled.lastUsedMs = performance.now();
  server.idle.push(pooled);
}

/** Closes a connection that is in use: what its server still holds for it is rolled back. */
export function discardConnection(pooled: PooledConnection): void {
  if (pooled.isDiscarded) return;
  pooled.isDiscarded = true;
  pooled.server.connectionCount -= 1;
  pooled.connection.close();
}

/** Closes the idle connections that match. */
export function dropIdle(
  server: ServerState,
  isDropped: (pooled: PooledConnection) => boolean,
): void {
  const dropped = server.idle.filter(isDropped);
  if (dropped.length === 0) return;
  const kept = server.idle.filter((pooled) => !dropped.includes(pooled));
  server.idle.splice(0, server.idle.length, ...kept);
  for (const pooled of dropped) discardConnection(pooled);
}

/** Closes what is idle, and sees to it that connections in use are closed when they come back. */
export function retireServer(server: ServerState): void {
  server.isRetired = true;
  dropIdle(server, () => true);
}

/** The server has answered something: whatever failed before is over. */
export function noteAnswer(server: ServerState): void {
  server.failingSinceMs = undefined;
  server.refusedCount = 0;
  server.lastAnswerMs = performance.now();
}

/**
 * Notes that a connection failed.
 *
 * @param sinceMs when the attempt began that failed, by the steady clock
 */
export function noteFailure(server: ServerState, why: ConnectionFailure, sinceMs: number): void {
  server.failingSinceMs ??= sinceMs;
  if (why === 'unreachable') server.refusedCount += 1;
}

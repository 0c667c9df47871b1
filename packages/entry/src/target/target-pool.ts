/** Connection pool and slots of one target server, used by the owner of its group. */
import type { Announcement, LogPosition } from '@bramleykeel/core';
import {
  closeConnection,
  type ConnectFailure,
  type ConnectOutcome,
  connectTarget,
  type OutOfStepReport,
  runInternalQuery,
  type TargetConnection,
  type TargetCredentials,
} from './target-connection.js';

export interface PoolOptions {
  readonly credentials: TargetCredentials;
  readonly connectTimeoutMs: number;
  /** Connections that were idle for this long are checked before they are used again. */
  readonly idleCheckMs: number;
}

interface IdleConnection {
  readonly connection: TargetConnection;
  readonly idleSinceMs: number;
}

export interface TargetPool {
  readonly options: PoolOptions;
  readonly address: string;
  slots: number;
  maxConnections: number;
  runningCount: number;
  openingCount: number;
  readonly idle: IdleConnection[];
  readonly inUse: Set<TargetConnection>;
  isClosed: boolean;
  /** Called with the log position that a new connection reported. */
  onPosition: (position: LogPosition) => void;
  /** Called when a connection attempt failed. */
  onConnectFailed: (failure: ConnectFailure) => void;
  /** Called when a connection was closed because its server sent what it was not asked for. */
  onOutOfStep: (report: OutOfStepReport) => void;
}

/**
 * An owner uses half of a server's connections. The other half is left for connections of a
 * previous owner that the server may not have closed yet, so that both stay within the limit.
 */
const OWNER_CONNECTION_SHARE = 0.5;
const IDLE_CHECK_TIMEOUT_MS = 400;

export function ownerConnectionLimit(announcedConnections: number): number {
  return Math.max(1, Math.floor(announcedConnections * OWNER_CONNECTION_SHARE));
}

export function createTargetPool(announcement: Announcement, options: PoolOptions): TargetPool {
  return {
    options,
    address: announcement.address,
    slots: announcement.slots,
    maxConnections: ownerConnectionLimit(announcement.connections),
    runningCount: 0,
    openingCount: 0,
    idle: [],
    inUse: new Set(),
    isClosed: false,
    onPosition: () => undefined,
    onConnectFailed: () => undefined,
    onOutOfStep: () => undefined,
  };
}

/** Applies the limits of a newer announcement. */
export function updateLimits(pool: TargetPool, announcement: Announcement): void {
  pool.slots = announcement.slots;
  pool.maxConnections = ownerConnectionLimit(announcement.connections);
}

function openConnections(pool: TargetPool): number {
  return pool.idle.length + pool.inUse.size + pool.openingCount;
}

/** Number of requests that could start on the server now, limited by slots and connections. */
export function freeSlots(pool: TargetPool): number {
  const spareConnections = pool.maxConnections - openConnections(pool) + pool.idle.length;
  return Math.min(pool.slots - pool.runningCount, spareConnections);
}

export type AcquireOutcome =
  | { readonly kind: 'acquired'; readonly connection: TargetConnection }
  | { readonly kind: 'failed'; readonly failure: ConnectFailure };

/** Acquires an idle connection, checked if it was idle for `idleCheckMs`, or opens a new one. */
export async function acquireConnection(pool: TargetPool): Promise<AcquireOutcome> {
  for (let idle = pool.idle.pop(); idle; idle = pool.idle.pop()) {
    const { connection, idleSinceMs } = idle;
    if (connection.isClosed) continue;
    pool.inUse.add(connection);
    const isFresh = performance.now() - idleSinceMs < pool.options.idleCheckMs;
    if (isFresh || (await passesIdleCheck(connection))) return { kind: 'acquired', connection };
    discardConnection(pool, connection);
  }
  return openConnection(pool);
}

/** Checks a connection with an empty query, which any live server answers without running anything. */
async function passesIdleCheck(connection: TargetConnection): Promise<boolean> {
  const outcome = await runInternalQuery(connection, '', IDLE_CHECK_TIMEOUT_MS);
  return outcome.kind === 'done' && outcome.status === 'idle';
}

function connect(pool: TargetPool): Promise<ConnectOutcome> {
  const { credentials, connectTimeoutMs } = pool.options;
  return connectTarget(pool.address, credentials, connectTimeoutMs, (report) => {
    pool.onOutOfStep(report);
  });
}

async function openConnection(pool: TargetPool): Promise<AcquireOutcome> {
  pool.openingCount += 1;
  const outcome = await connect(pool);
  pool.openingCount -= 1;
  if (outcome.kind === 'failed') {
    pool.onConnectFailed(outcome.failure);
    return outcome;
  }
  const { connection, position } = outcome;
  if (pool.isClosed) {
    closeConnection(connection);
    return { kind: 'failed', failure: { kind: 'lost' } };
  }
  if (position) pool.onPosition(position);
  pool.inUse.add(connection);
  return { kind: 'acquired', connection };
}

/** Returns a connection to the pool; it must be idle with no answer outstanding. */
export function releaseConnection(pool: TargetPool, connection: TargetConnection): void {
  pool.inUse.delete(connection);
  connection.consumer = undefined;
  if (connection.isClosed || pool.isClosed) {
    closeConnection(connection);
    return;
  }
  pool.idle.push({ connection, idleSinceMs: performance.now() });
}

/** Closes a connection that is in an unknown state or no longer needed. */
export function discardConnection(pool: TargetPool, connection: TargetConnection): void {
  pool.inUse.delete(connection);
  closeConnection(connection);
}

/**
 * Opens one connection in advance, up to the number of slots and within the connection limit. Does
 * nothing while another one is opening.
 */
export async function warmPool(pool: TargetPool): Promise<void> {
  const desiredCount = Math.min(pool.slots, pool.maxConnections);
  if (pool.isClosed || pool.openingCount > 0 || openConnections(pool) >= desiredCount) return;
  const outcome = await openConnection(pool);
  if (outcome.kind === 'acquired') releaseConnection(pool, outcome.connection);
}

/** Closes the pool and its idle connections; connections in use are closed by their requests. */
export function closePool(pool: TargetPool): void {
  pool.isClosed = true;
  for (const { connection } of pool.idle.splice(0)) closeConnection(connection);
}

/**
 * Queries over a new connection whether the server is still running a request of the connection
 * with the given `processId`. `idle` means that it has already answered and the answer was lost.
 */
export async function checkServerActivity(
  pool: TargetPool,
  processId: number,
): Promise<'working' | 'idle' | 'unreachable'> {
  const outcome = await connect(pool);
  if (outcome.kind === 'failed') return 'unreachable';
  const { connection } = outcome;
  const text = `SELECT state FROM pg_stat_activity WHERE pid = ${processId}`;
  const answer = await runInternalQuery(connection, text, pool.options.connectTimeoutMs);
  closeConnection(connection);
  if (answer.kind !== 'done') return 'unreachable';
  return answer.rows[0] === 'active' ? 'working' : 'idle';
}

/** Runs reads on pooled connections to replicas, and records what their answers say about the replica. */
import type { LogPosition, StatementOutcome } from '@bramleykeel/core';
import type { StatementDraft } from '../locate/owner-client.js';
import type { PooledConnection, ServerState } from '../owner/owner-state.js';
import {
  acquireConnection,
  closeIdleConnections,
  discardConnection,
  type PoolContext,
  releaseConnection,
} from '../target/connection-pool.js';
import {
  recordSetup,
  setupOrders,
  statementOrder,
  valuesKeyOf,
} from '../target/connection-setup.js';
import { sendMeasured } from '../target/measured-order.js';
import type { TargetAnswer } from '../types/target-port.js';
import type { ReadAttempt } from './read-attempt.js';

/** The replicas of a group in the region of its reader. */
export interface ReplicaPlace {
  readonly pools: PoolContext;
  /** When connections to a server broke, unless an offer that was requested later lists the server again. */
  readonly brokenAtMs: Map<ServerState, number>;
  /** Whether nothing starts on a server, because its zone is evacuated. */
  readonly isEvacuated: (server: ServerState) => boolean;
}

export interface ReplicaRead {
  readonly draft: StatementDraft;
  /** Whether the read may run on a server by the homes in force. */
  readonly isHomeNow: (server: ServerState) => boolean;
  /** The log position that the read has to see. */
  readonly after: LogPosition;
  readonly deadlineMs: number;
  /** Records how far the read got. */
  readonly attempt: ReadAttempt;
}

const BUSY_PAUSE_MS = 30;
const LAGGING_PAUSE_MS = 60;
/** Fraction of a statement's remaining time that the replica gets; after that the owner runs it. */
const REPLICA_TIMEOUT_FRACTION = 0.5;
const SETUP_TIMEOUT_MS = 300;

/**
 * Runs a read at a replica.
 *
 * @returns `undefined` if the owner has to run it
 */
export async function runOnReplica(
  place: ReplicaPlace,
  server: ServerState,
  { draft, isHomeNow, after, deadlineMs, attempt }: ReplicaRead,
): Promise<StatementOutcome | undefined> {
  const valuesKey = valuesKeyOf(draft.values);
  if (server.failingSinceMs !== undefined) server.failingSinceMs = undefined;
  const acquired = await acquireConnection(place.pools, server, draft.customer, valuesKey);
  if (acquired.kind === 'unavailable') {
    recordIfBroken(place, server);
    return undefined;
  }
  const { pooled } = acquired;
  // An order or other homes may have arrived while the connection was being opened.
  if (place.isEvacuated(server) || !isHomeNow(server)) {
    releaseConnection(pooled);
    return undefined;
  }
  attempt.hasReachedTarget = true;
  for (const order of setupOrders({ ...draft, valuesKey }, pooled, undefined)) {
    const setupAnswer = await pooled.connection.send(order, SETUP_TIMEOUT_MS);
    if (setupAnswer.kind !== 'done') {
      discardAfter(place, server, pooled, setupAnswer);
      return undefined;
    }
    recordSetup(pooled, order);
  }
  if (!isHomeNow(server)) {
    releaseConnection(pooled);
    return undefined;
  }
  const remainingMs = deadlineMs - performance.now();
  attempt.mayHaveRun = true;
  const answer = await sendMeasured(
    pooled,
    statementOrder(draft, after),
    'read',
    remainingMs * REPLICA_TIMEOUT_FRACTION,
  );
  attempt.mayHaveRun = answer.kind !== 'refused';
  place.pools.counters.count(`near.${answer.kind}`);
  return settleRead(place, server, pooled, answer);
}

function settleRead(
  place: ReplicaPlace,
  server: ServerState,
  pooled: PooledConnection,
  answer: TargetAnswer,
): StatementOutcome | undefined {
  if (answer.kind === 'done') {
    releaseConnection(pooled);
    const { rows, signature, position } = answer;
    return { kind: 'done', rows, signature, position, isFromReplica: true };
  }
  discardAfter(place, server, pooled, answer);
  return answer.kind === 'failed' ? { kind: 'failed', text: answer.text } : undefined;
}

/** Closes a connection after any answer but success, and records what that tells of the replica. */
function discardAfter(
  place: ReplicaPlace,
  server: ServerState,
  pooled: PooledConnection,
  answer: TargetAnswer,
): void {
  if (answer.kind === 'lost' || answer.kind === 'overdue') {
    handleBrokenConnection(place, server, pooled);
    return;
  }
  discardConnection(pooled);
  if (answer.kind !== 'refused') return;
  const nowMs = performance.now();
  if (answer.code === 'busy') server.busyUntilMs = nowMs + BUSY_PAUSE_MS;
  if (answer.code === 'lagging') server.laggingUntilMs = nowMs + LAGGING_PAUSE_MS;
}

function recordIfBroken({ brokenAtMs }: ReplicaPlace, server: ServerState): void {
  if (server.failingSinceMs !== undefined) brokenAtMs.set(server, performance.now());
}

/** Closes the connection and the server's idle ones, which may be broken as well. */
function handleBrokenConnection(
  { brokenAtMs }: ReplicaPlace,
  server: ServerState,
  pooled: PooledConnection,
): void {
  server.failingSinceMs = performance.now();
  brokenAtMs.set(server, server.failingSinceMs);
  discardConnection(pooled);
  closeIdleConnections(server, () => true);
}

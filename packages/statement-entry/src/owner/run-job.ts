/** Runs a statement on a pooled connection or on the connection of its transaction. */
import {
  fateKeyOf,
  type LogPosition,
  recordFinished,
  recordStarted,
  requiredPosition,
} from '@bramleykeel/core';
import {
  acquireConnection,
  discardConnection,
  recordAnswer,
  releaseConnection,
} from '../target/connection-pool.js';
import {
  type BeginOrder,
  recordSetup,
  setupOrders,
  statementOrder,
} from '../target/connection-setup.js';
import { sendMeasured } from '../target/measured-order.js';
import type { TargetAnswer, TargetOrder } from '../types/target-port.js';
import { endJob, notRun } from './end-job.js';
import { requeueJob } from './job-queue.js';
import {
  type Job,
  type OpenTransaction,
  type PooledConnection,
  type ServerState,
  type StatementOwner,
} from './owner-state.js';
import { homesOf, isEvacuated, isHomeOf } from './placement.js';
import {
  ANSWER_MARGIN_MS,
  handleBrokenConnection,
  handleRefusal,
  leadershipNumberOf,
  recordSuccessfulAnswer,
  requeueUnprepared,
  settleStatement,
  settleTransactionStatement,
} from './settle-answer.js';
import { dropTransaction } from './transactions.js';

/** Timeout of each order that prepares a connection for a statement, in milliseconds. */
const SETUP_TIMEOUT_MS = 600;
/** A write or commit unanswered for this long may be waiting for an unreachable replica. In milliseconds. */
const STALLED_WRITE_MS = 600;

/** Runs a statement on `server`, or on the connection of its transaction if that has one. */
export async function runJob(
  owner: StatementOwner,
  job: Job,
  server: ServerState | undefined,
): Promise<void> {
  const { transaction } = job;
  const startedAtMs = performance.now();
  owner.running.add(job);
  if (server) server.runningCount += 1;
  try {
    if (transaction?.pooled) await runInTransaction(owner, job, transaction, transaction.pooled);
    else if (job.request.transaction && !job.request.transaction.isFirst)
      endWithoutTransaction(owner, job);
    else if (server) await runOnPooledConnection(owner, job, server);
    else endJob(owner, job, notRun('queue-timeout'));
  } finally {
    // A commit whose acknowledgement is held occupies no slot, but its group is not handed over before.
    if (job.confirmation) void job.confirmation.finally(() => owner.running.delete(job));
    else owner.running.delete(job);
    if (server) server.runningCount -= 1;
    const queue = owner.queues.get(job.request.priority);
    const nowMs = performance.now();
    if (queue && server) recordFinished(queue, job.request.customer, nowMs - startedAtMs, nowMs);
  }
}

function endWithoutTransaction(owner: StatementOwner, job: Job): void {
  endJob(owner, job, { kind: 'aborted', reason: 'the transaction was ended' });
}

/** Runs a statement outside of transactions, or the first one of a transaction. */
async function runOnPooledConnection(
  owner: StatementOwner,
  job: Job,
  server: ServerState,
): Promise<void> {
  const { customer } = job.request;
  const acquired = await acquireConnection(owner.pools, server, customer, job.valuesKey);
  if (acquired.kind === 'unavailable') {
    if (server.failingSinceMs !== undefined) owner.suspect(server);
    requeueJob(owner, job);
    return;
  }
  const { pooled } = acquired;
  if (!owner.environment.holdsLease() || job.isEnded || job.isWithdrawn) {
    releaseConnection(pooled);
    if (!job.isEnded) endJob(owner, job, notRun(job.isWithdrawn ? 'withdrawn' : 'no-owner'));
    return;
  }
  // An order or other homes may have arrived while the connection was being opened.
  if (isEvacuated(owner, server) || !isHomeOf(owner, homesOf(owner, job), server)) {
    releaseConnection(pooled);
    requeueJob(owner, job);
    return;
  }
  const isReady = await prepareConnection(owner, job, pooled);
  if (!isReady) return;
  const order = buildOrder(owner, job);
  const answer = await sendOrder(owner, job, pooled, order);
  if (answer === 'not-sent') endUnsent(owner, job, pooled);
  else if (job.transaction) settleTransactionStatement(owner, job, job.transaction, pooled, answer);
  else settleStatement(owner, job, pooled, answer);
}

/** Sets up the session's values and prepared statements on the connection, and opens the transaction. */
async function prepareConnection(
  owner: StatementOwner,
  job: Job,
  pooled: PooledConnection,
): Promise<boolean> {
  for (const order of setupOrders(setupRequirementsOf(job), pooled, beginOrderOf(owner, job))) {
    markReached(owner, job);
    const timeoutMs = Math.min(SETUP_TIMEOUT_MS, job.deadlineMs - performance.now());
    const answer = await pooled.connection.send(order, Math.max(1, timeoutMs));
    if (answer.kind === 'done') {
      recordSetup(pooled, order);
      recordSuccessfulAnswer(pooled, answer.position);
      continue;
    }
    if (answer.kind === 'refused') handleRefusal(owner, job, pooled.server, answer.code);
    else handleBrokenConnection(owner, job, pooled, answer);
    discardConnection(pooled);
    requeueUnprepared(owner, job, pooled, answer);
    return false;
  }
  const ref = job.request.transaction;
  if (!ref) {
    if (!job.isWithdrawn) return true;
    releaseConnection(pooled);
    endJob(owner, job, notRun('withdrawn'));
    return false;
  }
  const transaction = owner.transactions.get(transactionKey(job));
  if (!transaction || job.isEnded) {
    discardConnection(pooled);
    endWithoutTransaction(owner, job);
    return false;
  }
  transaction.pooled = pooled;
  transaction.lastUsedMs = performance.now();
  job.transaction = transaction;
  return true;
}

function requiredPositionOf(owner: StatementOwner, job: Job): LogPosition | null {
  if (!owner.acknowledgedPositions) return null;
  const { request } = job;
  const isRead = request.transaction ? request.transaction.isReadOnly : request.access === 'read';
  // Transactions that may write must see all commits; this also keeps them off a superseded primary.
  const read = isRead ? request : { ...request, consistency: 'newest' as const };
  return requiredPosition(owner.acknowledgedPositions, read, performance.now());
}

function buildOrder(owner: StatementOwner, job: Job): TargetOrder {
  const { access, transaction } = job.request;
  const after = access === 'read' && !transaction ? requiredPositionOf(owner, job) : null;
  return statementOrder(job.request, after);
}

function setupRequirementsOf({ request: { values, body }, valuesKey }: Job) {
  return { values, body, valuesKey };
}

function beginOrderOf(owner: StatementOwner, job: Job): BeginOrder | undefined {
  const { transaction } = job.request;
  return transaction
    ? { isReadOnly: transaction.isReadOnly, after: requiredPositionOf(owner, job) }
    : undefined;
}

async function sendOrder(
  owner: StatementOwner,
  job: Job,
  pooled: PooledConnection,
  order: TargetOrder,
): Promise<TargetAnswer | 'not-sent'> {
  if (!owner.environment.holdsLease() || !pooled.connection.isOpen()) return 'not-sent';
  if (!isHomeOf(owner, homesOf(owner, job), pooled.server)) return 'not-sent';
  const { access, transaction } = job.request;
  if (access === 'commit' || (access === 'write' && !transaction))
    job.committedUnder = leadershipNumberOf(owner, pooled.server);
  if (access === 'write' && job.transaction) job.transaction.mayHaveWritten = true;
  markReached(owner, job);
  const sentAtMs = performance.now();
  const timeoutMs = job.deadlineMs - sentAtMs - ANSWER_MARGIN_MS;
  const answer = await sendMeasured(
    pooled,
    order,
    access === 'read' ? 'read' : 'write',
    Math.max(1, timeoutMs),
  );
  const elapsedMs = performance.now() - sentAtMs;
  if (answer.kind === 'overdue' && job.request.access !== 'read' && elapsedMs >= STALLED_WRITE_MS) {
    owner.stalledCommits.push({ server: pooled.server, atMs: performance.now() });
  }
  if (answer.kind === 'done') recordSuccessfulAnswer(pooled, answer.position);
  else if (answer.kind !== 'lost' && answer.kind !== 'overdue') recordAnswer(pooled.server);
  return answer;
}

/** Ends or repeats a statement that was not sent: the lease or the connection was lost before. */
function endUnsent(owner: StatementOwner, job: Job, pooled: PooledConnection): void {
  if (!pooled.connection.isOpen()) handleBrokenConnection(owner, job, pooled, { kind: 'lost' });
  discardConnection(pooled);
  if (job.transaction) {
    dropTransaction(owner, job.transaction);
    endJob(owner, job, { kind: 'aborted', reason: 'the connection was lost' });
    return;
  }
  if (owner.environment.holdsLease()) requeueJob(owner, job);
  else endJob(owner, job, notRun('no-owner'));
}

async function runInTransaction(
  owner: StatementOwner,
  job: Job,
  transaction: OpenTransaction,
  pooled: PooledConnection,
): Promise<void> {
  transaction.isBusy = true;
  for (const order of setupOrders(setupRequirementsOf(job), pooled, undefined)) {
    markReached(owner, job);
    const setupAnswer = await pooled.connection.send(order, SETUP_TIMEOUT_MS);
    if (setupAnswer.kind !== 'done') {
      settleTransactionStatement(owner, job, transaction, pooled, setupAnswer, false);
      return;
    }
    recordSetup(pooled, order);
  }
  const answer = await sendOrder(owner, job, pooled, buildOrder(owner, job));
  if (answer === 'not-sent') endUnsent(owner, job, pooled);
  else settleTransactionStatement(owner, job, transaction, pooled, answer);
}

function transactionKey(job: Job): string {
  const key = job.transaction?.key;
  if (key === undefined)
    throw new Error('statement has a transaction reference but no transaction');
  return key;
}

/** Records that an order is sent to a server on behalf of a statement. */
function markReached({ fates }: StatementOwner, job: Job): void {
  if (job.hasReachedTarget) return;
  job.hasReachedTarget = true;
  if (job.channel.isLocal === true) return;
  recordStarted(fates, fateKeyOf(job.request.number, job.request.tag), performance.now());
}

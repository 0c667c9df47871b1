/** Runs one statement on one server and judges the answer. */
import {
  finish,
  noteAcknowledged,
  owedPosition,
  type LogPosition,
  latestPosition,
  type StatementOutcome,
} from '@bramleykeel/core';
import { match } from 'ts-pattern';
import {
  acquireConnection,
  discardConnection,
  dropIdle,
  noteAnswer,
  noteFailure,
  releaseConnection,
} from '../target/connection-pool.js';
import {
  type BeginOrder,
  noteSetup,
  setupOrders,
  statementOrder,
} from '../target/connection-setup.js';
import type { TargetAnswer, TargetOrder, TargetRefusal } from '../types/target-port.js';
import { dispatch, endJob, notRun, requeueJob } from './dispatch.js';
import type {
  Job,
  OpenTransaction,
  PooledConnection,
  ServerState,
  StatementOwner,
} from './owner-state.js';
import { suspectPrimary } from './watch-primary.js';

/** A server that answered busy is left alone for this time, in milliseconds. */
const BUSY_PAUSE_MS = 15;
/**
 * A replica that refused a position is not asked for as new a one for this time, in milliseconds; the
 * time doubles while it refuses again, up to the interval in which owners ask replicas how far they are.
 */
const LAGGING_PAUSE_MS = 100;
const MAX_LAGGING_PAUSE_MS = 1_600;
/** Preparing a connection for a statement is given up after this time, in milliseconds. */
const SETUP_TIMEOUT_MS = 600;
/** A commit that is outstanding for this long may wait for a replica that cannot be reached. */
const STALL_MS = 600;
/** Time kept back for the answer's way to the caller, in milliseconds. */
const ANSWER_MARGIN_MS = 5;
const ROLLBACK_TIMEOUT_MS = 1_000;

/** Runs a statement on `server`, or on its transaction's own connection. */
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
    else if (job.request.transaction && !job.request.transaction.isFirst) endLost(owner, job);
    else if (server) await runFirst(owner, job, server);
    else endJob(owner, job, notRun('queue-timeout'));
  } finally {
    owner.running.delete(job);
    if (server) server.runningCount -= 1;
    const queue = owner.queues.get(job.request.priority);
    const nowMs = performance.now();
    if (queue && server) finish(queue, job.request.customer, nowMs - startedAtMs, nowMs);
    dispatch(owner);
  }
}

function endLost(owner: StatementOwner, job: Job): void {
  endJob(owner, job, { kind: 'aborted', reason: 'the transaction was ended' });
}

/** A statement outside of transactions, or the first one of a transaction. */
async function runFirst(owner: StatementOwner, job: Job, server: ServerState): Promise<void> {
  const { customer } = job.request;
  const acquired = await acquireConnection(owner.pools, server, customer, job.valuesKey);
  if (acquired.kind === 'unavailable') {
    if (server.failingSinceMs !== undefined) suspectPrimary(owner, server);
    requeueJob(owner, job);
    return;
  }
  const { pooled } = acquired;
  if (!owner.environment.holdsLease() || job.isEnded) {
    releaseConnection(pooled);
    if (!job.isEnded) endJob(owner, job, notRun('no-owner'));
    return;
  }
  const isReady = await prepareConnection(owner, job, pooled);
  if (!isReady) return;
  const sent = orderOf(owner, job);
  const answer = await sendOrder(owner, job, pooled, sent);
  if (job.transaction) settleInTransaction(owner, job, job.transaction, pooled, answer);
  else settleAlone(owner, job, pooled, answer);
}

/** Brings the connection to the session's values and prepared names, and opens the transaction. */
async function prepareConnection(
  owner: StatementOwner,
  job: Job,
  pooled: PooledConnection,
): Promise<boolean> {
  for (const order of setupOrders(needOf(job), pooled, beginOf(owner, job))) {
    const timeoutMs = Math.min(SETUP_TIMEOUT_MS, job.deadlineMs - performance.now());
    const answer = await pooled.connection.send(order, Math.max(1, timeoutMs));
    if (answer.kind === 'done') {
      noteSetup(pooled, order);
      noteDone(pooled, answer.position);
      continue;
    }
    if (answer.kind === 'refused') handleRefusal(owner, job, pooled.server, answer.code);
    else handleBreak(owner, job, pooled, answer);
    // What was set up is not known for sure, so the connection is not used again.
    const isClean = order.kind === 'begin' && answer.kind === 'refused' && answer.state === 'idle';
    if (isClean) releaseConnection(pooled);
    else discardConnection(pooled);
    requeueJob(owner, job);
    return false;
  }
  const ref = job.request.transaction;
  if (!ref) return true;
  const transaction = owner.transactions.get(transactionKey(job));
  if (!transaction || job.isEnded) {
    discardConnection(pooled);
    endLost(owner, job);
    return false;
  }
  transaction.pooled = pooled;
  transaction.lastUsedMs = performance.now();
  job.transaction = transaction;
  return true;
}

function noteDone(pooled: PooledConnection, position: LogPosition | null): void {
  noteAnswer(pooled.server);
  if (position) pooled.server.position = latestPosition(pooled.server.position, position);
}

function owedNow(owner: StatementOwner, job: Job): LogPosition | null {
  if (!owner.owed) return null;
  const { request } = job;
  const isRead = request.transaction ? request.transaction.isReadOnly : request.access === 'read';
  // A transaction that may write sees everything; the position also keeps it off a superseded primary.
  const read = isRead ? request : { ...request, consistency: 'newest' as const };
  return owedPosition(owner.owed, read, performance.now());
}

function orderOf(owner: StatementOwner, job: Job): TargetOrder {
  const { access, transaction } = job.request;
  const after = access === 'read' && !transaction ? owedNow(owner, job) : null;
  return statementOrder(job.request, after);
}

function needOf({ request: { values, body }, valuesKey }: Job) {
  return { values, body, valuesKey };
}

function beginOf(owner: StatementOwner, job: Job): BeginOrder | undefined {
  const { transaction } = job.request;
  return transaction
    ? { isReadOnly: transaction.isReadOnly, after: owedNow(owner, job) }
    : undefined;
}

async function sendOrder(
  owner: StatementOwner,
  job: Job,
  pooled: PooledConnection,
  order: TargetOrder,
): Promise<TargetAnswer> {
  if (!owner.environment.holdsLease()) return { kind: 'lost' };
  const sentAtMs = performance.now();
  const timeoutMs = job.deadlineMs - sentAtMs - ANSWER_MARGIN_MS;
  const answer = await pooled.connection.send(order, Math.max(1, timeoutMs));
  const takenMs = performance.now() - sentAtMs;
  if (answer.kind === 'overdue' && job.request.access !== 'read' && takenMs >= STALL_MS) {
    owner.stalledCommits.push({ server: pooled.server, atMs: performance.now() });
  }
  if (answer.kind === 'done') noteDone(pooled, answer.position);
  else if (answer.kind !== 'lost' && answer.kind !== 'overdue') noteAnswer(pooled.server);
  return answer;
}

function settleAlone(
  owner: StatementOwner,
  job: Job,
  pooled: PooledConnection,
  answer: TargetAnswer,
): void {
  const { access } = job.request;
  match(answer)
    .with({ kind: 'done' }, ({ rows, signature, position }) => {
      if (access === 'write' && position) acknowledge(owner, position);
      releaseConnection(pooled);
      const isFromReplica = isReplica(owner, pooled.server);
      if (isFromReplica) pooled.server.laggingPauseMs = 0;
      endJob(owner, job, { kind: 'done', rows, signature, position, isFromReplica });
    })
    .with({ kind: 'refused' }, ({ code, state }) => {
      handleRefusal(owner, job, pooled.server, code);
      if (code === 'unknown-statement') pooled.prepared.clear();
      if (state === 'idle') releaseConnection(pooled);
      else discardConnection(pooled);
      if (code === 'malformed') endJob(owner, job, { kind: 'failed', text: 'malformed statement' });
      else requeueJob(owner, job);
    })
    .with({ kind: 'failed' }, ({ text, state }) => {
      if (state === 'idle') releaseConnection(pooled);
      else discardConnection(pooled);
      endJob(owner, job, { kind: 'failed', text });
    })
    .with({ kind: 'timed-out' }, () => {
      discardConnection(pooled);
      endJob(owner, job, { kind: 'timed-out' });
    })
    .with({ kind: 'unknown' }, () => {
      discardConnection(pooled);
      endJob(owner, job, { kind: 'unknown', reason: 'the server does not know the outcome' });
    })
    .with({ kind: 'lost' }, { kind: 'overdue' }, (broken) => {
      handleBreak(owner, job, pooled, broken);
      discardConnection(pooled);
      job.mayHaveRun = true;
      if (access === 'read' && broken.kind === 'lost') requeueJob(owner, job);
      else endJob(owner, job, brokenOutcome(broken));
    })
    .exhaustive();
}

function brokenOutcome(broken: TargetAnswer): StatementOutcome {
  if (broken.kind === 'overdue') return { kind: 'timed-out' };
  return { kind: 'unknown', reason: 'the connection to the server was lost' };
}

async function runInTransaction(
  owner: StatementOwner,
  job: Job,
  transaction: OpenTransaction,
  pooled: PooledConnection,
): Promise<void> {
  transaction.isBusy = true;
  for (const order of setupOrders(needOf(job), pooled, undefined)) {
    const setUp = await pooled.connection.send(order, SETUP_TIMEOUT_MS);
    if (setUp.kind !== 'done') {
      settleInTransaction(owner, job, transaction, pooled, setUp);
      return;
    }
    noteSetup(pooled, order);
  }
  const answer = await sendOrder(owner, job, pooled, orderOf(owner, job));
  settleInTransaction(owner, job, transaction, pooled, answer);
}

function settleInTransaction(
  owner: StatementOwner,
  job: Job,
  transaction: OpenTransaction,
  pooled: PooledConnection,
  answer: TargetAnswer,
): void {
  transaction.isBusy = false;
  transaction.lastUsedMs = performance.now();
  const isCommit = job.request.access === 'commit';
  const isFromReplica = isReplica(owner, pooled.server);
  match(answer)
    .with({ kind: 'done' }, ({ rows, signature, position, state }) => {
      if (isCommit) {
        if (!transaction.isReadOnly && position) acknowledge(owner, position);
        owner.transactions.delete(transaction.key);
        if (state === 'idle') releaseConnection(pooled);
        else discardConnection(pooled);
      }
      endJob(owner, job, { kind: 'done', rows, signature, position, isFromReplica });
    })
    .with({ kind: 'refused' }, ({ code }) => {
      handleRefusal(owner, job, pooled.server, code);
      dropTransaction(owner, transaction);
      endJob(owner, job, { kind: 'aborted', reason: code });
    })
    .with({ kind: 'failed' }, ({ text }) => {
      dropTransaction(owner, transaction);
      endJob(owner, job, { kind: 'failed', text });
    })
    .with({ kind: 'timed-out' }, { kind: 'unknown' }, ({ kind }) => {
      dropTransaction(owner, transaction);
      const ended: StatementOutcome = { kind: 'aborted', reason: kind };
      endJob(owner, job, isCommit ? { kind: 'unknown', reason: kind } : ended);
    })
    .with({ kind: 'lost' }, { kind: 'overdue' }, (broken) => {
      handleBreak(owner, job, pooled, broken);
      dropTransaction(owner, transaction);
      // Without its COMMIT the server rolls the transaction back when the connection is closed.
      const ended: StatementOutcome = { kind: 'aborted', reason: 'the connection was lost' };
      endJob(owner, job, isCommit ? brokenOutcome(broken) : ended);
    })
    .exhaustive();
}

function isReplica(owner: StatementOwner, server: ServerState): boolean {
  const { leadership } = owner;
  return leadership.kind !== 'led' || leadership.server !== server.announcement.server;
}

function acknowledge(owner: StatementOwner, position: LogPosition): void {
  if (owner.owed) noteAcknowledged(owner.owed, position, performance.now());
}

function handleRefusal(
  owner: StatementOwner,
  job: Job,
  server: ServerState,
  code: TargetRefusal,
): void {
  const nowMs = performance.now();
  owner.environment.counters.count(`retry.${code}`);
  owner.environment.log('server did not run the order', {
    request: job.request.tag,
    group: owner.group,
    server: server.announcement.server,
    code,
    position: `${server.position.term}.${server.position.offset}`,
    heardAgoMs: Math.round(nowMs - server.heardAtMs),
  });
  if (code === 'busy') server.busyUntilMs = nowMs + BUSY_PAUSE_MS;
  if (code === 'lagging') pauseLagging(server, nowMs);
  if (code === 'lagging' || code === 'read-only') suspectPrimary(owner, server);
}

/** Several statements may have been on their way together: they count as one refusal. */
function pauseLagging(server: ServerState, nowMs: number): void {
  if (nowMs < server.laggingUntilMs) return;
  const pauseMs = Math.max(LAGGING_PAUSE_MS, server.laggingPauseMs * 2);
  server.laggingPauseMs = Math.min(MAX_LAGGING_PAUSE_MS, pauseMs);
  server.laggingUntilMs = nowMs + server.laggingPauseMs;
}

/** The connection broke, or its answer is overdue: others to the same server may be dead as well. */
function handleBreak(
  owner: StatementOwner,
  job: Job,
  pooled: PooledConnection,
  broken: TargetAnswer,
): void {
  const { server } = pooled;
  owner.environment.log('connection to a server broke under an order', {
    request: job.request.tag,
    group: owner.group,
    server: server.announcement.server,
    how: broken.kind,
    openForMs: Math.round(performance.now() - pooled.openedAtMs),
    lastAnswerAgoMs: Math.round(performance.now() - server.lastAnswerMs),
  });
  owner.environment.counters.count(`target.connection-${broken.kind}`);
  if (broken.kind === 'overdue') {
    dropIdle(server, ({ lastUsedMs }) => lastUsedMs <= pooled.lastUsedMs);
  }
  if (broken.kind === 'lost') noteFailure(server, 'closed', performance.now());
  suspectPrimary(owner, server);
}

export function transactionKeyOf(channelId: string, number: number): string {
  return `${channelId}/${number}`;
}

function transactionKey(job: Job): string {
  const key = job.transaction?.key;
  if (key === undefined) throw new Error('a statement of a transaction came without it');
  return key;
}

/** Ends a transaction without its commit; the server rolls it back when the connection closes. */
export function dropTransaction(owner: StatementOwner, transaction: OpenTransaction): void {
  owner.transactions.delete(transaction.key);
  const { pooled } = transaction;
  transaction.pooled = undefined;
  if (pooled) discardConnection(pooled);
}

/** Rolls a transaction back and keeps its connection, if nothing runs on it. */
export async function rollBack(owner: StatementOwner, transaction: OpenTransaction): Promise<void> {
  owner.transactions.delete(transaction.key);
  const { pooled } = transaction;
  transaction.pooled = undefined;
  if (!pooled) return;
  if (transaction.isBusy) {
    discardConnection(pooled);
    return;
  }
  const answer = await pooled.connection.send({ kind: 'rollback' }, ROLLBACK_TIMEOUT_MS);
  if (answer.kind === 'done' && answer.state === 'idle') releaseConnection(pooled);
  else discardConnection(pooled);
}

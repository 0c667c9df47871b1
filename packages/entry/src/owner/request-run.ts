/** Runs a request on a target connection and processes the answer. */
import {
  type PendingWrite,
  type Refusal,
  refuse,
  type RequestChunk,
  type TransactionStatus,
} from '@bramleykeel/core';
import type { WireMessage } from '@bramleykeel/postgres-wire';
import { writeBatched } from '@bramleykeel/link';
import { serialize } from 'pg-protocol';
import { splitAnswer } from '../target/answer-sequence.js';
import {
  checkUnrequested,
  closeOutOfStep,
  endAnswer,
  nextEcho,
  runInternalQuery,
  type TargetConnection,
} from '../target/target-connection.js';
import {
  discardConnection,
  checkServerActivity,
  releaseConnection,
} from '../target/target-pool.js';
import { awaitAcknowledgement } from './acknowledge.js';
import { isUndone } from './cancel-request.js';
import { isEvacuated } from './evacuated-targets.js';
import { createAnswerFilter, filterAnswer } from './answer-filter.js';
import type { GroupOwner, OwnerRequest, OwnerSession, RunningRequest } from './owner-state.js';
import {
  endRequest,
  forwardUnverified,
  forwardVerified,
  reportLostTransaction,
} from './request-end.js';
import { releaseSlot } from './slots.js';
import { recordUnansweredRun } from './unanswered-runs.js';

/**
 * Flow-control window of a session: with more answer bytes not yet delivered to the caller, the
 * target connection is paused.
 */
export const WINDOW_BYTES = 256 * 1024;
const SETTINGS_TIMEOUT_MS = 2_000;
/** A connection that could not be prepared may not be prepared the next time either, and each attempt opens one. */
const PREPARATION_PAUSE_MS = 50;
/** SQLSTATE of a write on a read-only server: nothing of the statement was executed. */
const READ_ONLY_SQLSTATE = '25006';
/** Attempts after which a refused write or refused settings are no longer retried. */
const MAX_ATTEMPTS = 4;

/** Applies the session settings to the connection, then sends the request's messages. */
export async function startOnConnection(
  owner: GroupOwner,
  request: OwnerRequest,
  running: RunningRequest,
): Promise<void> {
  const { connection } = running;
  request.running = running;
  if (!(await applySettings(connection, request.settings))) {
    const isLastAttempt = !connection.isClosed && request.attempts >= MAX_ATTEMPTS;
    abandonBeforeStart(owner, request, isLastAttempt);
    return;
  }
  const isBarred = request.session.pinned === undefined && isEvacuated(owner, running.server);
  const isUnusable = isBarred || connection.isClosed;
  if (request.session.isClosing || isUnusable || !owner.environment.holdsLease()) {
    abandonBeforeStart(owner, request);
    return;
  }
  request.stage = 'running';
  connection.consumer = {
    onMessages: (messages) => {
      handleAnswer(owner, request, messages);
    },
    onLost: (cause) => {
      const reason = cause === 'closed' ? 'target-connection-lost' : 'target-out-of-step';
      handleConnectionLost(owner, request, refuse(reason));
    },
  };
  for (const chunk of request.chunks.splice(0)) sendChunk(owner, request, running, chunk);
}

/** Sends a chunk, preceded by Parse messages for statements not yet prepared on the connection. */
export function sendChunk(
  owner: GroupOwner,
  request: OwnerRequest,
  running: RunningRequest,
  chunk: RequestChunk,
): void {
  const { connection } = running;
  const { filter } = request;
  const { session, number } = request;
  owner.lastSentRequests.set(session.id, { number, atMs: performance.now() });
  request.mayCommit ||= chunk.mayCommit;
  for (const { name, parseMessage } of chunk.statements) {
    if (connection.prepared.has(name)) continue;
    filter.expected.push({ kind: 'parse', isHidden: true, statement: name });
    writeBatched(connection.socket, parseMessage);
  }
  filter.expected.push(...chunk.expected);
  running.lastSentMs = performance.now();
  running.isEndSent = chunk.isFinal;
  writeBatched(connection.socket, chunk.messages);
  if (chunk.isFinal) writeBatched(connection.socket, nextEcho(connection, filter.sequence));
}

/** Changes the connection's settings to those of the request's session. Returns whether this succeeded. */
async function applySettings(
  connection: TargetConnection,
  sessionSettings: Readonly<Record<string, string>>,
): Promise<boolean> {
  const statements: string[] = [];
  for (const name of connection.settings.keys()) {
    if (!(name in sessionSettings)) statements.push(`RESET ${name}`);
  }
  for (const [name, text] of Object.entries(sessionSettings)) {
    if (connection.settings.get(name) !== text) statements.push(text);
  }
  if (statements.length === 0) return true;
  // A caller's SET may end in a comment, which ends with its line.
  const text = statements.join('\n;\n');
  const outcome = await runInternalQuery(connection, text, SETTINGS_TIMEOUT_MS);
  connection.settings = new Map(Object.entries(sessionSettings));
  return outcome.kind === 'done' && outcome.status === 'idle';
}

/** Discards a connection before anything of the request was sent; requeues the request or ends it as not run. */
function abandonBeforeStart(owner: GroupOwner, request: OwnerRequest, isLastAttempt = false): void {
  const { running, session } = request;
  if (!running) return;
  discardConnection(running.pool, running.connection);
  releaseSlot(owner, request);
  if (session.pinned) {
    // The transaction is lost with its connection; the statement must not run outside of it.
    session.pinned = undefined;
    endRequest(owner, request, 'idle', refuse('transaction-lost'));
    return;
  }
  owner.environment.counters.count('retry.not-prepared');
  if (!isLastAttempt) {
    request.notBeforeMs = performance.now() + PREPARATION_PAUSE_MS;
    owner.scheduler.requeue(owner, request);
    return;
  }
  endRequest(owner, request, 'idle', refuse('queue-timeout'));
  owner.scheduler.schedule(owner);
}

function handleAnswer(
  owner: GroupOwner,
  request: OwnerRequest,
  messages: readonly WireMessage[],
): void {
  const { running, session } = request;
  if (!running) return;
  const { connection } = running;
  const { filter } = request;
  const received = splitAnswer(filter.sequence, messages);
  const answer = filterAnswer(filter, received.answer, running.isEndSent);
  const foreign = answer.foreign ?? received.foreign;
  if (foreign) {
    closeOutOfStep(connection, foreign, 'in-request');
    return;
  }
  for (const { statement, exists } of answer.statementChanges) {
    if (exists) connection.prepared.add(statement);
    else connection.prepared.delete(statement);
  }
  if (answer.wantsCopyData) {
    connection.socket.write(serialize.copyFail('COPY is not supported through the proxy'));
  }
  const isRetried = !request.hasForwardedAnswer && mayRetryElsewhere(request);
  const isPassedOn = !isRetried && !isUndone(request);
  if (isPassedOn) forwardUnverified(request, answer.forward);
  if (isPassedOn && received.isVerified) forwardVerified(request);
  if (session.unacknowledgedBytes > WINDOW_BYTES) connection.socket.pause();
  const { status } = filter.sequence;
  if (!received.isVerified || status === undefined) return;
  endAnswer(connection, filter.sequence, received.rest);
  handleReady(owner, request, running, status);
}

/**
 * A write refused as read-only executed nothing, so outside a transaction it may be retried on the
 * primary.
 */
function mayRetryElsewhere(request: OwnerRequest): boolean {
  const isRefused = request.filter.firstSqlState === READ_ONLY_SQLSTATE;
  return isRefused && request.session.pinned === undefined && request.attempts < MAX_ATTEMPTS;
}

function handleReady(
  owner: GroupOwner,
  request: OwnerRequest,
  running: RunningRequest,
  status: TransactionStatus,
): void {
  const isRetried = !request.hasForwardedAnswer && mayRetryElsewhere(request) && status === 'idle';
  recordSettingEffect(request, running.connection);
  updatePin(owner, request, running, status);
  releaseSlot(owner, request);
  if (isRetried) {
    owner.environment.counters.count('retry.refused-as-read-only');
    request.intent = 'write';
    request.filter = createAnswerFilter();
    restoreChunks(request);
    owner.scheduler.requeue(owner, request);
    return;
  }
  if (isUndone(request)) endRequest(owner, request, status, refuse('no-primary'));
  else finishAnswer(owner, request, running, status);
  owner.scheduler.schedule(owner);
}

function finishAnswer(
  owner: GroupOwner,
  request: OwnerRequest,
  running: RunningRequest,
  status: TransactionStatus,
): void {
  const { position } = request.filter;
  if (!position) {
    endRequest(owner, request, status, null);
    return;
  }
  const { coverTimeoutMs } = owner.environment.settings.requests;
  const write: PendingWrite = {
    mark: position,
    term: running.term,
    deadlineMs: performance.now() + coverTimeoutMs,
    needsQuorum: owner.environment.groupSetting().acknowledgement === 'quorum',
  };
  awaitAcknowledgement(owner, request, write, status);
}

function recordSettingEffect(request: OwnerRequest, connection: TargetConnection): void {
  const { settingEffect, filter } = request;
  if (!settingEffect || filter.firstSqlState !== undefined) return;
  const { name, text } = settingEffect;
  if (name === null) connection.settings.clear();
  else if (text === null) connection.settings.delete(name);
  else connection.settings.set(name, text);
}

/**
 * Pins the connection to its session while a transaction is open, and releases it to the pool
 * afterwards.
 */
function updatePin(
  owner: GroupOwner,
  request: OwnerRequest,
  running: RunningRequest,
  status: TransactionStatus,
): void {
  const { session } = request;
  const { connection, pool, server } = running;
  connection.consumer = undefined;
  if (status === 'idle') {
    session.pinned = undefined;
    releaseConnection(pool, connection);
    return;
  }
  if (session.isClosing) {
    void rollBack(owner, { connection, pool, server });
    return;
  }
  if (!session.pinned) session.pinnedSinceMs = performance.now();
  session.pinned = { connection, pool, server };
  session.isPinnedToReplica = running.isOnReplica;
  connection.consumer = {
    onMessages: (messages) => {
      checkUnrequested(connection, messages);
    },
    onLost: () => {
      handlePinnedConnectionLost(owner, session);
    },
  };
}

/** Handles the loss of the connection of an open transaction between two statements. */
function handlePinnedConnectionLost(owner: GroupOwner, session: OwnerSession): void {
  const { pinned } = session;
  session.pinned = undefined;
  if (pinned) discardConnection(pinned.pool, pinned.connection);
  if (session.isClosing) return;
  const refusal = refuse('transaction-lost');
  owner.environment.counters.count(`refusal.${refusal.reason}`);
  reportLostTransaction(owner, session, refusal);
}

/** Rolls back an abandoned transaction; a connection that does not answer is closed instead. */
export async function rollBack(
  owner: GroupOwner,
  pinned: { connection: TargetConnection; pool: RunningRequest['pool']; server: unknown },
): Promise<void> {
  const { connection, pool } = pinned;
  owner.environment.counters.count('transaction.rolled-back');
  const outcome = await runInternalQuery(connection, 'ROLLBACK', SETTINGS_TIMEOUT_MS);
  if (outcome.kind === 'done' && outcome.status === 'idle') releaseConnection(pool, connection);
  else discardConnection(pool, connection);
  owner.scheduler.schedule(owner);
}

/** Ends or requeues a request whose connection was lost. */
export function handleConnectionLost(
  owner: GroupOwner,
  request: OwnerRequest,
  lostRefusal: Refusal,
): void {
  const { running, session } = request;
  if (!running || request.stage !== 'running') return;
  discardConnection(running.pool, running.connection);
  const wasInTransaction = session.pinned !== undefined;
  const isRetried = recordUnansweredRun(owner, request, lostRefusal);
  session.pinned = undefined;
  releaseSlot(owner, request);
  if (isRetried) {
    owner.environment.counters.count('retry.read-connection-lost');
    request.filter = createAnswerFilter();
    restoreChunks(request);
    owner.scheduler.requeue(owner, request);
    return;
  }
  const isRolledBack = wasInTransaction && !request.mayCommit;
  const refusal = isRolledBack ? refuse('transaction-lost') : lostRefusal;
  endRequest(owner, request, 'idle', refusal);
  owner.scheduler.schedule(owner);
}

function restoreChunks(request: OwnerRequest): void {
  request.chunks.splice(0, request.chunks.length, ...request.allChunks);
}

/**
 * Terminates requests and transactions on a superseded primary, which may hang and never
 * answer. Its open transactions can no longer commit, because a quorum has promised to reject its
 * term.
 */
export function terminateSuperseded(owner: GroupOwner): void {
  const { primary, term } = owner.environment.groupRecord();
  for (const session of owner.sessions.values()) {
    const { request, pinned } = session;
    const running = request?.stage === 'running' ? request.running : undefined;
    if (request && running) {
      const isOutdated = running.term < term && !running.isOnReplica && running.server !== primary;
      if (isOutdated) handleConnectionLost(owner, request, refuse('acknowledgement-superseded'));
    } else if (pinned && pinned.server !== primary && !session.isPinnedToReplica) {
      handlePinnedConnectionLost(owner, session);
    }
  }
}

/**
 * Checks connections whose answer is overdue. The target is queried over a new connection whether
 * it still works on the request; if not, the old connection no longer delivers data and the answer
 * will never arrive.
 */
export function checkSilentConnections(owner: GroupOwner): void {
  const nowMs = performance.now();
  const { silentAfterMs } = owner.environment.settings.targets;
  for (const session of owner.sessions.values()) {
    const { request } = session;
    const running = request?.running;
    if (!request || !running || request.stage !== 'running' || running.isCheckingConnection)
      continue;
    if (running.connection.socket.isPaused() || !isAnswerPending(running)) continue;
    const lastActivityMs = Math.max(running.lastSentMs, running.connection.lastReceivedMs);
    if (nowMs - lastActivityMs >= silentAfterMs) void checkUnresponsive(owner, request, running);
  }
}

/**
 * Whether the target still has to send data. After answering a Flush it waits for the caller, for
 * example one that reads a cursor slowly.
 */
function isAnswerPending({ isEndSent, connection, lastSentMs }: RunningRequest): boolean {
  return isEndSent || connection.lastReceivedMs <= lastSentMs;
}

async function checkUnresponsive(
  owner: GroupOwner,
  request: OwnerRequest,
  running: RunningRequest,
): Promise<void> {
  running.isCheckingConnection = true;
  const previousLastReceivedMs = running.connection.lastReceivedMs;
  const state = await checkServerActivity(running.pool, running.connection.processId);
  running.isCheckingConnection = false;
  running.lastSentMs = performance.now();
  const hasAnswered = running.connection.lastReceivedMs !== previousLastReceivedMs;
  if (hasAnswered || request.running !== running) return;
  // Failover handles an unreachable primary; reads on an unreachable replica need not wait.
  const isLost = state === 'idle' || (state === 'unreachable' && running.isOnReplica);
  if (!isLost) return;
  owner.environment.log(`connection to ${running.server} stopped responding; closing it`);
  owner.environment.counters.count('target.connection-silent');
  handleConnectionLost(owner, request, refuse('target-silent'));
}

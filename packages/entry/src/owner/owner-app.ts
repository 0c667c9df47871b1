/** Handles messages that entries send to an owner. */
import {
  type RequestStatusQuery,
  latestPosition,
  refuse,
  removeWaiting,
  type RequestStatus,
  type SessionId,
  type ToOwnerMessage,
  ZERO_POSITION,
} from '@bramleykeel/core';
import { match } from 'ts-pattern';
import { discardConnection } from '../target/target-pool.js';
import type { AnswerChannel } from './answer-channel.js';
import { createAnswerFilter } from './answer-filter.js';
import type { GroupOwner, OwnerRequest, OwnerSession } from './owner-state.js';
import { endRequest, reportLostTransaction } from './request-end.js';
import { cancelRequest } from './cancel-request.js';
import { rollBack, sendChunk, WINDOW_BYTES } from './request-run.js';
import { submitRequest } from './scheduler.js';

/** How long an owner keeps what it needs to answer request status queries. */
export const REQUEST_STATUS_RETENTION_MS = 60_000;

/** Handles a message that an entry sent over `channel`. */
export function handleEntryMessage(
  owner: GroupOwner,
  channel: AnswerChannel,
  message: ToOwnerMessage,
): void {
  match(message)
    .with({ kind: 'session/open' }, (open) => {
      openSession(owner, channel, open);
    })
    .with({ kind: 'request/start' }, (start) => {
      startRequest(owner, channel, start);
    })
    .with({ kind: 'request/more' }, ({ session, number, chunk }) => {
      const request = owner.sessions.get(session)?.request;
      if (request?.number !== number) return;
      request.allChunks.push(chunk);
      if (request.stage === 'running' && request.running) {
        sendChunk(owner, request, request.running, chunk);
      } else request.chunks.push(chunk);
    })
    .with({ kind: 'request/credit' }, ({ session, bytes }) => {
      applyCredit(owner, session, bytes);
    })
    .with({ kind: 'request/cancel' }, ({ session, number }) => {
      const request = owner.sessions.get(session)?.request;
      if (request?.number === number) cancelRequest(owner, request);
    })
    .with({ kind: 'session/close' }, ({ session }) => {
      closeSession(owner, session);
    })
    .exhaustive();
}

type MessageOf<Kind extends ToOwnerMessage['kind']> = Extract<ToOwnerMessage, { kind: Kind }>;

function openSession(
  owner: GroupOwner,
  channel: AnswerChannel,
  open: MessageOf<'session/open'>,
): void {
  if (owner.sessions.has(open.session) || owner.revokedSessions.has(open.session)) return;
  // A session new to this owner may have written through another one, so without a mark of its own
  // it starts at its customer's mark.
  const fallback = owner.customerMarks.get(open.customer) ?? ZERO_POSITION;
  const session: OwnerSession = {
    id: open.session,
    channel,
    customer: open.customer,
    mark: open.mark ? latestPosition(open.mark, ZERO_POSITION) : fallback,
    pinned: undefined,
    pinnedSinceMs: 0,
    isPinnedToReplica: false,
    request: undefined,
    unacknowledgedBytes: 0,
    isClosing: false,
  };
  owner.sessions.set(session.id, session);
}

function startRequest(
  owner: GroupOwner,
  channel: AnswerChannel,
  start: MessageOf<'request/start'>,
): void {
  const session = owner.sessions.get(start.session);
  if (!session || session.request || owner.isClosed) {
    const refusal = refuse('owner-lost-before-start');
    const { session: id, number } = start;
    const end = { kind: 'request/end', session: id, number, status: 'idle' } as const;
    channel.send({ ...end, mark: ZERO_POSITION, refusal, isFromReplica: false });
    return;
  }
  const request: OwnerRequest = {
    session,
    number: start.number,
    intent: start.intent,
    readAgeAllowanceMs: start.readAgeAllowanceMs,
    settings: start.settings,
    settingEffect: start.settingEffect,
    chunks: [start.chunk],
    allChunks: [start.chunk],
    enqueuedAtMs: performance.now(),
    stage: 'queued',
    mayCommit: start.chunk.mayCommit,
    hasForwardedAnswer: false,
    isCancelledForChange: false,
    attempts: 0,
    notBeforeMs: 0,
    unansweredRuns: 0,
    unansweredRefusal: undefined,
    filter: createAnswerFilter(),
    slot: undefined,
    running: undefined,
  };
  session.request = request;
  submitRequest(owner, request);
}

function applyCredit(owner: GroupOwner, id: SessionId, bytes: number): void {
  const session = owner.sessions.get(id);
  if (!session) return;
  session.unacknowledgedBytes = Math.max(0, session.unacknowledgedBytes - bytes);
  const connection = session.request?.running?.connection;
  if (!connection || session.unacknowledgedBytes > WINDOW_BYTES / 2) return;
  if (connection.socket.isPaused()) {
    connection.lastReceivedMs = performance.now();
    connection.socket.resume();
  }
}

/**
 * Closes a session: drops its queued request, cancels a running one or rolls back an open
 * transaction.
 */
export function closeSession(owner: GroupOwner, id: SessionId): void {
  const session = owner.sessions.get(id);
  if (!session) return;
  owner.sessions.delete(id);
  session.isClosing = true;
  dropWaiting(owner, session);
  const { request, pinned } = session;
  if (request?.running && request.stage === 'running') {
    request.running.connection.socket.resume();
    cancelRequest(owner, request);
    return;
  }
  if (!pinned) return;
  session.pinned = undefined;
  void rollBack(owner, pinned);
}

function dropWaiting(owner: GroupOwner, session: OwnerSession): boolean {
  const { request } = session;
  if (request?.stage !== 'queued') return false;
  removeWaiting(owner.queue, (waiting) => waiting === request);
  const position = owner.pinnedWaiting.indexOf(request);
  if (position >= 0) owner.pinnedWaiting.splice(position, 1);
  endRequest(owner, request, 'idle', refuse('owner-lost-before-start'));
  return true;
}

/** Closes all sessions of a disconnected channel. */
export function closeChannel(owner: GroupOwner, channel: AnswerChannel): void {
  for (const session of owner.sessions.values()) {
    if (session.channel === channel) closeSession(owner, session.id);
  }
}

/**
 * Reports the status of a request whose link broke. `not-started` is a guarantee: the session is
 * revoked, so messages of it that arrive later are not run.
 */
export function requestStatusOf(owner: GroupOwner, query: RequestStatusQuery): RequestStatus {
  owner.revokedSessions.set(query.session, performance.now());
  closeSession(owner, query.session);
  const lastSent = owner.lastSentRequests.get(query.session);
  const mayHaveRun = lastSent !== undefined && lastSent.number >= query.number;
  return mayHaveRun ? 'may-have-run' : 'not-started';
}

/** Removes what is kept for request status queries once it is older than the retention period. */
export function purgeExpiredRequestStatuses(owner: GroupOwner): void {
  const limitMs = performance.now() - REQUEST_STATUS_RETENTION_MS;
  for (const [id, revokedAtMs] of owner.revokedSessions) {
    if (revokedAtMs < limitMs) owner.revokedSessions.delete(id);
  }
  for (const [id, { atMs }] of owner.lastSentRequests) {
    if (atMs < limitMs && !owner.sessions.has(id)) owner.lastSentRequests.delete(id);
  }
}

/** Closes connections of open transactions without a statement for longer than `idleTransactionMs`. */
export function endIdleTransactions(owner: GroupOwner): void {
  const { idleTransactionMs } = owner.environment.settings.requests;
  const nowMs = performance.now();
  for (const session of owner.sessions.values()) {
    const { pinned } = session;
    if (!pinned || session.request || nowMs - session.pinnedSinceMs < idleTransactionMs) continue;
    session.pinned = undefined;
    discardConnection(pinned.pool, pinned.connection);
    const refusal = refuse('transaction-lost', 'the transaction was idle for too long');
    reportLostTransaction(owner, session, refusal);
  }
}

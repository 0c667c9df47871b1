/** Input of caller sessions: groups messages into chunks, checks them, and applies rate limits. */
import { type Refusal, refuse } from '@bramleykeel/core';
import { buildQuery, CLIENT, frameMessages, type WireMessage } from '@bramleykeel/postgres-wire';
import { admit } from '@bramleykeel/entry-shared';
import { endWithRefusal, sendReady, sendRefusal } from './caller-output.js';
import {
  countClassified,
  countEndedRequest,
  mayTakeRequest,
  mustRefuseRequest,
  releaseHeld,
  updateHeld,
} from './caller-limits.js';
import { closeSessionAtOwner, finishExchange, sendChunk } from './caller-request.js';
import type { CallerSession } from './caller-state.js';
import { buildChunk, type BuiltChunk, endsChunk } from './chunk-builder.js';

/** Longer rate wait for requests in open transactions, because a refusal aborts the transaction. */
const TRANSACTION_RATE_WAIT_MS = 5_000;
/**
 * Query that every target rejects. It aborts the target's transaction after the entry refused a
 * statement.
 */
const ABORTING_QUERY_TEXT = 'refused by the proxy';

/** Handles bytes received from the caller. */
export function handleInput(session: CallerSession, bytes: Buffer): void {
  if (session.isClosed || session.socket.writableEnded) return;
  const framed = frameMessages(session.framer, bytes);
  if (framed.kind === 'malformed') {
    endWithRefusal(session, refuse('bad-startup', 'malformed message'));
    return;
  }
  if (framed.kind === 'too-large') {
    const hint = `${framed.lengthBytes} bytes, at most ${framed.limitBytes} are taken`;
    const { lengthBytes, limitBytes } = framed;
    session.environment.limits.limitedLog(
      'connection of a caller closed for a message that is too long',
      { lengthBytes, limitBytes },
    );
    endWithRefusal(session, refuse('message-too-large', hint));
    return;
  }
  for (const message of framed.messages) {
    session.inbox.push(message);
    session.inboxBytes += message.frame.length;
  }
  processInbox(session);
  updateHeld(session);
}

/** Processes buffered chunks, unless the session is waiting or a complete request is running. */
export function processInbox(session: CallerSession): void {
  while (!session.isClosed && !session.isPreparing) {
    if (session.request?.isComplete || !mayTakeRequest(session)) return;
    countEndedRequest(session);
    const messages = dequeueChunk(session);
    if (!messages) return;
    if (messages.at(-1)?.type === CLIENT.terminate) {
      session.socket.end();
      return;
    }
    handleChunk(session, messages);
  }
}

/** Removes the messages up to the next Query, Sync, Flush or Terminate from the inbox. */
function dequeueChunk(session: CallerSession): WireMessage[] | undefined {
  const end = session.inbox.findIndex(
    (message) => endsChunk(message) || message.type === CLIENT.terminate,
  );
  if (end < 0) {
    if (session.inboxBytes > session.environment.maxMessageBytes) {
      endWithRefusal(session, refuse('message-too-large', 'send Sync more often'));
    }
    return undefined;
  }
  const messages = session.inbox.splice(0, end + 1);
  for (const { frame } of messages) {
    session.inboxBytes -= frame.length;
    session.takenBytes += frame.length;
  }
  return messages;
}

function handleChunk(session: CallerSession, messages: readonly WireMessage[]): void {
  if (session.isSkippingToSync) {
    skipChunk(session, messages);
    return;
  }
  const built = buildChunk(session.statements, messages, session.environment.classify);
  countClassified(session, messages);
  const refusal = checkChunk(session, built);
  if (refusal) {
    refuseChunk(session, built, refusal);
    return;
  }
  if (built.tokenCount === 0) {
    void sendChunk(session, built);
    return;
  }
  const maxRateWaitMs = session.status === 'idle' ? undefined : TRANSACTION_RATE_WAIT_MS;
  const { rates } = session.environment;
  const pendingAdmission = admit(rates, session.customer, built.tokenCount, maxRateWaitMs);
  if (!pendingAdmission) {
    void sendChunk(session, built);
    return;
  }
  session.isPreparing = true;
  void pendingAdmission.then((rateRefusal) => {
    session.isPreparing = false;
    if (session.isClosed) return;
    if (rateRefusal) refuseChunk(session, built, rateRefusal);
    else void sendChunk(session, built);
    session.continueInput();
  });
}

function checkChunk(session: CallerSession, built: BuiltChunk): Refusal | undefined {
  if (built.unsupportedReason !== undefined)
    return refuse('unsupported-statement', built.unsupportedReason);
  if (built.settingEffect && session.status !== 'idle') {
    const hint = 'use SET LOCAL inside a transaction';
    return refuse('unsupported-statement', hint);
  }
  if (mustRefuseRequest(session)) return refuse('memory-pressure');
  const hasKey = session.key !== undefined;
  if (hasKey && !session.environment.hasFreshSettings()) return refuse('settings-lease-expired');
  return undefined;
}

/** Drops a chunk after an error. A Sync at its end is still answered. */
function skipChunk(session: CallerSession, messages: readonly WireMessage[]): void {
  const isSync = messages.at(-1)?.type === CLIENT.sync;
  if (!isSync) return;
  session.isSkippingToSync = false;
  if (!session.request) {
    sendReady(session);
    return;
  }
  const [last] = messages.slice(-1);
  if (!last) return;
  const sync = buildChunk(session.statements, [last], session.environment.classify);
  void sendChunk(session, sync);
}

/**
 * Refuses a chunk. Outside a transaction nothing is sent to the owner. Inside one, an invalid query
 * aborts the transaction at the target, so that a later COMMIT cannot commit only part of it.
 */
function refuseChunk(session: CallerSession, built: BuiltChunk, refusal: Refusal): void {
  const { request } = session;
  if (request) {
    sendRefusal(session, refusal);
    request.replacedBy ??= refusal;
    request.isRefusalSent = true;
    session.isSkippingToSync = true;
    if (built.chunk.isFinal) skipChunk(session, [syncMessage()]);
    return;
  }
  if (session.status === 'idle') {
    sendRefusal(session, refusal);
    finishExchange(session, built.chunk.isFinal);
    return;
  }
  const abortingChunk: BuiltChunk = {
    ...built,
    chunk: {
      messages: buildQuery(ABORTING_QUERY_TEXT),
      statements: [],
      expected: [],
      isFinal: true,
      mayCommit: false,
    },
    settingEffect: null,
  };
  const isRefusalSent = !built.chunk.isFinal;
  if (isRefusalSent) {
    sendRefusal(session, refusal);
    session.isSkippingToSync = true;
  }
  void sendChunk(session, abortingChunk, { refusal, isRefusalSent });
}

function syncMessage(): WireMessage {
  return { type: CLIENT.sync, frame: Buffer.from([CLIENT.sync, 0, 0, 0, 4]) };
}

/** Closes a session after its caller disconnected, its key was withdrawn, or the entry stops. */
export function closeSession(session: CallerSession): void {
  if (session.isClosed) return;
  session.isClosed = true;
  closeSessionAtOwner(session);
  releaseHeld(session);
}

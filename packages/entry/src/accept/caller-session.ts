/** The input of a caller's session: its messages become chunks, which are checked and admitted. */
import { type Refusal, refuse } from '@bramleykeel/core';
import { buildQuery, CLIENT, frameMessages, type WireMessage } from '@bramleykeel/postgres-wire';
import { admit } from '@bramleykeel/entry-shared';
import { endWithRefusal, sendReady, sendRefusal } from './caller-output.js';
import { closeAtOwner, finishExchange, sendChunk } from './caller-request.js';
import type { CallerSession } from './caller-state.js';
import { buildChunk, type BuiltChunk, endsChunk } from './chunk-builder.js';

/** Input that waits to be worked on above which the caller's socket is paused. */
const INBOX_LIMIT_BYTES = 1024 * 1024;
/** Requests of open transactions wait this long for tokens, because a refusal would end them. */
const TRANSACTION_RATE_WAIT_MS = 5_000;
/** A text that every target refuses, to abort a transaction whose statement was refused here. */
const ABORTING_TEXT = 'refused by the proxy';

/** Takes in bytes from the caller. */
export function takeInput(session: CallerSession, bytes: Buffer): void {
  const framed = frameMessages(session.framer, bytes);
  if (framed.kind === 'malformed') {
    endWithRefusal(session, refuse('bad-startup', 'malformed message'));
    return;
  }
  if (framed.kind === 'too-large') {
    const hint = `${framed.lengthBytes} bytes, at most ${framed.limitBytes} are taken`;
    endWithRefusal(session, refuse('message-too-large', hint));
    return;
  }
  for (const message of framed.messages) {
    session.inbox.push(message);
    session.inboxBytes += message.frame.length;
  }
  if (session.inboxBytes > INBOX_LIMIT_BYTES) session.socket.pause();
  processInbox(session);
}

/** Works on the next chunk, unless one is on its way. */
export function processInbox(session: CallerSession): void {
  while (!session.isClosed && !session.isPreparing) {
    if (session.request?.isComplete) return;
    const messages = takeChunk(session);
    if (!messages) return;
    if (messages.at(-1)?.type === CLIENT.terminate) {
      session.socket.end();
      return;
    }
    handleChunk(session, messages);
  }
}

/** Takes the messages up to the next Query, Sync, Flush or Terminate out of the inbox. */
function takeChunk(session: CallerSession): WireMessage[] | undefined {
  const end = session.inbox.findIndex(
    (message) => endsChunk(message) || message.type === CLIENT.terminate,
  );
  if (end < 0) {
    if (session.inboxBytes > session.environment.maxMessageBytes) {
      endWithRefusal(session, refuse('message-too-large', 'send Sync more often'));
    }
    if (session.inboxBytes > INBOX_LIMIT_BYTES) session.socket.resume();
    return undefined;
  }
  const taken = session.inbox.splice(0, end + 1);
  for (const { frame } of taken) session.inboxBytes -= frame.length;
  if (session.inboxBytes <= INBOX_LIMIT_BYTES) session.socket.resume();
  return taken;
}

function handleChunk(session: CallerSession, messages: readonly WireMessage[]): void {
  if (session.isSkipping) {
    skipChunk(session, messages);
    return;
  }
  const built = buildChunk(session.statements, messages, session.environment.classify);
  const refusal = checkChunk(session, built);
  if (refusal) {
    refuseChunk(session, built, refusal);
    return;
  }
  if (built.tokenCount === 0) {
    void sendChunk(session, built);
    return;
  }
  const patienceMs = session.status === 'idle' ? undefined : TRANSACTION_RATE_WAIT_MS;
  const { rates } = session.environment;
  const waiting = admit(rates, session.customer, built.tokenCount, patienceMs);
  if (!waiting) {
    void sendChunk(session, built);
    return;
  }
  session.isPreparing = true;
  void waiting.then((rateRefusal) => {
    session.isPreparing = false;
    if (session.isClosed) return;
    if (rateRefusal) refuseChunk(session, built, rateRefusal);
    else void sendChunk(session, built);
    processInbox(session);
  });
}

function checkChunk(session: CallerSession, built: BuiltChunk): Refusal | undefined {
  if (built.unsupported !== undefined) return refuse('unsupported-statement', built.unsupported);
  if (built.settingEffect && session.status !== 'idle') {
    const hint = 'use SET LOCAL inside a transaction';
    return refuse('unsupported-statement', hint);
  }
  const needsKey = session.key !== undefined;
  if (needsKey && !session.environment.hasFreshSettings()) return refuse('settings-lease-expired');
  return undefined;
}

/** Drops a chunk after an error; the Sync that ends it is answered. */
function skipChunk(session: CallerSession, messages: readonly WireMessage[]): void {
  const isSync = messages.at(-1)?.type === CLIENT.sync;
  if (!isSync) return;
  session.isSkipping = false;
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
 * Refuses a chunk. Outside a transaction nothing is sent on; inside one the target is made to abort
 * the transaction, so that a later COMMIT cannot keep half of it.
 */
function refuseChunk(session: CallerSession, built: BuiltChunk, refusal: Refusal): void {
  const { request } = session;
  if (request) {
    sendRefusal(session, refusal);
    request.replacedBy ??= refusal;
    request.isRefusalSent = true;
    session.isSkipping = true;
    if (built.chunk.isFinal) skipChunk(session, [syncMessage()]);
    return;
  }
  if (session.status === 'idle') {
    sendRefusal(session, refusal);
    finishExchange(session, built.chunk.isFinal);
    return;
  }
  const aborting: BuiltChunk = {
    ...built,
    chunk: {
      messages: buildQuery(ABORTING_TEXT),
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
    session.isSkipping = true;
  }
  void sendChunk(session, aborting, { refusal, isRefusalSent });
}

function syncMessage(): WireMessage {
  return { type: CLIENT.sync, frame: Buffer.from([CLIENT.sync, 0, 0, 0, 4]) };
}

/** Ends a session from this side: the caller has gone, its key was withdrawn, or the entry stops. */
export function closeSession(session: CallerSession): void {
  if (session.isClosed) return;
  session.isClosed = true;
  closeAtOwner(session);
}

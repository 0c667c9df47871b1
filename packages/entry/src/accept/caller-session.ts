/** The life of a caller's session: its messages become requests, and their answers go back. */
import {
  type FromOwnerMessage,
  latestPosition,
  parsePosition,
  type Refusal,
  refuse,
} from '@bramleykeel/core';
import { buildQuery, CLIENT, frameMessages, type WireMessage } from '@bramleykeel/postgres-wire';
import { writeBatched } from '@bramleykeel/link';
import { admit } from '../admit/rate-client.js';
import type { OwnerPort } from '../locate/owner-port.js';
import {
  buildRefusal,
  endWithRefusal,
  reportMark,
  sendReady,
  sendRefusal,
  SESSION_PARAMETER,
} from './caller-output.js';
import type { CallerSession, OpenRequest } from './caller-state.js';
import { buildChunk, type BuiltChunk, endsChunk } from './chunk-builder.js';

/** Input that waits to be worked on above which the caller's socket is paused. */
const INBOX_LIMIT_BYTES = 1024 * 1024;
/** Requests of open transactions wait this long for tokens, because a refusal would end them. */
const TRANSACTION_RATE_WAIT_MS = 5_000;
/** Small answers need no credit of their own: what is left over is far below the owner's window. */
const CREDIT_STEP_BYTES = 32 * 1024;
/** Time before a request that an owner did not start is sent to the present owner. */
const OWNER_RETRY_DELAY_MS = 15;
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

/** A refusal that the caller gets in place of an answer. */
interface Replacement {
  readonly refusal: Refusal;
  readonly isRefusalSent: boolean;
}

function replacementOf({ replacedBy, isRefusalSent }: OpenRequest): Replacement | undefined {
  return replacedBy && { refusal: replacedBy, isRefusalSent };
}

/** Sends a chunk to the group's owner, as a new request or as more of the open one. */
async function sendChunk(
  session: CallerSession,
  built: BuiltChunk,
  replacement?: Replacement,
): Promise<void> {
  const { request } = session;
  if (request) {
    request.chunks.push(built);
    request.isComplete = built.chunk.isFinal;
    const { number, port } = request;
    port.send({ kind: 'request/more', session: session.id, number, chunk: built.chunk });
    return;
  }
  const deadlineMs = performance.now() + session.environment.failoverWaitMs;
  await startRequest(session, [built], deadlineMs, replacement);
}

/** Starts a request at the present owner; waits for one while there is none. */
async function startRequest(
  session: CallerSession,
  chunks: readonly BuiltChunk[],
  deadlineMs: number,
  replacement?: Replacement,
): Promise<void> {
  const port = await findPort(session, deadlineMs);
  if (session.isClosed) return;
  if (!port) {
    const [first] = chunks;
    if (first) refuseWithoutOwner(session, first);
    processInbox(session);
    return;
  }
  const [first, ...more] = chunks;
  if (!first) return;
  const number = session.nextNumber;
  session.nextNumber += 1;
  session.request = {
    number,
    port,
    chunks: [...chunks],
    deadlineMs,
    isComplete: chunks.at(-1)?.chunk.isFinal ?? true,
    hasForwarded: false,
    replacedBy: replacement?.refusal,
    isRefusalSent: replacement?.isRefusalSent ?? false,
  };
  openAtOwner(session, port);
  const wasSent = port.send({
    kind: 'request/start',
    session: session.id,
    number,
    intent: first.intent,
    readAgeAllowanceMs: session.environment.readAgeAllowanceMs(session.customer),
    settings: Object.fromEntries(session.settings),
    settingEffect: first.settingEffect,
    chunk: first.chunk,
  });
  for (const { chunk } of more) {
    port.send({ kind: 'request/more', session: session.id, number, chunk });
  }
  if (!wasSent) handlePortLost(session, port);
}

async function findPort(
  session: CallerSession,
  deadlineMs: number,
): Promise<OwnerPort | undefined> {
  const { locator } = session.environment;
  if (session.status !== 'idle') return session.port;
  const found = locator.find(session.group);
  if (found) return found;
  session.isPreparing = true;
  const awaited = await locator.await(session.group, deadlineMs - performance.now());
  session.isPreparing = false;
  return awaited;
}

function refuseWithoutOwner(session: CallerSession, built: BuiltChunk): void {
  if (session.status !== 'idle') {
    endWithRefusal(session, refuse('transaction-lost'));
    return;
  }
  sendRefusal(session, refuse('no-owner'));
  finishExchange(session, built.chunk.isFinal);
}

/** An owner that does not know the session yet is told about it first. */
function openAtOwner(session: CallerSession, port: OwnerPort): void {
  if (session.port === port) return;
  session.port = port;
  session.unreturnedCreditBytes = 0;
  port.send({
    kind: 'session/open',
    session: session.id,
    group: session.group,
    ownerEpoch: port.epoch,
    customer: session.customer,
    readAgeAllowanceMs: session.environment.readAgeAllowanceMs(session.customer),
    mark: session.mark,
  });
}

/** Takes a message that the owner sent for this session. */
export function takeAnswer(session: CallerSession, message: FromOwnerMessage): void {
  if (session.isClosed) return;
  if (message.kind === 'session/lost') {
    endWithRefusal(session, message.refusal);
    return;
  }
  const { request } = session;
  // Answers to earlier requests that come late belong to nobody.
  if (request?.number !== message.number) return;
  if (message.kind === 'request/end') {
    endRequest(session, request, message);
    return;
  }
  const { bytes } = message;
  const { port } = request;
  const giveCredit = () => {
    returnCredit(session, port, bytes.length);
  };
  if (request.replacedBy) {
    giveCredit();
    return;
  }
  request.hasForwarded = true;
  writeBatched(session.socket, bytes, giveCredit);
}

/** Tells the owner in larger steps how much of the answer the caller has taken. */
function returnCredit(session: CallerSession, port: OwnerPort, bytes: number): void {
  session.unreturnedCreditBytes += bytes;
  if (session.unreturnedCreditBytes < CREDIT_STEP_BYTES) return;
  port.send({
    kind: 'request/credit',
    session: session.id,
    bytes: session.unreturnedCreditBytes,
  });
  session.unreturnedCreditBytes = 0;
}

type RequestEnd = Extract<FromOwnerMessage, { kind: 'request/end' }>;

function endRequest(session: CallerSession, request: OpenRequest, end: RequestEnd): void {
  const { refusal } = end;
  session.request = undefined;
  if (refusal && isWorthRetrying(session, request, refusal)) {
    session.environment.counters.count(`retry.${refusal.reason}`);
    session.isPreparing = true;
    setTimeout(() => {
      session.isPreparing = false;
      if (session.isClosed) return;
      void startRequest(session, request.chunks, request.deadlineMs, replacementOf(request));
    }, OWNER_RETRY_DELAY_MS);
    return;
  }
  if (refusal?.reason === 'transaction-lost') {
    endWithRefusal(session, refusal);
    return;
  }
  session.status = end.status;
  session.lastActiveMs = performance.now();
  if (refusal) writeBatched(session.socket, buildRefusal(refusal, false));
  else noteSuccess(session, request, end);
  if (request.replacedBy && !request.isRefusalSent) sendRefusal(session, request.replacedBy);
  finishExchange(session, request.isComplete);
  const hasMoreInput = session.inbox.length > 0;
  if (session.environment.isStopping() && session.status === 'idle' && !hasMoreInput) {
    endWithRefusal(session, refuse('owner-stopping', 'this entry is stopping; connect again'));
  }
  setImmediate(processInbox, session);
}

/** Says that the session is ready, unless the caller's Sync is still to come. */
function finishExchange(session: CallerSession, isComplete: boolean): void {
  if (session.isSkipping) return;
  if (isComplete) sendReady(session);
  else session.isSkipping = true;
}

/** Nothing of the request was run, and none of its answer was passed on: it may go to another owner. */
function isWorthRetrying(session: CallerSession, request: OpenRequest, refusal: Refusal): boolean {
  const isOwnerGone =
    refusal.reason === 'owner-lost-before-start' || refusal.reason === 'owner-stopping';
  if (!isOwnerGone || request.hasForwarded || session.status !== 'idle') return false;
  session.port = undefined;
  return performance.now() < request.deadlineMs;
}

function noteSuccess(session: CallerSession, request: OpenRequest, end: RequestEnd): void {
  const [first] = request.chunks;
  const { counters } = session.environment;
  if (first?.intent === 'read') counters.count(end.isFromReplica ? 'read.replica' : 'read.primary');
  else counters.count('write');
  if (first?.settingEffect) applySettingEffect(session, first.settingEffect);
  if (end.mark.offset > 0) {
    reportMark(session, session.mark ? latestPosition(session.mark, end.mark) : end.mark);
  }
}

function applySettingEffect(
  session: CallerSession,
  effect: NonNullable<BuiltChunk['settingEffect']>,
): void {
  const { name, text } = effect;
  if (name === null) session.settings.clear();
  else if (text === null) session.settings.delete(name);
  else if (name === SESSION_PARAMETER) adoptMark(session, text);
  else session.settings.set(name, text);
}

/** `SET bramleykeel.session = 'term/offset'`: the caller brings a mark from another connection. */
function adoptMark(session: CallerSession, text: string): void {
  const position = parsePosition(/'([^']*)'/.exec(text)?.[1] ?? '');
  if (!position) return;
  session.mark = session.mark ? latestPosition(session.mark, position) : position;
  closeAtOwner(session);
}

function closeAtOwner(session: CallerSession): void {
  session.port?.send({ kind: 'session/close', session: session.id });
  session.port = undefined;
}

/** The port to the owner was lost. */
export function handlePortLost(session: CallerSession, port: OwnerPort): void {
  if (session.isClosed || session.port !== port) return;
  session.port = undefined;
  const { request } = session;
  if (!request) {
    if (session.status !== 'idle') endWithRefusal(session, refuse('transaction-lost'));
    return;
  }
  session.request = undefined;
  session.isPreparing = true;
  void resolveLostRequest(session, port, request).then(() => {
    processInbox(session);
  });
}

async function resolveLostRequest(
  session: CallerSession,
  port: OwnerPort,
  request: OpenRequest,
): Promise<void> {
  const { environment, id } = session;
  if (session.status !== 'idle') {
    session.isPreparing = false;
    const mayHaveCommitted = request.chunks.some(({ chunk }) => chunk.mayCommit);
    const endsIt = request.chunks.some(({ endsTransaction }) => endsTransaction);
    const isUnknown = mayHaveCommitted && endsIt;
    endWithRefusal(session, refuse(isUnknown ? 'owner-lost-after-start' : 'transaction-lost'));
    return;
  }
  const isRead = request.chunks.every(({ intent, chunk }) => intent === 'read' && !chunk.mayCommit);
  const isHarmless = isRead && !request.hasForwarded;
  const query = { session: id, number: request.number };
  const fate = isHarmless ? 'not-started' : await environment.locator.askFate(port, query);
  session.isPreparing = false;
  if (session.isClosed) return;
  if (fate === 'not-started' && !request.hasForwarded) {
    environment.counters.count('retry.owner-lost');
    await startRequest(session, request.chunks, request.deadlineMs, replacementOf(request));
    return;
  }
  sendRefusal(session, refuse('owner-lost-after-start'));
  finishExchange(session, request.isComplete);
}

/** Ends a session from this side: the caller has gone, its key was withdrawn, or the entry stops. */
export function closeSession(session: CallerSession): void {
  if (session.isClosed) return;
  session.isClosed = true;
  closeAtOwner(session);
}

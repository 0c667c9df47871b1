/** Sends requests to the group's owner, forwards its answers, and handles the loss of the owner. */
import {
  type FromOwnerMessage,
  latestPosition,
  parsePosition,
  type Refusal,
  refuse,
} from '@bramleykeel/core';
import { writeBatched } from '@bramleykeel/link';
import type { OwnerPort } from '../locate/owner-port.js';
import {
  buildRefusal,
  endWithRefusal,
  reportMark,
  sendReady,
  sendRefusal,
  SESSION_PARAMETER,
} from './caller-output.js';
import { measureSettings } from './caller-limits.js';
import type { CallerSession, OpenRequest } from './caller-state.js';
import type { BuiltChunk } from './chunk-builder.js';

/**
 * Credit is returned to the owner in batches of at least this size. The remainder is far below the
 * owner's window, so small answers need no credit message.
 */
const CREDIT_BATCH_BYTES = 32 * 1024;
/** Delay before a request that an owner did not start is sent again, to the current owner. */
const OWNER_RETRY_DELAY_MS = 15;
/** As often as an owner runs a read itself: one that three owners have left without an answer may be what ends them. */
const MAX_OWNERS_OF_READ = 3;

/** Refusal that the caller receives instead of the answer to a request. */
export interface AnswerReplacement {
  readonly refusal: Refusal;
  readonly isRefusalSent: boolean;
}

function replacementOf({ replacedBy, isRefusalSent }: OpenRequest): AnswerReplacement | undefined {
  return replacedBy && { refusal: replacedBy, isRefusalSent };
}

/** Sends a chunk to the group's owner, as a new request or as a continuation of the open one. */
export async function sendChunk(
  session: CallerSession,
  built: BuiltChunk,
  replacement?: AnswerReplacement,
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
  await startRequest(session, { chunks: [built], deadlineMs, unansweredRuns: 0, replacement });
}

/** What is kept of a request from one owner to the next. */
interface StartedRequest {
  readonly chunks: readonly BuiltChunk[];
  readonly deadlineMs: number;
  readonly unansweredRuns: number;
  readonly replacement: AnswerReplacement | undefined;
}

/** Starts a request at the current owner; waits until its deadline if the group has none. */
async function startRequest(session: CallerSession, started: StartedRequest): Promise<void> {
  const { chunks, deadlineMs, unansweredRuns, replacement } = started;
  // The next request of the session waits until this one is open.
  session.isPreparing = true;
  const port = await findPort(session, deadlineMs);
  session.isPreparing = false;
  if (session.isClosed) return;
  if (!port) {
    const [first] = chunks;
    if (first) refuseWithoutOwner(session, first, unansweredRuns);
    session.continueInput();
    return;
  }
  const [first, ...more] = chunks;
  if (!first) return;
  const number = session.nextRequestNumber;
  session.nextRequestNumber += 1;
  session.request = {
    number,
    port,
    chunks: [...chunks],
    deadlineMs,
    unansweredRuns,
    isComplete: chunks.at(-1)?.chunk.isFinal ?? true,
    hasForwardedAnswer: false,
    replacedBy: replacement?.refusal,
    isRefusalSent: replacement?.isRefusalSent ?? false,
  };
  openSessionAtOwner(session, port);
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
  if (!wasSent) handleNotSent(session, port, session.request);
  session.continueInput();
}

/**
 * Sends a request again that did not reach its owner: the link has just closed, or does not take what is longer than a
 * frame may be. A transaction cannot go on without it.
 */
function handleNotSent(session: CallerSession, port: OwnerPort, request: OpenRequest): void {
  if (session.status !== 'idle') {
    handlePortLost(session, port);
    return;
  }
  if (!port.isOpen()) session.port = undefined;
  session.request = undefined;
  if (performance.now() < request.deadlineMs) {
    session.environment.counters.count('retry.not-sent');
    restartAfterDelay(session, request);
    return;
  }
  sendRefusal(session, refusalAfterRuns(refuse('no-owner'), request.unansweredRuns));
  finishExchange(session, request.isComplete);
}

function restartAfterDelay(session: CallerSession, request: OpenRequest): void {
  session.isPreparing = true;
  setTimeout(() => {
    session.isPreparing = false;
    if (session.isClosed) return;
    void startRequest(session, { ...request, replacement: replacementOf(request) });
  }, OWNER_RETRY_DELAY_MS);
}

async function findPort(
  session: CallerSession,
  deadlineMs: number,
): Promise<OwnerPort | undefined> {
  const { locator } = session.environment;
  if (session.status !== 'idle') return session.port;
  const found = locator.findOwner(session.group);
  if (found) return found;
  return locator.awaitOwner(session.group, deadlineMs - performance.now());
}

function refuseWithoutOwner(
  session: CallerSession,
  built: BuiltChunk,
  unansweredRuns: number,
): void {
  if (session.status !== 'idle') {
    endWithRefusal(session, refuse('transaction-lost'));
    return;
  }
  sendRefusal(session, refusalAfterRuns(refuse('no-owner'), unansweredRuns));
  finishExchange(session, built.chunk.isFinal);
}

/** A read that was refused as not run may have run at an owner before. */
function refusalAfterRuns(refusal: Refusal, unansweredRuns: number): Refusal {
  const isTrue = refusal.outcome !== 'not-run' || unansweredRuns === 0;
  return isTrue ? refusal : refuse('owner-lost-after-start');
}

/** Opens the session at the owner unless it was opened there before. */
function openSessionAtOwner(session: CallerSession, port: OwnerPort): void {
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

/** Handles a message that the owner sent for this session. */
export function handleOwnerMessage(session: CallerSession, message: FromOwnerMessage): void {
  if (session.isClosed) return;
  if (message.kind === 'session/lost') {
    endWithRefusal(session, message.refusal);
    return;
  }
  const { request } = session;
  // Ignore late answers to earlier requests.
  if (request?.number !== message.number) return;
  if (message.kind === 'request/end') {
    endRequest(session, request, message);
    return;
  }
  const { bytes } = message;
  const { port } = request;
  const returnChunkCredit = () => {
    returnCredit(session, port, bytes.length);
  };
  if (request.replacedBy) {
    returnChunkCredit();
    return;
  }
  request.hasForwardedAnswer = true;
  writeBatched(session.socket, bytes, returnChunkCredit);
}

/** Returns credit for answer bytes that were written to the caller, in batches. */
function returnCredit(session: CallerSession, port: OwnerPort, bytes: number): void {
  session.unreturnedCreditBytes += bytes;
  if (session.unreturnedCreditBytes < CREDIT_BATCH_BYTES) return;
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
  if (refusal && canRetry(session, request, refusal)) {
    session.environment.counters.count(`retry.${refusal.reason}`);
    restartAfterDelay(session, request);
    return;
  }
  if (refusal && isTransactionLost(session, request, end)) {
    endWithRefusal(session, refuse('transaction-lost'));
    return;
  }
  session.status = end.status;
  session.lastActiveMs = performance.now();
  if (refusal) {
    const reported = refusalAfterRuns(refusal, request.unansweredRuns);
    writeBatched(session.socket, buildRefusal(reported, false));
  } else recordSuccess(session, request, end);
  if (request.replacedBy && !request.isRefusalSent) sendRefusal(session, request.replacedBy);
  finishExchange(session, request.isComplete);
  const hasMoreInput = session.inbox.length > 0;
  if (session.environment.closesAfterAnswers() && session.status === 'idle' && !hasMoreInput) {
    endWithRefusal(session, refuse('owner-stopping', 'this entry is stopping; connect again'));
  }
  setImmediate(session.continueInput);
}

/**
 * Whether the session's open transaction was rolled back, so that its next statement must not be run. Owners that are
 * stopping or do not know the session no longer hold it, and it does not survive the connection of a statement in it.
 */
function isTransactionLost(
  session: CallerSession,
  request: OpenRequest,
  { refusal, status }: RequestEnd,
): boolean {
  if (refusal?.reason === 'transaction-lost') return true;
  if (!refusal || session.status === 'idle') return false;
  const isCut = refusal.outcome === 'outcome-unknown' && status === 'idle';
  const mayHaveEnded = request.chunks.some(({ endsTransaction }) => endsTransaction);
  return isOwnerGone(refusal) || (isCut && !mayHaveEnded);
}

function isOwnerGone({ reason }: Refusal): boolean {
  return reason === 'owner-lost-before-start' || reason === 'owner-stopping';
}

/** Sends ReadyForQuery, or skips messages up to the caller's Sync if the request is incomplete. */
export function finishExchange(session: CallerSession, isComplete: boolean): void {
  if (session.isSkippingToSync) return;
  if (isComplete) sendReady(session);
  else session.isSkippingToSync = true;
}

/**
 * Whether a request can be sent to another owner: nothing of it was run, and no part of its answer
 * was forwarded. Clears the session's port to the owner that refused it.
 */
function canRetry(session: CallerSession, request: OpenRequest, refusal: Refusal): boolean {
  if (!isOwnerGone(refusal) || request.hasForwardedAnswer || session.status !== 'idle')
    return false;
  session.port = undefined;
  return performance.now() < request.deadlineMs;
}

function recordSuccess(session: CallerSession, request: OpenRequest, end: RequestEnd): void {
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
  else if (name === SESSION_PARAMETER) applySessionMark(session, text);
  else session.settings.set(name, text);
  session.settingsBytes = measureSettings(session.settings);
}

/**
 * Applies the mark that a caller passes on from another connection with
 * `SET bramleykeel.session = 'term/offset'`.
 */
function applySessionMark(session: CallerSession, text: string): void {
  const position = parsePosition(/'([^']*)'/.exec(text)?.[1] ?? '');
  if (!position) return;
  session.mark = session.mark ? latestPosition(session.mark, position) : position;
  closeSessionAtOwner(session);
}

export function closeSessionAtOwner(session: CallerSession): void {
  session.port?.send({ kind: 'session/close', session: session.id });
  session.port = undefined;
}

/** Handles the loss of the port to the owner; ignored if the session no longer uses that port. */
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
    session.continueInput();
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
    const hasTransactionEnd = request.chunks.some(({ endsTransaction }) => endsTransaction);
    const isOutcomeUnknown = mayHaveCommitted && hasTransactionEnd;
    endWithRefusal(
      session,
      refuse(isOutcomeUnknown ? 'owner-lost-after-start' : 'transaction-lost'),
    );
    return;
  }
  const isRead = request.chunks.every(({ intent, chunk }) => intent === 'read' && !chunk.mayCommit);
  const isRepeatable = isRead && !request.hasForwardedAnswer;
  const query = { ownerEpoch: port.epoch, session: id, number: request.number };
  const status = isRepeatable
    ? 'may-have-run'
    : await environment.locator.queryRequestStatus(port, query);
  session.isPreparing = false;
  if (session.isClosed) return;
  const unansweredRuns = request.unansweredRuns + (isRepeatable ? 1 : 0);
  const isRetried = isRepeatable
    ? unansweredRuns < MAX_OWNERS_OF_READ
    : status === 'not-started' && !request.hasForwardedAnswer;
  environment.log('owner lost while a request was open', {
    ...{ group: session.group, ownerEpoch: port.epoch, session: id, number: request.number },
    ...{ status, unansweredRuns, isRetried },
  });
  if (isRetried) {
    environment.counters.count('retry.owner-lost');
    await startRequest(session, {
      ...request,
      ...{ unansweredRuns, replacement: replacementOf(request) },
    });
    return;
  }
  sendRefusal(session, refuse('owner-lost-after-start'));
  finishExchange(session, request.isComplete);
}

/** The way of one request: to the group's owner, and its answer back, also when the owner is lost. */
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
import type { CallerSession, OpenRequest } from './caller-state.js';
import type { BuiltChunk } from './chunk-builder.js';

/** Small answers need no credit of their own: what is left over is far below the owner's window. */
const CREDIT_STEP_BYTES = 32 * 1024;
/** Time before a request that an owner did not start is sent to the present owner. */
const OWNER_RETRY_DELAY_MS = 15;

/** A refusal that the caller gets in place of an answer. */
export interface Replacement {
  readonly refusal: Refusal;
  readonly isRefusalSent: boolean;
}

function replacementOf({ replacedBy, isRefusalSent }: OpenRequest): Replacement | undefined {
  return replacedBy && { refusal: replacedBy, isRefusalSent };
}

/** Sends a chunk to the group's owner, as a new request or as more of the open one. */
export async function sendChunk(
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
    session.continueInput();
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
  if (refusal && isTransactionLost(session, refusal)) {
    endWithRefusal(session, refuse('transaction-lost'));
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
  setImmediate(session.continueInput);
}

/** An owner that does not know the session, or is stopping, has no transaction of it any more. */
function isTransactionLost(session: CallerSession, refusal: Refusal): boolean {
  if (refusal.reason === 'transaction-lost') return true;
  return session.status !== 'idle' && isOwnerGone(refusal);
}

function isOwnerGone({ reason }: Refusal): boolean {
  return reason === 'owner-lost-before-start' || reason === 'owner-stopping';
}

/** Says that the session is ready, unless the caller's Sync is still to come. */
export function finishExchange(session: CallerSession, isComplete: boolean): void {
  if (session.isSkipping) return;
  if (isComplete) sendReady(session);
  else session.isSkipping = true;
}

/** Nothing of the request was run, and none of its answer was passed on: it may go to another owner. */
function isWorthRetrying(session: CallerSession, request: OpenRequest, refusal: Refusal): boolean {
  if (!isOwnerGone(refusal) || request.hasForwarded || session.status !== 'idle') return false;
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

export function closeAtOwner(session: CallerSession): void {
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
    const endsIt = request.chunks.some(({ endsTransaction }) => endsTransaction);
    const isUnknown = mayHaveCommitted && endsIt;
    endWithRefusal(session, refuse(isUnknown ? 'owner-lost-after-start' : 'transaction-lost'));
    return;
  }
  const isRead = request.chunks.every(({ intent, chunk }) => intent === 'read' && !chunk.mayCommit);
  const isHarmless = isRead && !request.hasForwarded;
  const query = { ownerEpoch: port.epoch, session: id, number: request.number };
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

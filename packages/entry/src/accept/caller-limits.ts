/** Limits that the callers of an entry share, and what the sessions of callers report to them. */
import {
  assignCustomer,
  type BudgetAccount,
  type BudgetHolder,
  type ByteBudget,
  createByteBudget,
  createHolder,
  enforceBudget,
  mustPause,
  mustRefuse,
  type Refusal,
  refuse,
  releaseHolder,
  setHeld,
} from '@bramleykeel/core';
import {
  type BufferCollector,
  createBufferCollector,
  limitLog,
  type Log,
  type ProcessLimits,
} from '@bramleykeel/link';
import {
  bufferedBytesOf,
  createPiecePool,
  dropReceived,
  type PiecePool,
  type WireMessage,
} from '@bramleykeel/postgres-wire';
import { buildRefusal } from './caller-output.js';
import type { CallerSession } from './caller-state.js';

export interface CallerLimits {
  readonly budget: ByteBudget;
  readonly collector: BufferCollector;
  readonly piecePool: PiecePool;
  readonly maxConnections: number;
  readonly messageTimeoutMs: number;
  readonly limitedLog: Log;
}

/** Part of the descriptors that callers may use; the others are for targets, peers, control and operators. */
const CALLERS_SHARE_OF_DESCRIPTORS = 0.85;
/** Unprocessed input above which the socket of a caller whose request runs is not read from. */
const MAX_WAITING_BYTES = 256 * 1024;
/** Unsent bytes of answers above which no further request of a caller is taken. */
const MAX_UNSENT_BYTES = 256 * 1024;
/** A message is held in pieces, and in one buffer as soon as it is complete. */
const COPIES_OF_INPUT = 2;
/** Texts of shorter messages are freed with other young objects. */
const LONG_MESSAGE_BYTES = 128 * 1024;
/** A request is held as messages and in the socket to its target. */
const COPIES_OF_REQUEST = 2;
/** Shorter requests are young still when they end, so they do not cause full collections. */
const MIN_DROPPED_BYTES = 64 * 1024;

/** Creates the limits that all callers of an entry share. */
export function createCallerLimits(
  { budgetBytes, maxDescriptors }: ProcessLimits,
  { maxCallers, messageTimeoutMs }: { maxCallers: number; messageTimeoutMs: number },
  log: Log,
): CallerLimits {
  const byDescriptors = Math.floor(maxDescriptors * CALLERS_SHARE_OF_DESCRIPTORS);
  const collector = createBufferCollector();
  return {
    budget: createByteBudget(budgetBytes),
    collector,
    piecePool: createPiecePool(collector.countDropped),
    maxConnections: Math.min(maxCallers, byDescriptors),
    messageTimeoutMs,
    limitedLog: limitLog(log),
  };
}

/** Creates the account of a session; `close` is called when the session is closed to keep the budget. */
export function createCallerHolder(
  { budget }: CallerLimits,
  customer: string,
  close: (reason: string) => void,
): BudgetHolder {
  const holder = createHolder(close);
  assignCustomer(budget, holder, customer);
  return holder;
}

/** Whether a request of the session runs or waits, so that further input is not processed yet. */
function isBusy({ isPreparing, request }: CallerSession): boolean {
  return isPreparing || (request?.isComplete ?? false);
}

/** Whether the answers that the caller has not read are few enough to take its next request. */
export function mayTakeRequest({ socket }: CallerSession): boolean {
  return socket.writableLength < MAX_UNSENT_BYTES;
}

/** Whether a new request is refused as not run; in a transaction, a refusal would abort it. */
export function mustRefuseRequest({
  environment,
  holder,
  request,
  status,
}: CallerSession): boolean {
  return status === 'idle' && !request && mustRefuse(environment.limits.budget, holder);
}

/** Counts the texts of long messages as garbage, and the pieces of which their frames were joined. */
export function countClassified(
  { environment }: CallerSession,
  messages: readonly WireMessage[],
): void {
  for (const { frame } of messages) {
    if (frame.length < LONG_MESSAGE_BYTES) continue;
    environment.limits.collector.countDropped(frame.length * COPIES_OF_REQUEST);
  }
}

/** Counts the messages of a request as garbage once it has ended; called before the next one is taken. */
export function countEndedRequest(session: CallerSession): void {
  if (session.takenBytes === 0 || session.request || session.isPreparing) return;
  const endedBytes = session.takenBytes;
  session.takenBytes = 0;
  if (endedBytes < MIN_DROPPED_BYTES) return;
  session.environment.limits.collector.countDropped(endedBytes * COPIES_OF_REQUEST);
}

/**
 * Reports what the session holds, closes sessions if the budget is exceeded, and decides whether the session's socket
 * is read from.
 */
export function updateHeld(session: CallerSession): void {
  if (session.isClosed) return;
  const { environment, holder, socket } = session;
  const { budget } = environment.limits;
  const isWaiting = isBusy(session) || !mayTakeRequest(session);
  countEndedRequest(session);
  const receivedBytes = bufferedBytesOf(session.framer) * COPIES_OF_INPUT;
  hold('input', receivedBytes + (isWaiting ? 0 : session.inboxBytes));
  hold('queued', (isWaiting ? session.inboxBytes : 0) + session.takenBytes * COPIES_OF_REQUEST);
  hold('unsent', socket.writableLength);
  hold('state', session.statements.heldBytes + session.settingsBytes);
  if (receivedBytes === 0 || isWaiting) session.messageSinceMs = 0;
  else if (session.messageSinceMs === 0) session.messageSinceMs = performance.now();
  enforceBudget(budget);
  if (isWaiting && (hasMuchInput() || mustPause(budget, holder))) socket.pause();
  else socket.resume();

  function hold(account: BudgetAccount, bytes: number): void {
    setHeld(budget, holder, account, bytes, performance.now());
  }

  function hasMuchInput(): boolean {
    return receivedBytes + session.inboxBytes > MAX_WAITING_BYTES;
  }
}

/** Whether the session's message was not finished in time. */
export function isOverdue({ messageSinceMs, environment }: CallerSession, nowMs: number): boolean {
  return messageSinceMs > 0 && nowMs - messageSinceMs > environment.limits.messageTimeoutMs;
}

/** Number of bytes that settings hold. */
export function measureSettings(settings: ReadonlyMap<string, string>): number {
  let bytes = 0;
  for (const [name, text] of settings) bytes += name.length + text.length;
  return bytes;
}

/** Removes a session that has ended from the budget, and frees its input. */
export function releaseHeld(session: CallerSession): void {
  const { collector, budget } = session.environment.limits;
  collector.countDropped(session.inboxBytes + session.takenBytes * COPIES_OF_REQUEST);
  dropReceived(session.framer);
  session.inbox.length = 0;
  session.inboxBytes = 0;
  releaseHolder(budget, session.holder);
}

/** Closes the socket of a session to keep the budget; a caller without a request in progress is told that nothing ran. */
export function closeSocketForBudget(session: CallerSession, reason: string): void {
  closeSocket(session, reason, refuse('memory-pressure'));
}

/** Closes the socket of a session whose message was not finished in time. */
export function closeSocketForTime(session: CallerSession): void {
  closeSocket(session, 'message-timeout', refuse('message-timeout'));
}

function closeSocket(session: CallerSession, reason: string, refusal: Refusal): void {
  const { socket, environment, customer, group } = session;
  environment.counters.count(`limit.${reason}`);
  environment.limits.limitedLog('connection of a caller closed by a limit', {
    ...{ reason, customer, group, inputBytes: bufferedBytesOf(session.framer) },
    ...{ inboxBytes: session.inboxBytes, unsentBytes: socket.writableLength },
  });
  if (isBusy(session) || session.request || socket.writableLength > 0) {
    socket.destroy();
    return;
  }
  environment.counters.count(`refusal.${refusal.reason}`);
  socket.write(buildRefusal(refusal, true));
  socket.destroySoon();
}

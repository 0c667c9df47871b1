/** Runs a caller's session: its requests one at a time, its values, prepared names and transaction. */
import {
  latestPosition,
  type LogPosition,
  type StatementBody,
  type StatementOutcome,
} from '@bramleykeel/core';
import { runStatement } from '../locate/owner-client.js';
import { hasPendingChange, withdrawCaller } from '../locate/statement-caller.js';
import { runNearest } from '../near/reader-client.js';
import { findAdmission, findHomes } from './access.js';
import {
  admitOperation,
  hasReachedNoTarget,
  notRun,
  RETRY_AFTER_MS,
  returnToken,
} from './admit-operation.js';
import { commonDraftFields, deadlinesOf } from './draft.js';
import { recordSuccess, refuseRequest } from './report.js';
import type { CallerSession, SessionTransaction } from './session-state.js';
import {
  dropPrepared,
  MAX_SESSION_STATE_BYTES,
  prepareStatement,
  setValue,
} from './session-values.js';
import type { CallerPort, CallerRequest } from '../types/caller-port.js';

const STATE_TOO_LARGE = {
  kind: 'malformed',
  reason: `a session keeps at most ${MAX_SESSION_STATE_BYTES} bytes of values and prepared statements`,
} as const;

/** Queues a request; requests of a session are answered in order. */
export function submitRequest(session: CallerSession, request: CallerRequest): void {
  if (session.isClosed) return;
  session.queuedRequests.push(request);
  if (!session.isRunning) void runQueuedRequests(session);
}

async function runQueuedRequests(session: CallerSession): Promise<void> {
  session.isRunning = true;
  for (let next = session.queuedRequests.shift(); next; next = session.queuedRequests.shift()) {
    session.requestSinceMs = performance.now();
    session.runningRequest = next;
    await runRequest(session, next);
    session.port.endRequest();
  }
  session.isRunning = false;
  if (session.isClosed) rollBackOpenTransaction(session);
}

/** Whether the session can be closed without interrupting a transaction or a request. */
export function isIdle(session: CallerSession): boolean {
  return session.state === 'idle' && isUnused(session);
}

/** Whether no request of the session waits for an answer. */
export function isUnused(session: CallerSession): boolean {
  return !session.isRunning && session.queuedRequests.length === 0;
}

/**
 * Answers the requests of a session that must end now. The outcome of a running one is unknown, unless it is a statement of a
 * transaction whose COMMIT was not sent, or a write that no owner has.
 */
export function abandonRequests(session: CallerSession): void {
  const { isRunning, runningRequest, queuedRequests, port } = session;
  if (session.isClosed) return;
  if (isRunning) {
    const isInTransaction = session.state === 'open' && runningRequest?.kind !== 'commit';
    session.state = isInTransaction ? 'failed' : 'idle';
    const kind = isInTransaction ? 'aborted' : 'unknown';
    const tag = runningRequest && 'tag' in runningRequest ? runningRequest.tag : undefined;
    const isUnsent = !isInTransaction && isUnsentWrite(session);
    const error = isUnsent
      ? notRun('entry-stopping', RETRY_AFTER_MS)
      : ({ kind, reason: 'the entry stops' } as const);
    refuseRequest(session, error, tag);
  }
  session.isClosed = true;
  queuedRequests.forEach(() => {
    port.refuse(notRun('entry-stopping', RETRY_AFTER_MS), session.state);
  });
  queuedRequests.length = 0;
}

/** Whether the running request is a write that no owner has; reads may be at a reader. It is not sent any more. */
function isUnsentWrite({ caller, runningRequest, prepared }: CallerSession): boolean {
  if (hasPendingChange(caller) || !runningRequest) return false;
  caller.isGone = true;
  if (runningRequest.kind === 'statement') return runningRequest.access === 'write';
  return runningRequest.kind === 'execute' && prepared.get(runningRequest.name)?.access === 'write';
}

/**
 * Closes the session of a caller that has disconnected: withdraws its waiting statement, and rolls back an open
 * transaction after a running request has ended.
 */
export function closeSession(session: CallerSession): void {
  session.isClosed = true;
  withdrawCaller(session.caller);
  session.queuedRequests.length = 0;
  if (!session.isRunning) rollBackOpenTransaction(session);
}

function rollBackOpenTransaction(session: CallerSession): void {
  const { transaction } = session;
  session.transaction = undefined;
  if (!transaction) return;
  transaction.ownerPort?.sendRollback(transaction.number);
  if (!transaction.mayHaveReachedTarget) returnToken(session, transaction.token);
}

function runRequest(session: CallerSession, request: CallerRequest): Promise<void> | void {
  const isTransactionEnd = request.kind === 'rollback' || request.kind === 'commit';
  if (session.state === 'failed' && !isTransactionEnd) {
    session.port.refuse({ kind: 'malformed', reason: 'the transaction has failed' }, 'failed');
    return;
  }
  // A plain switch, because this runs for each statement and patterns allocate a closure for each case.
  switch (request.kind) {
    case 'begin':
      return beginTransaction(session, request.isReadOnly);
    case 'commit':
      return commitTransaction(session, request.tag, request.text);
    case 'rollback':
      if (session.transaction) rollBackOpenTransaction(session);
      session.state = 'idle';
      acknowledgeRequest(session);
      return;
    case 'statement': {
      const { tag, access, text } = request;
      return runStatementRequest(session, tag, access, { kind: 'plain', text });
    }
    case 'execute':
      return runPrepared(session, request);
    case 'set':
      acknowledgeState(session, setValue(session, request.name, request.value));
      return;
    case 'prepare': {
      const { name, access, shape } = request;
      acknowledgeState(session, prepareStatement(session, name, { access, shape }));
      return;
    }
    case 'deallocate':
      dropPrepared(session, request.name);
      acknowledgeRequest(session);
      return;
    case 'malformed':
      refuseStatement(session, request);
      return;
    case 'overloaded':
      refuseStatement(session, notRun('memory-pressure', RETRY_AFTER_MS));
  }
}

function runPrepared(
  session: CallerSession,
  { tag, name, argument }: Extract<CallerRequest, { readonly kind: 'execute' }>,
): Promise<void> | void {
  const prepared = session.prepared.get(name);
  if (!prepared) {
    refuseStatement(session, { kind: 'unknown-prepared-name', name });
    return;
  }
  const body = { kind: 'prepared', ...prepared, argument } as const;
  return runStatementRequest(session, tag, prepared.access, body);
}

/** Answers a request that the session handles without a server. */
function acknowledgeRequest(session: CallerSession): void {
  session.port.answer([], null, session.state, null);
}

function acknowledgeState(session: CallerSession, isKept: boolean): void {
  if (isKept) acknowledgeRequest(session);
  else refuseStatement(session, STATE_TOO_LARGE);
}

async function beginTransaction(session: CallerSession, isReadOnly: boolean): Promise<void> {
  if (session.transaction) {
    refuseStatement(session, { kind: 'malformed', reason: 'a transaction is open already' });
    return;
  }
  const admission = await admitOperation(session, 'BEGIN');
  if (!admission) return;
  const number = session.environment.nextTransactionNumber();
  session.transaction = {
    ...admission,
    number,
    isReadOnly,
    mayHaveReachedTarget: false,
    ownerPort: undefined,
  };
  session.state = 'open';
  acknowledgeRequest(session);
}

async function commitTransaction(session: CallerSession, tag: string, text: string): Promise<void> {
  const { transaction, state } = session;
  if (!transaction || state === 'failed') {
    rollBackOpenTransaction(session);
    session.state = 'idle';
    const aborted = { kind: 'aborted', reason: 'the transaction had failed' } as const;
    const malformed = { kind: 'malformed', reason: 'no transaction is open' } as const;
    session.port.refuse(state === 'failed' ? aborted : malformed, 'idle');
    return;
  }
  const outcome = await runInTransaction(session, transaction, tag, 'commit', {
    kind: 'plain',
    text,
  });
  if (outcome.kind !== 'done') rollBackOpenTransaction(session);
  session.transaction = undefined;
  session.state = 'idle';
  if (outcome.kind === 'done' && !transaction.isReadOnly) advanceMark(session, outcome.position);
  deliverOutcome(session, outcome, tag);
}

async function runStatementRequest(
  session: CallerSession,
  tag: string,
  access: 'read' | 'write',
  body: StatementBody,
): Promise<void> {
  const { transaction } = session;
  if (transaction) {
    const outcome = await runInTransaction(session, transaction, tag, access, body);
    if (outcome.kind !== 'done') session.state = 'failed';
    deliverOutcome(session, outcome, tag);
    return;
  }
  const admission = await admitOperation(session, tag);
  if (!admission) return;
  const { route, customer } = admission;
  const homes = findHomes(session.environment, session.database, customer);
  if (typeof homes === 'string') {
    refuseRequest(session, notRun(homes, RETRY_AFTER_MS), tag, customer);
    return;
  }
  const draft = {
    ...commonDraftFields(session, route, customer, homes),
    values: session.values,
    tag,
    access,
    body,
    transaction: null,
  };
  const deadlines = deadlinesOf(session.environment, route);
  const { owners, readers } = session.environment;
  const { group } = route;
  const outcome = await runNearest(readers, group, draft, deadlines.deadlineMs, async () => {
    const result = await runStatement(owners, group, draft, undefined, deadlines, session.caller);
    return result.outcome;
  });
  if (hasReachedNoTarget(outcome)) returnToken(session, admission.token);
  if (outcome.kind === 'done' && access === 'write') advanceMark(session, outcome.position);
  deliverOutcome(session, outcome, tag);
}

async function runInTransaction(
  session: CallerSession,
  transaction: SessionTransaction,
  tag: string,
  access: 'read' | 'write' | 'commit',
  body: StatementBody,
): Promise<StatementOutcome> {
  const refusal = recheckKey(session, transaction) ?? refuseAtStop(session, access);
  if (refusal) return refusal;
  const { route, customer, number, isReadOnly } = transaction;
  const isFirst = transaction.ownerPort === undefined;
  const homes = findHomes(session.environment, session.database, customer);
  if (typeof homes === 'string') return notRun(homes, RETRY_AFTER_MS);
  const draft = {
    ...commonDraftFields(session, route, customer, homes),
    values: session.values,
    tag,
    access,
    body,
    transaction: { number, isReadOnly, isFirst },
  };
  const deadlines = deadlinesOf(session.environment, route);
  const { environment, caller } = session;
  const { ownerPort } = transaction;
  const { owners } = environment;
  const result = await runStatement(owners, route.group, draft, ownerPort, deadlines, caller);
  transaction.ownerPort = result.port;
  if (!hasReachedNoTarget(result.outcome)) transaction.mayHaveReachedTarget = true;
  return result.outcome;
}

/**
 * Refuses statements of a transaction whose key has been withdrawn or can no longer be checked, and ends a transaction whose key
 * belongs to another customer now.
 */
function recheckKey(
  { environment, database, key }: CallerSession,
  { customer }: SessionTransaction,
): StatementOutcome | undefined {
  const admission = findAdmission(environment, database, key);
  if (admission === 'key-rejected' || admission === 'settings-lease-expired')
    return notRun(admission, RETRY_AFTER_MS);
  const hasMoved = typeof admission !== 'string' && admission.customer !== customer;
  return hasMoved ? { kind: 'aborted', reason: 'the key has another owner now' } : undefined;
}

/** Ends a transaction that would not be over before the entry has stopped. */
function refuseAtStop(
  { environment }: CallerSession,
  access: 'read' | 'write' | 'commit',
): StatementOutcome | undefined {
  const phase = environment.stopPhase();
  if (phase === 'serving' || (phase === 'committing' && access === 'commit')) return undefined;
  return { kind: 'aborted', reason: 'the entry stops' };
}

function advanceMark(session: CallerSession, position: LogPosition | null): void {
  if (position) session.mark = session.mark ? latestPosition(session.mark, position) : position;
}

function deliverOutcome(session: CallerSession, outcome: StatementOutcome, tag: string): void {
  if (session.isClosed) return;
  if (outcome.kind !== 'done') {
    refuseRequest(session, outcome, tag);
    return;
  }
  recordSuccess(session, outcome.isFromReplica, tag);
  session.port.answer(outcome.rows, outcome.signature, session.state, outcome.position);
}

/** Refuses a statement that cannot be run; its transaction, if any, fails. */
function refuseStatement(session: CallerSession, error: Parameters<CallerPort['refuse']>[0]): void {
  if (session.transaction) session.state = 'failed';
  refuseRequest(session, error);
}

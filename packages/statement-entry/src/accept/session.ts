/** Runs a caller's session: its requests one at a time, its values, prepared names and transaction. */
import {
  type CustomerName,
  homeRulesOf,
  type Homes,
  latestPosition,
  type LogPosition,
  type StatementBody,
  type StatementOutcome,
  type StatementRefusalReason,
  type StatementRoute,
} from '@bramleykeel/core';
import { returnReceipt, takeTokens, type TokenReceipt } from '@bramleykeel/entry-shared';
import { match } from 'ts-pattern';
import {
  createStatementDeadlines,
  runStatement,
  type StatementDeadlines,
  withdrawCaller,
} from '../locate/owner-client.js';
import { runNearest } from '../near/reader-client.js';
import { ANONYMOUS_CUSTOMER, type CallerAccess, findAdmission, findHomes } from './access.js';
import { recordSuccess, refuseRequest } from './report.js';
import type { CallerSession, SessionTransaction } from './session-state.js';
import {
  dropPrepared,
  MAX_SESSION_STATE_BYTES,
  prepareStatement,
  setValue,
} from './session-values.js';
import type { CallerPort, CallerRequest } from '../types/caller-port.js';

/** Retry delay sent to callers whose rate cannot be checked, in milliseconds. */
const RATE_RETRY_AFTER_MS = 500;
const RETRY_AFTER_MS = 300;
const STATE_TOO_LARGE = {
  kind: 'malformed',
  reason: `a session keeps at most ${MAX_SESSION_STATE_BYTES} bytes of values and prepared statements`,
} as const;

/** An admitted operation; callers without a key have no rate, so their operations have no token. */
interface Admission extends CallerAccess {
  readonly token: TokenReceipt | undefined;
}

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
  if (caller.pending || !runningRequest) return false;
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

function returnToken({ environment }: CallerSession, token: TokenReceipt | undefined): void {
  if (!token || !environment.returnsTokens) return;
  environment.counters.count('rate.token-returned');
  returnReceipt(environment.rates, token);
}

function hasReachedNoTarget(outcome: StatementOutcome): boolean {
  return outcome.kind === 'not-run' && outcome.reachedNoTarget === true;
}

function runRequest(session: CallerSession, request: CallerRequest): Promise<void> | void {
  const isTransactionEnd = request.kind === 'rollback' || request.kind === 'commit';
  if (session.state === 'failed' && !isTransactionEnd) {
    session.port.refuse({ kind: 'malformed', reason: 'the transaction has failed' }, 'failed');
    return;
  }
  return match(request)
    .returnType<Promise<void> | void>()
    .with({ kind: 'begin' }, ({ isReadOnly }) => beginTransaction(session, isReadOnly))
    .with({ kind: 'commit' }, ({ tag, text }) => commitTransaction(session, tag, text))
    .with({ kind: 'rollback' }, () => {
      if (session.transaction) rollBackOpenTransaction(session);
      session.state = 'idle';
      acknowledgeRequest(session);
    })
    .with({ kind: 'statement' }, ({ tag, access, text }) =>
      runStatementRequest(session, tag, access, { kind: 'plain', text }),
    )
    .with({ kind: 'execute' }, ({ tag, name, argument }) => {
      const prepared = session.prepared.get(name);
      if (!prepared) {
        refuseStatement(session, { kind: 'unknown-prepared-name', name });
        return;
      }
      return runStatementRequest(session, tag, prepared.access, {
        kind: 'prepared',
        ...prepared,
        argument,
      });
    })
    .with({ kind: 'set' }, ({ name, value }) => {
      acknowledgeState(session, setValue(session, name, value));
    })
    .with({ kind: 'prepare' }, ({ name, access, shape }) => {
      acknowledgeState(session, prepareStatement(session, name, { access, shape }));
    })
    .with({ kind: 'deallocate' }, ({ name }) => {
      dropPrepared(session, name);
      acknowledgeRequest(session);
    })
    .with({ kind: 'malformed' }, (malformed) => {
      refuseStatement(session, malformed);
    })
    .with({ kind: 'overloaded' }, () => {
      refuseStatement(session, notRun('memory-pressure', RETRY_AFTER_MS));
    })
    .exhaustive();
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
    tag,
    access,
    body,
    transaction: null,
  };
  const deadlines = deadlinesOf(session, route);
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
    tag,
    access,
    body,
    transaction: { number, isReadOnly, isFirst },
  };
  const deadlines = deadlinesOf(session, route);
  const { environment, caller } = session;
  const { ownerPort } = transaction;
  const { owners } = environment;
  const result = await runStatement(owners, route.group, draft, ownerPort, deadlines, caller);
  transaction.ownerPort = result.port;
  if (!hasReachedNoTarget(result.outcome)) transaction.mayHaveReachedTarget = true;
  return result.outcome;
}

function deadlinesOf({ environment }: CallerSession, route: StatementRoute): StatementDeadlines {
  return createStatementDeadlines(route.statementTimeoutMs, environment.waits().statementShare);
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

function commonDraftFields(
  session: CallerSession,
  route: StatementRoute,
  customer: CustomerName,
  homes: Homes,
) {
  return {
    homes,
    customer,
    priority: route.priority,
    consistency: route.consistency,
    maxReadAgeMs: route.maxReadAgeMs,
    mark: session.mark,
    values: session.values,
    ...(session.environment.overloadControl === true && { objectiveMs: route.objectiveMs }),
    // Where the statement waits, its homes are judged again once the settings change there.
    ...(homeRulesOf(session.environment.settings())?.isLimited === true && {
      database: session.database,
    }),
  };
}

/** Checks the route, the key and the rate of an operation; on refusal it answers the caller. */
async function admitOperation(session: CallerSession, tag: string): Promise<Admission | undefined> {
  const { environment } = session;
  if (environment.stopPhase() !== 'serving') {
    refuseRequest(session, notRun('entry-stopping', RETRY_AFTER_MS), tag);
    return undefined;
  }
  const admission = findAdmission(environment, session.database, session.key);
  if (typeof admission === 'string') {
    refuseRequest(session, notRun(admission, RETRY_AFTER_MS), tag);
    return undefined;
  }
  const homes = findHomes(environment, session.database, admission.customer);
  if (typeof homes === 'string') {
    refuseRequest(session, notRun(homes, RETRY_AFTER_MS), tag, admission.customer);
    return undefined;
  }
  if (admission.customer === ANONYMOUS_CUSTOMER) return { ...admission, token: undefined };
  const decision = await takeTokens(environment.rates, admission.customer, 1, undefined);
  if (decision.kind === 'taken' && session.isClosed) {
    returnToken(session, decision);
    return undefined;
  }
  if (decision.kind === 'taken') return { ...admission, token: decision };
  const reason =
    decision.refusal.reason === 'rate-exceeded' ? 'rate-exceeded' : 'rate-home-unreachable';
  const retryAfterMs = decision.retryAfterMs ?? RATE_RETRY_AFTER_MS;
  refuseRequest(session, notRun(reason, retryAfterMs), tag, admission.customer);
  return undefined;
}

function notRun(reason: StatementRefusalReason, retryAfterMs: number) {
  return { kind: 'not-run', reason, retryAfterMs } as const;
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

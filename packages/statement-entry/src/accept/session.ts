/** One caller's session: its values, prepared names, transaction, and one request at a time. */
import {
  type CustomerName,
  latestPosition,
  type LogPosition,
  type StatementBody,
  type StatementOutcome,
  type StatementRefusalReason,
  type StatementRoute,
} from '@bramleykeel/core';
import { admit } from '@bramleykeel/entry-shared';
import { match } from 'ts-pattern';
import { runStatement, statementTime } from '../locate/owner-client.js';
import { readNear } from '../near/near-reads.js';
import { type Access, findAccess, OPEN_CUSTOMER } from './access.js';
import { noteSuccess, refuse } from './report.js';
import type { CallerSession, SessionTransaction } from './session-state.js';
import type { CallerPort, CallerRequest } from '../types/caller-port.js';

/** What a caller that was refused by rate is told to wait, in milliseconds. */
const RATE_RETRY_MS = 500;
const RETRY_AFTER_MS = 300;

/** Takes in a request; requests of one session are answered in their order. */
export function takeRequest(session: CallerSession, request: CallerRequest): void {
  if (session.isClosed) return;
  session.waiting.push(request);
  if (!session.isRunning) void runWaiting(session);
}

async function runWaiting(session: CallerSession): Promise<void> {
  session.isRunning = true;
  for (let next = session.waiting.shift(); next; next = session.waiting.shift()) {
    session.requestSinceMs = performance.now();
    await runRequest(session, next);
  }
  session.isRunning = false;
  if (session.isClosed) endSession(session);
}

/** Whether the session can be closed without anybody noticing but its caller's next request. */
export function isIdle(session: CallerSession): boolean {
  return session.state === 'idle' && !session.isRunning && session.waiting.length === 0;
}

/** The caller is gone: an open transaction is rolled back. */
export function closeSession(session: CallerSession): void {
  session.isClosed = true;
  session.waiting.length = 0;
  if (!session.isRunning) endSession(session);
}

function endSession(session: CallerSession): void {
  const { transaction } = session;
  session.transaction = undefined;
  if (transaction) transaction.port?.sendRollback(transaction.number);
}

function runRequest(session: CallerSession, request: CallerRequest): Promise<void> | void {
  const isEnding = request.kind === 'rollback' || request.kind === 'commit';
  if (session.state === 'failed' && !isEnding) {
    session.port.refuse({ kind: 'malformed', reason: 'the transaction has failed' }, 'failed');
    return;
  }
  return match(request)
    .returnType<Promise<void> | void>()
    .with({ kind: 'begin' }, ({ isReadOnly }) => begin(session, isReadOnly))
    .with({ kind: 'commit' }, ({ tag, text }) => commit(session, tag, text))
    .with({ kind: 'rollback' }, () => {
      if (session.transaction) endSession(session);
      session.state = 'idle';
      confirm(session);
    })
    .with({ kind: 'statement' }, ({ tag, access, text }) =>
      runBody(session, tag, access, { kind: 'plain', text }),
    )
    .with({ kind: 'execute' }, ({ tag, name, argument }) => {
      const prepared = session.prepared.get(name);
      if (!prepared) {
        failStatement(session, { kind: 'unknown-prepared-name', name });
        return;
      }
      return runBody(session, tag, prepared.access, { kind: 'prepared', ...prepared, argument });
    })
    .with({ kind: 'set' }, ({ name, value }) => {
      session.values = { ...session.values, [name]: value };
      confirm(session);
    })
    .with({ kind: 'prepare' }, ({ name, access, shape }) => {
      session.prepared.set(name, { access, shape });
      confirm(session);
    })
    .with({ kind: 'deallocate' }, ({ name }) => {
      session.prepared.delete(name);
      confirm(session);
    })
    .with({ kind: 'malformed' }, (malformed) => {
      failStatement(session, malformed);
    })
    .exhaustive();
}

/** Answers what the system carries out itself. */
function confirm(session: CallerSession): void {
  session.port.answer([], null, session.state, null);
}

async function begin(session: CallerSession, isReadOnly: boolean): Promise<void> {
  if (session.transaction) {
    failStatement(session, { kind: 'malformed', reason: 'a transaction is open already' });
    return;
  }
  const access = await admitOperation(session, 'BEGIN');
  if (!access) return;
  const { route, customer } = access;
  const number = session.environment.nextTransaction();
  session.transaction = { number, isReadOnly, route, customer, port: undefined };
  session.state = 'open';
  confirm(session);
}

async function commit(session: CallerSession, tag: string, text: string): Promise<void> {
  const { transaction, state } = session;
  if (!transaction || state === 'failed') {
    endSession(session);
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
  if (outcome.kind !== 'done') endSession(session);
  session.transaction = undefined;
  session.state = 'idle';
  if (outcome.kind === 'done' && !transaction.isReadOnly) noteMark(session, outcome.position);
  deliver(session, outcome, tag);
}

async function runBody(
  session: CallerSession,
  tag: string,
  access: 'read' | 'write',
  body: StatementBody,
): Promise<void> {
  const { transaction } = session;
  if (transaction) {
    const outcome = await runInTransaction(session, transaction, tag, access, body);
    if (outcome.kind !== 'done') session.state = 'failed';
    deliver(session, outcome, tag);
    return;
  }
  const admitted = await admitOperation(session, tag);
  if (!admitted) return;
  const { route, customer } = admitted;
  const draft = {
    ...describeRead(session, route, customer),
    tag,
    access,
    body,
    transaction: null,
  };
  const time = statementTime(route.statementTimeoutMs);
  const { owners, near } = session.environment;
  const nearOutcome = await readNear(near, route.group, draft, time.deadlineMs);
  const outcome =
    nearOutcome ?? (await runStatement(owners, route.group, draft, undefined, time)).outcome;
  if (outcome.kind === 'done' && access === 'write') noteMark(session, outcome.position);
  deliver(session, outcome, tag);
}

async function runInTransaction(
  session: CallerSession,
  transaction: SessionTransaction,
  tag: string,
  access: 'read' | 'write' | 'commit',
  body: StatementBody,
): Promise<StatementOutcome> {
  const refusal = checkKey(session);
  if (refusal) return refusal;
  const { route, customer, number, isReadOnly } = transaction;
  const isFirst = transaction.port === undefined;
  const draft = {
    ...describeRead(session, route, customer),
    tag,
    access,
    body,
    transaction: { number, isReadOnly, isFirst },
  };
  const time = statementTime(route.statementTimeoutMs);
  const { owners } = session.environment;
  const result = await runStatement(owners, route.group, draft, transaction.port, time);
  transaction.port = result.port;
  return result.outcome;
}

/** A key that was withdrawn meanwhile ends its transactions as well. */
function checkKey(session: CallerSession): StatementOutcome | undefined {
  const access = findAccess(session.environment, session.database, session.key);
  const isKeyMatter = access === 'key-rejected' || access === 'settings-lease-expired';
  return isKeyMatter ? notRun(access, RETRY_AFTER_MS) : undefined;
}

function describeRead(session: CallerSession, route: StatementRoute, customer: CustomerName) {
  return {
    customer,
    priority: route.priority,
    consistency: route.consistency,
    maxReadAgeMs: route.maxReadAgeMs,
    mark: session.mark,
    values: session.values,
  };
}

/** Checks the route, the key and the rate of an operation; answers the caller when it is refused. */
async function admitOperation(session: CallerSession, tag: string): Promise<Access | undefined> {
  const { environment } = session;
  const access = findAccess(environment, session.database, session.key);
  if (typeof access === 'string') {
    refuse(session, notRun(access, RETRY_AFTER_MS), tag);
    return undefined;
  }
  if (access.customer === OPEN_CUSTOMER) return access;
  const refusal = await admit(environment.rates, access.customer, 1, undefined);
  if (!refusal) return access;
  const reason = refusal.reason === 'rate-exceeded' ? 'rate-exceeded' : 'rate-home-unreachable';
  refuse(session, notRun(reason, RATE_RETRY_MS), tag, access.customer);
  return undefined;
}

function notRun(reason: StatementRefusalReason, retryAfterMs: number) {
  return { kind: 'not-run', reason, retryAfterMs } as const;
}

function noteMark(session: CallerSession, position: LogPosition | null): void {
  if (position) session.mark = session.mark ? latestPosition(session.mark, position) : position;
}

function deliver(session: CallerSession, outcome: StatementOutcome, tag: string): void {
  if (session.isClosed) return;
  if (outcome.kind !== 'done') {
    refuse(session, outcome, tag);
    return;
  }
  noteSuccess(session, outcome.isFromReplica, tag);
  session.port.answer(outcome.rows, outcome.signature, session.state, outcome.position);
}

/** A statement that cannot be run fails the transaction that it belongs to. */
function failStatement(session: CallerSession, error: Parameters<CallerPort['refuse']>[0]): void {
  if (session.transaction) session.state = 'failed';
  refuse(session, error);
}

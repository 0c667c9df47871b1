/** One client connection to a stand-in server: startup, simple and extended query protocol. */
import { setTimeout as delay } from 'node:timers/promises';
import type { Socket } from 'node:net';
import {
  buildCommandComplete,
  buildDataRow,
  buildEmptyMessage,
  buildErrorResponse,
  buildParameterDescription,
  buildParameterStatus,
  buildRowDescription,
  CLIENT,
  createMessageFramer,
  frameMessages,
  type ParsedStatement,
  parseStatements,
  readBind,
  readExecute,
  readDescribeOrClose,
  readParse,
  readStringPayload,
  SERVER,
  type WireMessage,
} from '@bramleykeel/postgres-wire';
import { readBindValues } from './bind-values.js';
import { createOutput, flush, send } from './connection-output.js';
import { handlePassword, handleStartup, sendReady } from './connection-startup.js';
import type { ConnectionHost, Portal, StandInConnection } from './connection-state.js';
import type { SqlValue } from './expressions.js';
import { commitChanges } from './server-state.js';
import { acquireSlot, releaseSlot } from './slots.js';
import { SqlFailure } from './sql-failure.js';
import type { Row } from './storage.js';
import {
  countParameters,
  describeStatement,
  runStatement,
  type StatementContext,
  type StatementResult,
} from './statements.js';
import { createTransaction, type Transaction } from './transaction.js';

const MAX_MESSAGE_BYTES = 16_777_216;
/** Serves one socket until it closes. Messages are handled strictly one after another. */
export function serveConnection(socket: Socket, host: ConnectionHost): void {
  host.nextProcessId += 1;
  const connection: StandInConnection = {
    host,
    output: createOutput(socket),
    processId: host.nextProcessId,
    secretKey: Math.floor(Math.random() * 2 ** 31),
    settings: new Map(),
    statements: new Map(),
    portals: new Map(),
    transaction: undefined,
    isExplicit: false,
    hasFailed: false,
    isSkipping: false,
    cancelRunning: undefined,
    phase: 'startup',
    isActive: false,
  };
  const framer = createMessageFramer(MAX_MESSAGE_BYTES, true);
  const queue: WireMessage[] = [];
  let isBusy = false;
  socket.setNoDelay(true);
  socket.on('error', () => undefined);
  socket.on('close', () => {
    host.connections.delete(connection.processId);
    connection.cancelRunning?.();
  });
  socket.on('data', (chunk) => {
    const framed = frameMessages(framer, chunk);
    if (framed.kind !== 'messages') {
      socket.destroy();
      return;
    }
    queue.push(...framed.messages);
    void drainQueue();
  });

  async function drainQueue(): Promise<void> {
    if (isBusy) return;
    isBusy = true;
    connection.isActive = connection.phase === 'ready';
    for (let message = queue.shift(); message; message = queue.shift()) {
      await handleMessage(connection, message);
      framer.isStartup = connection.phase === 'startup';
    }
    await flush(connection.output);
    connection.isActive = false;
    isBusy = false;
  }
}

async function handleMessage(connection: StandInConnection, message: WireMessage): Promise<void> {
  if (connection.phase === 'startup') return handleStartup(connection, message);
  if (connection.phase === 'password') return handlePassword(connection, message);
  if (message.type === CLIENT.terminate) {
    connection.output.socket.destroy();
    return;
  }
  if (message.type === CLIENT.sync) return handleSync(connection);
  if (connection.isSkipping) return;
  try {
    await handleQueryMessage(connection, message);
  } catch (error) {
    await reportFailure(connection, error);
    if (message.type === CLIENT.query) await sendReady(connection);
    else connection.isSkipping = true;
  }
}

async function handleQueryMessage(
  connection: StandInConnection,
  message: WireMessage,
): Promise<void> {
  const { output } = connection;
  switch (message.type) {
    case CLIENT.query:
      await runSimpleQuery(connection, readStringPayload(message));
      return;
    case CLIENT.parse: {
      const { name, text } = readParse(message);
      if (name !== '' && connection.statements.has(name)) {
        throw new SqlFailure('42P05', `prepared statement "${name}" already exists`);
      }
      const [statement, another] = parseText(text);
      if (another) throw new SqlFailure('42601', 'cannot insert multiple commands');
      connection.statements.set(name, { statement });
      return send(output, buildEmptyMessage(SERVER.parseComplete));
    }
    case CLIENT.bind: {
      const bind = readBind(message);
      const known = connection.statements.get(bind.statement);
      if (!known) throw new SqlFailure('26000', `prepared statement does not exist`);
      const parameters = readBindValues(bind.encodedParameters);
      connection.portals.set(bind.portal, {
        statement: known.statement,
        parameters,
        running: undefined,
      });
      return send(output, buildEmptyMessage(SERVER.bindComplete));
    }
    case CLIENT.describe:
      return describe(connection, message);
    case CLIENT.execute: {
      const { portal, maxRows } = readExecute(message);
      return executePortal(connection, portal, maxRows);
    }
    case CLIENT.close: {
      const { target, name } = readDescribeOrClose(message);
      if (target === 'S') connection.statements.delete(name);
      else connection.portals.delete(name);
      return send(output, buildEmptyMessage(SERVER.closeComplete));
    }
    case CLIENT.flush:
      return flush(output);
    default:
      throw new SqlFailure('08P01', 'unexpected message');
  }
}

function parseText(text: string): ParsedStatement[] {
  const statements = parseStatements(text);
  if (!statements) throw new SqlFailure('42601', `syntax error in "${text.slice(0, 80)}"`);
  return statements;
}

async function runSimpleQuery(connection: StandInConnection, text: string): Promise<void> {
  const statements = parseText(text);
  if (statements.length === 0) {
    await send(connection.output, buildEmptyMessage(SERVER.emptyQueryResponse));
  }
  for (const [index, statement] of statements.entries()) {
    const isLast = index === statements.length - 1;
    const portal: Portal = { statement, parameters: [], running: undefined };
    await runPortal(connection, portal, 0, { describesRows: true, commitsNow: isLast });
  }
  await commitImplicit(connection);
  await sendReady(connection);
}

async function executePortal(
  connection: StandInConnection,
  name: string,
  maxRows: number,
): Promise<void> {
  const portal = connection.portals.get(name);
  if (!portal) throw new SqlFailure('34000', `portal "${name}" does not exist`);
  if (!portal.statement)
    return send(connection.output, buildEmptyMessage(SERVER.emptyQueryResponse));
  await runPortal(connection, portal, maxRows, { describesRows: false, commitsNow: false });
}

async function runPortal(
  connection: StandInConnection,
  portal: Portal,
  maxRows: number,
  mode: { readonly describesRows: boolean; readonly commitsNow: boolean },
): Promise<void> {
  const { statement } = portal;
  if (!statement) return;
  if (statement.kind === 'TransactionStmt') return controlTransaction(connection, statement);
  if (connection.hasFailed) {
    throw new SqlFailure('25P02', 'current transaction is aborted, commands ignored');
  }
  const { host, output } = connection;
  await acquireSlot(host.slots);
  try {
    if (host.statementCostMs > 0) await delay(host.statementCostMs);
    portal.running ??= runStatement(statement, contextOf(connection, portal.parameters));
    const { result, tag } = portal.running;
    if (result && result.sleepMs > 0) await sleepCancellable(connection, result.sleepMs);
    if (result && mode.describesRows) await send(output, buildRowDescription(result.columns));
    const sent = await sendRows(connection, portal.running, maxRows);
    if (sent === 'suspended') {
      await send(output, buildEmptyMessage(SERVER.portalSuspended));
      return;
    }
    if (mode.commitsNow) await commitImplicit(connection);
    const isCounted = tag === 'SELECT';
    await send(output, buildCommandComplete(isCounted ? `SELECT ${sent}` : tag));
  } finally {
    releaseSlot(host.slots);
  }
}

async function sendRows(
  connection: StandInConnection,
  running: StatementResult,
  maxRows: number,
): Promise<number | 'suspended'> {
  const { result } = running;
  if (!result) return 0;
  const cancellation = { isCancelled: false };
  connection.cancelRunning = () => (cancellation.isCancelled = true);
  let sent = 0;
  for (;;) {
    if (maxRows > 0 && sent >= maxRows) return 'suspended';
    const next = result.rows.next();
    if (next.done) break;
    if (cancellation.isCancelled) {
      throw new SqlFailure('57014', 'canceling statement due to user request');
    }
    sent += 1;
    await send(connection.output, buildDataRow(next.value));
  }
  connection.cancelRunning = undefined;
  return sent;
}

function contextOf(
  connection: StandInConnection,
  parameters: readonly SqlValue[],
): StatementContext {
  connection.transaction ??= createTransaction();
  const { host, transaction, settings } = connection;
  const listActivity = () => activityOf(host);
  return { server: host.server, transaction, settings, parameters, listActivity };
}

function activityOf(host: ConnectionHost): Row[] {
  return [...host.connections.values()].map(({ processId, isActive }) => ({
    pid: String(processId),
    state: isActive ? 'active' : 'idle',
  }));
}

async function controlTransaction(
  connection: StandInConnection,
  { node }: ParsedStatement,
): Promise<void> {
  const { output } = connection;
  switch (node.kind) {
    case 'TRANS_STMT_BEGIN':
    case 'TRANS_STMT_START':
      connection.transaction ??= createTransaction();
      connection.isExplicit = true;
      return send(output, buildCommandComplete('BEGIN'));
    case 'TRANS_STMT_COMMIT': {
      const tag = connection.hasFailed ? 'ROLLBACK' : 'COMMIT';
      const transaction = connection.hasFailed ? undefined : connection.transaction;
      endTransaction(connection);
      await commit(connection, transaction);
      return send(output, buildCommandComplete(tag));
    }
    case 'TRANS_STMT_ROLLBACK':
      endTransaction(connection);
      return send(output, buildCommandComplete('ROLLBACK'));
    default:
      throw new SqlFailure('0A000', 'the stand-in does not support savepoints');
  }
}

function endTransaction(connection: StandInConnection): void {
  connection.transaction = undefined;
  connection.isExplicit = false;
  connection.hasFailed = false;
}

async function commitImplicit(connection: StandInConnection): Promise<void> {
  if (connection.isExplicit) return;
  const { transaction } = connection;
  endTransaction(connection);
  await commit(connection, transaction);
}

async function commit(
  connection: StandInConnection,
  transaction: Transaction | undefined,
): Promise<void> {
  if (!transaction || transaction.changes.length === 0) return;
  const position = commitChanges(connection.host.server, transaction.changes);
  await send(connection.output, buildParameterStatus('log_position', position));
}

async function handleSync(connection: StandInConnection): Promise<void> {
  connection.isSkipping = false;
  try {
    if (connection.hasFailed && !connection.isExplicit) endTransaction(connection);
    await commitImplicit(connection);
  } catch (error) {
    await reportFailure(connection, error);
  }
  if (!connection.isExplicit) connection.portals.clear();
  await sendReady(connection);
}

async function reportFailure(connection: StandInConnection, error: unknown): Promise<void> {
  const failure =
    error instanceof SqlFailure
      ? error
      : new SqlFailure('XX000', `internal error: ${String(error)}`);
  if (connection.isExplicit) connection.hasFailed = true;
  else endTransaction(connection);
  const { sqlState, message } = failure;
  await send(connection.output, buildErrorResponse({ severity: 'ERROR', sqlState, message }));
}

async function describe(connection: StandInConnection, message: WireMessage): Promise<void> {
  const { output } = connection;
  const { target, name } = readDescribeOrClose(message);
  const known = target === 'S' ? connection.statements.get(name) : connection.portals.get(name);
  if (!known) throw new SqlFailure('26000', 'statement or portal does not exist');
  const { statement } = known;
  const parameterCount = countParameters(statement?.node);
  if (target === 'S') {
    const types = Array.from({ length: parameterCount }, () => 25);
    await send(output, buildParameterDescription(types));
  }
  const placeholders = Array.from({ length: parameterCount }, () => '0');
  const columns = statement && describeStatement(statement, contextOf(connection, placeholders));
  if (!columns) return send(output, buildEmptyMessage(SERVER.noData));
  return send(output, buildRowDescription(columns));
}

function sleepCancellable(connection: StandInConnection, sleepMs: number): Promise<void> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => {
      connection.cancelRunning = undefined;
      resolve();
    }, sleepMs);
    connection.cancelRunning = () => {
      clearTimeout(timer);
      connection.cancelRunning = undefined;
      reject(new SqlFailure('57014', 'canceling statement due to user request'));
    };
  });
}

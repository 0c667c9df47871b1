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
import { readBindValues, readTypeIds, resolveTypeIds } from './bind-values.js';
import { createOutput, flush, send } from './connection-output.js';
import { handlePassword, handleStartup, sendReady } from './connection-startup.js';
import type { Portal, ServerContext, StandInConnection } from './connection-state.js';
import type { SqlValue } from './expressions.js';
import { commitChanges } from './server-state.js';
import { repeatAnswers, startRecording } from './repeated-answers.js';
import { acquireSlot, releaseSlot } from './slots.js';
import { SqlError } from './sql-error.js';
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
const REPEAT_DELAY_MS = 20;

/** Serves one socket until it closes. Messages are processed sequentially. */
export function serveConnection(socket: Socket, serverContext: ServerContext): void {
  serverContext.nextProcessId += 1;
  const connection: StandInConnection = {
    serverContext,
    output: createOutput(socket, () => serverContext.answerFaults.repeatsAnswers !== 'never'),
    processId: serverContext.nextProcessId,
    secretKey: Math.floor(Math.random() * 2 ** 31),
    settings: new Map(),
    statements: new Map(),
    portals: new Map(),
    transaction: undefined,
    isInExplicitTransaction: false,
    hasTransactionFailed: false,
    isSkippingUntilSync: false,
    cancelStatement: undefined,
    phase: 'startup',
    isActive: false,
  };
  const framer = createMessageFramer(MAX_MESSAGE_BYTES, true);
  const queue: WireMessage[] = [];
  let isProcessing = false;
  socket.setNoDelay(true);
  socket.on('error', () => undefined);
  socket.on('close', () => {
    serverContext.connections.delete(connection.processId);
    connection.cancelStatement?.();
  });
  socket.on('data', (chunk) => {
    const framed = frameMessages(framer, chunk);
    if (framed.kind !== 'messages') {
      socket.destroy();
      return;
    }
    queue.push(...framed.messages);
    void processQueue();
  });

  async function processQueue(): Promise<void> {
    if (isProcessing) return;
    isProcessing = true;
    connection.isActive = connection.phase === 'ready';
    const { answerFaults } = serverContext;
    if (answerFaults.repeatsAnswers === 'before-next') repeatAnswers(connection);
    startRecording(connection);
    for (let message = queue.shift(); message; message = queue.shift()) {
      await handleMessage(connection, message);
      framer.isStartup = connection.phase === 'startup';
    }
    await flush(connection.output);
    connection.isActive = false;
    isProcessing = false;
    if (answerFaults.repeatsAnswers === 'while-unused') {
      setTimeout(() => {
        if (!isProcessing) repeatAnswers(connection);
      }, REPEAT_DELAY_MS);
    }
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
  if (connection.isSkippingUntilSync) return;
  try {
    await handleQueryMessage(connection, message);
  } catch (error) {
    await sendError(connection, error);
    if (message.type === CLIENT.query) await sendReady(connection);
    else connection.isSkippingUntilSync = true;
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
      const { name, text, parameterTypes } = readParse(message);
      if (name !== '' && connection.statements.has(name)) {
        throw new SqlError('42P05', `prepared statement "${name}" already exists`);
      }
      const [statement, extraStatement] = parseQueryText(text);
      if (extraStatement) throw new SqlError('42601', 'cannot insert multiple commands');
      const typeIds = readTypeIds(parameterTypes);
      connection.statements.set(name, { statement, typeIds });
      return send(output, buildEmptyMessage(SERVER.parseComplete));
    }
    case CLIENT.bind: {
      const bind = readBind(message);
      const preparedStatement = connection.statements.get(bind.statement);
      if (!preparedStatement) throw new SqlError('26000', `prepared statement does not exist`);
      const parameters = readBindValues(bind.encodedParameters);
      connection.portals.set(bind.portal, {
        statement: preparedStatement.statement,
        parameters,
        execution: undefined,
      });
      return send(output, buildEmptyMessage(SERVER.bindComplete));
    }
    case CLIENT.describe:
      return handleDescribe(connection, message);
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
      throw new SqlError('08P01', 'unexpected message');
  }
}

function parseQueryText(text: string): ParsedStatement[] {
  const statements = parseStatements(text);
  if (!statements) throw new SqlError('42601', `syntax error in "${text.slice(0, 80)}"`);
  return statements;
}

async function runSimpleQuery(connection: StandInConnection, text: string): Promise<void> {
  const statements = parseQueryText(text);
  if (statements.length === 0) {
    await send(connection.output, buildEmptyMessage(SERVER.emptyQueryResponse));
  }
  for (const [index, statement] of statements.entries()) {
    const isLast = index === statements.length - 1;
    const portal: Portal = { statement, parameters: [], execution: undefined };
    await runPortal(connection, portal, 0, {
      sendsRowDescription: true,
      commitsBeforeCompletion: isLast,
    });
  }
  await commitImplicitTransaction(connection);
  await sendReady(connection);
}

async function executePortal(
  connection: StandInConnection,
  name: string,
  maxRows: number,
): Promise<void> {
  const portal = connection.portals.get(name);
  if (!portal) throw new SqlError('34000', `portal "${name}" does not exist`);
  if (!portal.statement)
    return send(connection.output, buildEmptyMessage(SERVER.emptyQueryResponse));
  await runPortal(connection, portal, maxRows, {
    sendsRowDescription: false,
    commitsBeforeCompletion: false,
  });
}

async function runPortal(
  connection: StandInConnection,
  portal: Portal,
  maxRows: number,
  mode: { readonly sendsRowDescription: boolean; readonly commitsBeforeCompletion: boolean },
): Promise<void> {
  const { statement } = portal;
  if (!statement) return;
  if (statement.kind === 'TransactionStmt') return executeTransactionControl(connection, statement);
  if (connection.hasTransactionFailed) {
    throw new SqlError('25P02', 'current transaction is aborted, commands ignored');
  }
  const { serverContext, output } = connection;
  await acquireSlot(serverContext.slots);
  try {
    if (serverContext.statementCostMs > 0) await delay(serverContext.statementCostMs);
    portal.execution ??= runStatement(
      statement,
      createStatementContext(connection, portal.parameters),
    );
    const { resultSet, tag } = portal.execution;
    if (resultSet && resultSet.sleepMs > 0) await sleepCancellable(connection, resultSet.sleepMs);
    if (resultSet && mode.sendsRowDescription)
      await send(output, buildRowDescription(resultSet.columns));
    const sent = await sendRows(connection, portal.execution, maxRows);
    if (sent === 'suspended') {
      await send(output, buildEmptyMessage(SERVER.portalSuspended));
      return;
    }
    if (mode.commitsBeforeCompletion) await commitImplicitTransaction(connection);
    const hasRowCount = tag === 'SELECT';
    await send(output, buildCommandComplete(hasRowCount ? `SELECT ${sent}` : tag));
  } finally {
    releaseSlot(serverContext.slots);
  }
}

/**
 * Sends up to `maxRows` rows (0: all) and returns their number, or `suspended` if the limit was
 * reached.
 */
async function sendRows(
  connection: StandInConnection,
  execution: StatementResult,
  maxRows: number,
): Promise<number | 'suspended'> {
  const { resultSet } = execution;
  if (!resultSet) return 0;
  const cancellation = { isCancelled: false };
  connection.cancelStatement = () => (cancellation.isCancelled = true);
  let sent = 0;
  for (;;) {
    if (maxRows > 0 && sent >= maxRows) return 'suspended';
    const next = resultSet.rows.next();
    if (next.done) break;
    if (cancellation.isCancelled) {
      throw new SqlError('57014', 'canceling statement due to user request');
    }
    sent += 1;
    await send(connection.output, buildDataRow(next.value));
  }
  connection.cancelStatement = undefined;
  return sent;
}

function createStatementContext(
  connection: StandInConnection,
  parameters: readonly SqlValue[],
): StatementContext {
  connection.transaction ??= createTransaction();
  const { serverContext, transaction, settings } = connection;
  const listActivity = () => listConnectionActivity(serverContext);
  return { server: serverContext.server, transaction, settings, parameters, listActivity };
}

function listConnectionActivity(serverContext: ServerContext): Row[] {
  return [...serverContext.connections.values()].map(({ processId, isActive }) => ({
    pid: String(processId),
    state: isActive ? 'active' : 'idle',
  }));
}

async function executeTransactionControl(
  connection: StandInConnection,
  { node }: ParsedStatement,
): Promise<void> {
  const { output } = connection;
  switch (node.kind) {
    case 'TRANS_STMT_BEGIN':
    case 'TRANS_STMT_START':
      connection.transaction ??= createTransaction();
      connection.isInExplicitTransaction = true;
      return send(output, buildCommandComplete('BEGIN'));
    case 'TRANS_STMT_COMMIT': {
      const tag = connection.hasTransactionFailed ? 'ROLLBACK' : 'COMMIT';
      const transaction = connection.hasTransactionFailed ? undefined : connection.transaction;
      clearTransaction(connection);
      await commitTransaction(connection, transaction);
      return send(output, buildCommandComplete(tag));
    }
    case 'TRANS_STMT_ROLLBACK':
      clearTransaction(connection);
      return send(output, buildCommandComplete('ROLLBACK'));
    default:
      throw new SqlError('0A000', 'the stand-in does not support savepoints');
  }
}

function clearTransaction(connection: StandInConnection): void {
  connection.transaction = undefined;
  connection.isInExplicitTransaction = false;
  connection.hasTransactionFailed = false;
}

async function commitImplicitTransaction(connection: StandInConnection): Promise<void> {
  if (connection.isInExplicitTransaction) return;
  const { transaction } = connection;
  clearTransaction(connection);
  await commitTransaction(connection, transaction);
}

async function commitTransaction(
  connection: StandInConnection,
  transaction: Transaction | undefined,
): Promise<void> {
  if (!transaction || transaction.changes.length === 0) return;
  const position = commitChanges(connection.serverContext.server, transaction.changes);
  await send(connection.output, buildParameterStatus('log_position', position));
}

async function handleSync(connection: StandInConnection): Promise<void> {
  connection.isSkippingUntilSync = false;
  try {
    if (connection.hasTransactionFailed && !connection.isInExplicitTransaction)
      clearTransaction(connection);
    await commitImplicitTransaction(connection);
  } catch (error) {
    await sendError(connection, error);
  }
  if (!connection.isInExplicitTransaction) connection.portals.clear();
  await sendReady(connection);
}

async function sendError(connection: StandInConnection, error: unknown): Promise<void> {
  const sqlError =
    error instanceof SqlError ? error : new SqlError('XX000', `internal error: ${String(error)}`);
  if (connection.isInExplicitTransaction) connection.hasTransactionFailed = true;
  else clearTransaction(connection);
  const { sqlState, message } = sqlError;
  await send(connection.output, buildErrorResponse({ severity: 'ERROR', sqlState, message }));
}

async function handleDescribe(connection: StandInConnection, message: WireMessage): Promise<void> {
  const { output } = connection;
  const { target, name } = readDescribeOrClose(message);
  const described = target === 'S' ? connection.statements.get(name) : connection.portals.get(name);
  if (!described) throw new SqlError('26000', 'statement or portal does not exist');
  const { statement } = described;
  const parameterCount = countParameters(statement?.node);
  if (target === 'S') {
    const { typeIds } = connection.statements.get(name) ?? { typeIds: [] };
    await send(output, buildParameterDescription(resolveTypeIds(typeIds, parameterCount)));
  }
  const placeholders = Array.from({ length: parameterCount }, () => '0');
  const columns =
    statement && describeStatement(statement, createStatementContext(connection, placeholders));
  if (!columns) return send(output, buildEmptyMessage(SERVER.noData));
  return send(output, buildRowDescription(columns));
}

function sleepCancellable(connection: StandInConnection, sleepMs: number): Promise<void> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => {
      connection.cancelStatement = undefined;
      resolve();
    }, sleepMs);
    connection.cancelStatement = () => {
      clearTimeout(timer);
      connection.cancelStatement = undefined;
      reject(new SqlError('57014', 'canceling statement due to user request'));
    };
  });
}

/**
 * Startup of a connection to a stand-in server: encryption and cancel requests, password, server
 * parameters.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { TransactionStatus } from '@bramleykeel/core';
import {
  buildAuthenticationOk,
  buildBackendKeyData,
  buildCleartextPasswordRequest,
  buildErrorResponse,
  buildParameterStatus,
  buildReadyForQuery,
  CLIENT,
  readStartupPacket,
  readStringPayload,
  type WireMessage,
} from '@bramleykeel/postgres-wire';
import { flush, send } from './connection-output.js';
import type { StandInConnection } from './connection-state.js';
import { finishAnswer, startRecording } from './repeated-answers.js';
import { lastEntry } from './storage.js';

const SERVER_PARAMETERS: Readonly<Record<string, string>> = {
  server_version: '16.0',
  server_encoding: 'UTF8',
  client_encoding: 'UTF8',
  DateStyle: 'ISO, MDY',
  integer_datetimes: 'on',
  standard_conforming_strings: 'on',
};

export async function handleStartup(
  connection: StandInConnection,
  message: WireMessage,
): Promise<void> {
  const { serverContext, output } = connection;
  const packet = readStartupPacket(message);
  switch (packet.kind) {
    case 'ssl-request':
    case 'gss-request':
      output.socket.write('N');
      return;
    case 'cancel': {
      const target = serverContext.connections.get(packet.processId);
      if (target?.secretKey === packet.secretKey) target.cancelStatement?.();
      output.socket.destroy();
      return;
    }
    case 'malformed':
      output.socket.destroy();
      return;
    case 'startup':
      if (serverContext.connections.size >= serverContext.maxConnections) {
        return refuseConnection(connection, '53300', 'sorry, too many clients already');
      }
      serverContext.connections.set(connection.processId, connection);
      if (serverContext.password === '') return finishStartup(connection);
      connection.phase = 'password';
      await send(output, buildCleartextPasswordRequest());
  }
}

export async function handlePassword(
  connection: StandInConnection,
  message: WireMessage,
): Promise<void> {
  if (
    message.type !== CLIENT.password ||
    readStringPayload(message) !== connection.serverContext.password
  ) {
    return refuseConnection(connection, '28P01', 'password authentication failed');
  }
  return finishStartup(connection);
}

async function refuseConnection(
  connection: StandInConnection,
  sqlState: string,
  message: string,
): Promise<void> {
  const fields = { severity: 'FATAL', sqlState, message } as const;
  await send(connection.output, buildErrorResponse(fields));
  await flush(connection.output);
  connection.output.socket.end();
}

async function finishStartup(connection: StandInConnection): Promise<void> {
  const { serverContext, output } = connection;
  await delay(serverContext.connectCostMs);
  connection.phase = 'ready';
  await send(output, buildAuthenticationOk());
  for (const [name, value] of Object.entries(SERVER_PARAMETERS)) {
    await send(output, buildParameterStatus(name, value));
  }
  await sendPosition(connection);
  await send(output, buildBackendKeyData(connection.processId, connection.secretKey));
  await send(output, buildReadyForQuery('idle'));
  await flush(output);
  startRecording(connection);
}

async function sendPosition(connection: StandInConnection): Promise<void> {
  const { term, offset } = lastEntry(connection.serverContext.server.storage);
  await send(connection.output, buildParameterStatus('log_position', `${term}/${offset}`));
}

/** Sends ReadyForQuery with the transaction status of the connection, and flushes the output. */
export async function sendReady(connection: StandInConnection): Promise<void> {
  let status: TransactionStatus = 'idle';
  if (connection.isInExplicitTransaction)
    status = connection.hasTransactionFailed ? 'failed-transaction' : 'in-transaction';
  await send(connection.output, buildReadyForQuery(status));
  const copy = finishAnswer(connection);
  if (copy) await send(connection.output, copy);
  await flush(connection.output);
}

/** Connections to targets: startup, internal queries and cancel requests. */
import { createConnection, type Socket } from 'node:net';
import {
  type LogPosition,
  parsePosition,
  splitAddress,
  type TransactionStatus,
} from '@bramleykeel/core';
import {
  buildCancel,
  buildPassword,
  buildQuery,
  buildStartup,
  buildTerminate,
  createMessageFramer,
  frameMessages,
  readErrorMessage,
  readParameterStatus,
  readReadyForQuery,
  readSqlState,
  SERVER,
  type WireMessage,
} from '@bramleykeel/postgres-wire';

export interface TargetCredentials {
  readonly user: string;
  readonly password: string;
  readonly database: string;
}

/** Receives the messages that answer the connection's current request. */
export interface AnswerConsumer {
  readonly onMessages: (messages: readonly WireMessage[]) => void;
  readonly onLost: () => void;
}

export interface TargetConnection {
  readonly socket: Socket;
  readonly address: string;
  processId: number;
  secretKey: number;
  /** Names of the prepared statements that exist on the connection. */
  readonly prepared: Set<string>;
  /** Current session settings by name, each as the SET statement that made it. */
  settings: Map<string, string>;
  consumer: AnswerConsumer | undefined;
  /** Time at which data was last received, or reading from a paused connection was resumed. */
  lastReceivedMs: number;
  isClosed: boolean;
}

export type ConnectFailure =
  | { readonly kind: 'refused' }
  | { readonly kind: 'timeout' }
  | { readonly kind: 'rejected'; readonly sqlState: string; readonly message: string }
  | { readonly kind: 'lost' };

export type ConnectOutcome =
  | {
      readonly kind: 'connected';
      readonly connection: TargetConnection;
      /** End of the target's log when the connection was opened. */
      readonly position: LogPosition | undefined;
    }
  | { readonly kind: 'failed'; readonly failure: ConnectFailure };

const MAX_TARGET_MESSAGE_BYTES = 256 * 1024 * 1024;
const KEEP_ALIVE_DELAY_MS = 1_000;
const AUTHENTICATION_OK = 0;
const AUTHENTICATION_CLEARTEXT = 3;

/** Name of the parameter in which targets report their log position. */
export const POSITION_PARAMETER = 'log_position';

/**
 * Opens and authenticates a connection.
 *
 * @example
 * const outcome = await connectTarget('10.0.0.7:5432', credentials, 1_000);
 */
export function connectTarget(
  address: string,
  credentials: TargetCredentials,
  timeoutMs: number,
): Promise<ConnectOutcome> {
  return new Promise((resolve) => {
    const socket = createConnection(splitAddress(address));
    const framer = createMessageFramer(MAX_TARGET_MESSAGE_BYTES, false, SERVER.dataRow);
    const connection: TargetConnection = {
      socket,
      address,
      processId: 0,
      secretKey: 0,
      prepared: new Set(),
      settings: new Map(),
      consumer: undefined,
      lastReceivedMs: performance.now(),
      isClosed: false,
    };
    let position: LogPosition | undefined;
    let isSettled = false;
    const timer = setTimeout(() => {
      fail({ kind: 'timeout' });
    }, timeoutMs);
    socket.setNoDelay(true);
    socket.setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
    socket.once('connect', () => {
      const { user, database } = credentials;
      socket.write(buildStartup({ user, database, client_encoding: 'UTF8' }));
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      fail({ kind: error.code === 'ECONNREFUSED' ? 'refused' : 'lost' });
    });
    socket.on('close', () => {
      connection.isClosed = true;
      fail({ kind: 'lost' });
      const { consumer } = connection;
      connection.consumer = undefined;
      consumer?.onLost();
    });
    socket.on('data', (chunk) => {
      connection.lastReceivedMs = performance.now();
      const framed = frameMessages(framer, chunk);
      if (framed.kind !== 'messages') {
        socket.destroy();
        return;
      }
      if (isSettled) connection.consumer?.onMessages(framed.messages);
      else for (const message of framed.messages) handleStartup(message);
    });

    function handleStartup(message: WireMessage): void {
      switch (message.type) {
        case SERVER.authentication: {
          const method = message.frame.readInt32BE(5);
          if (method === AUTHENTICATION_CLEARTEXT)
            socket.write(buildPassword(credentials.password));
          else if (method !== AUTHENTICATION_OK) {
            const text = 'the target asks for an authentication method that is not supported';
            fail({ kind: 'rejected', sqlState: '28000', message: text });
          }
          return;
        }
        case SERVER.parameterStatus: {
          const { name, value } = readParameterStatus(message);
          if (name === POSITION_PARAMETER) position = parsePosition(value);
          return;
        }
        case SERVER.backendKeyData:
          connection.processId = message.frame.readInt32BE(5);
          connection.secretKey = message.frame.readInt32BE(9);
          return;
        case SERVER.errorResponse: {
          const failure = { sqlState: readSqlState(message), message: readErrorMessage(message) };
          fail({ kind: 'rejected', ...failure });
          return;
        }
        case SERVER.readyForQuery:
          isSettled = true;
          clearTimeout(timer);
          resolve({ kind: 'connected', connection, position });
          return;
        default:
      }
    }

    function fail(failure: ConnectFailure): void {
      if (isSettled) return;
      isSettled = true;
      clearTimeout(timer);
      socket.destroy();
      resolve({ kind: 'failed', failure });
    }
  });
}

/** Closes a connection; its consumer is not notified. */
export function closeConnection(connection: TargetConnection): void {
  if (connection.isClosed) return;
  connection.isClosed = true;
  connection.consumer = undefined;
  connection.socket.end(buildTerminate());
  connection.socket.destroySoon();
}

export type QueryOutcome =
  | { readonly kind: 'done'; readonly status: TransactionStatus; readonly rows: readonly string[] }
  | { readonly kind: 'error'; readonly sqlState: string }
  | { readonly kind: 'lost' }
  | { readonly kind: 'timeout' };

/**
 * Runs an internal query on a connection that no request uses. The outcome holds the first column
 * of each row.
 */
export function runInternalQuery(
  connection: TargetConnection,
  text: string,
  timeoutMs: number,
): Promise<QueryOutcome> {
  return new Promise((resolve) => {
    let sqlState: string | undefined;
    const rows: string[] = [];
    const timer = setTimeout(() => {
      finish({ kind: 'timeout' });
    }, timeoutMs);
    const finish = (outcome: QueryOutcome) => {
      clearTimeout(timer);
      connection.consumer = undefined;
      resolve(outcome);
    };
    connection.consumer = {
      onLost: () => {
        finish({ kind: 'lost' });
      },
      onMessages: (messages) => {
        for (const message of messages) {
          if (message.type === SERVER.errorResponse) sqlState = readSqlState(message);
          if (message.type === SERVER.dataRow) rows.push(readFirstColumn(message));
          if (message.type !== SERVER.readyForQuery) continue;
          const status = readReadyForQuery(message);
          finish(
            sqlState === undefined ? { kind: 'done', status, rows } : { kind: 'error', sqlState },
          );
        }
      },
    };
    connection.socket.write(buildQuery(text));
  });
}

function readFirstColumn({ frame }: WireMessage): string {
  const lengthBytes = frame.readInt32BE(7);
  return lengthBytes < 0 ? '' : frame.toString('utf8', 11, 11 + lengthBytes);
}

/** Sends a cancel request for the statement that the connection currently runs. */
export function cancelRunning(connection: TargetConnection): void {
  const socket = createConnection(splitAddress(connection.address));
  socket.on('error', () => undefined);
  socket.once('connect', () => {
    socket.end(buildCancel(connection.processId, connection.secretKey));
  });
}

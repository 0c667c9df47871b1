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
  buildEcho,
  buildPassword,
  buildQuery,
  buildStartup,
  buildTerminate,
  createMessageFramer,
  frameMessages,
  readErrorMessage,
  readParameterStatus,
  readSqlState,
  SERVER,
  type WireMessage,
} from '@bramleykeel/postgres-wire';
import { type AnswerSequence, createAnswerSequence, splitAnswer } from './answer-sequence.js';
import {
  describeMessage,
  describeUnreadable,
  findUnrequested,
  type OutOfStepCause,
  type OutOfStepReport,
  type ReportedMessage,
  splitAtReady,
} from './out-of-step.js';

export type { OutOfStepReport } from './out-of-step.js';

export interface TargetCredentials {
  readonly user: string;
  readonly password: string;
  readonly database: string;
}

/** Receives the messages that answer the connection's current request. */
export interface AnswerConsumer {
  readonly onMessages: (messages: readonly WireMessage[]) => void;
  readonly onLost: (cause: LossCause) => void;
}

/** Why a connection was lost: its socket was closed, or its target sent what it was not asked for. */
export type LossCause = 'closed' | 'out-of-step';

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
  /** Number of the latest echo that was sent. */
  lastEchoNumber: number;
  /** Called when the connection is closed because it is out of step, and for copies of an answer. */
  readonly onOutOfStep: (report: OutOfStepReport) => void;
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
 * @param onOutOfStep called if the connection is closed because the target sent what it was not asked for
 * @example
 * const outcome = await connectTarget('10.0.0.7:5432', credentials, 1_000, reportOutOfStep);
 */
export function connectTarget(
  address: string,
  credentials: TargetCredentials,
  timeoutMs: number,
  onOutOfStep: (report: OutOfStepReport) => void,
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
      lastEchoNumber: 0,
      onOutOfStep,
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
      consumer?.onLost('closed');
    });
    socket.on('data', (chunk) => {
      connection.lastReceivedMs = performance.now();
      const framed = frameMessages(framer, chunk);
      if (framed.kind !== 'messages') {
        closeReported(connection, describeUnreadable(framed));
        fail({ kind: 'lost' });
        return;
      }
      if (isSettled) deliver(connection, framed.messages);
      else receiveStartup(framed.messages);
    });

    function receiveStartup(messages: readonly WireMessage[]): void {
      const { answer, rest } = splitAtReady(messages);
      for (const message of answer) handleStartup(message);
      if (isSettled || answer.at(-1)?.type !== SERVER.readyForQuery) return;
      checkUnrequested(connection, rest);
      if (connection.isClosed) fail({ kind: 'lost' });
      else succeed();
    }

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
        default:
      }
    }

    function succeed(): void {
      isSettled = true;
      clearTimeout(timer);
      resolve({ kind: 'connected', connection, position });
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

function deliver(connection: TargetConnection, messages: readonly WireMessage[]): void {
  if (connection.isClosed) return;
  const { consumer } = connection;
  if (consumer) consumer.onMessages(messages);
  else checkUnrequested(connection, messages);
}

/** Closes the connection if any of the messages is an answer, which nothing has asked for. */
export function checkUnrequested(
  connection: TargetConnection,
  messages: readonly WireMessage[],
): void {
  const unrequested = findUnrequested(messages);
  if (unrequested) closeOutOfStep(connection, unrequested, 'unused');
}

/** Closes a connection because of a message that cannot be what its target was asked for. */
export function closeOutOfStep(
  connection: TargetConnection,
  message: WireMessage,
  moment: ReportedMessage['moment'],
): void {
  closeReported(connection, { moment, ...describeMessage(message) });
}

function closeReported(connection: TargetConnection, cause: OutOfStepCause): void {
  if (connection.isClosed) return;
  const { address, processId, consumer, onOutOfStep } = connection;
  connection.isClosed = true;
  connection.consumer = undefined;
  connection.socket.destroy();
  onOutOfStep({ address, processId, ...cause });
  consumer?.onLost('out-of-step');
}

/** Ends the use of a connection by a verified answer; `rest` are the messages that followed it in the same chunk. */
export function endAnswer(
  connection: TargetConnection,
  { copyCount, answerBytes }: AnswerSequence,
  rest: readonly WireMessage[],
): void {
  const { address, processId, onOutOfStep } = connection;
  connection.consumer = undefined;
  if (copyCount > 0) {
    onOutOfStep({ address, processId, moment: 'copy', messageType: 'Z', bytes: answerBytes });
  }
  checkUnrequested(connection, rest);
}

/** Closes a connection; its consumer is not notified. */
export function closeConnection(connection: TargetConnection): void {
  connection.consumer = undefined;
  if (connection.isClosed) return;
  connection.isClosed = true;
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
    if (connection.isClosed) {
      resolve({ kind: 'lost' });
      return;
    }
    const sequence = createAnswerSequence();
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
        const { answer, foreign, isVerified, rest } = splitAnswer(sequence, messages);
        for (const message of answer) {
          if (message.type === SERVER.errorResponse) sqlState = readSqlState(message);
          if (message.type === SERVER.dataRow) rows.push(readFirstColumn(message));
        }
        if (foreign) closeOutOfStep(connection, foreign, 'in-request');
        const { status } = sequence;
        if (!isVerified || status === undefined) return;
        endAnswer(connection, sequence, rest);
        finish(
          sqlState === undefined ? { kind: 'done', status, rows } : { kind: 'error', sqlState },
        );
      },
    };
    connection.socket.write(Buffer.concat([buildQuery(text), nextEcho(connection, sequence)]));
  });
}

/**
 * Builds the echo that follows the end of a request. The answer to the request counts once the echo has come back behind
 * it.
 */
export function nextEcho(connection: TargetConnection, sequence: AnswerSequence): Buffer {
  connection.lastEchoNumber += 1;
  sequence.echoNumber = connection.lastEchoNumber;
  return buildEcho(sequence.echoNumber);
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

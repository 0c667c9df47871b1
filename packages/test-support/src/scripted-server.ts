/** A server that speaks the PostgreSQL protocol and whose answers a test writes message by message. */
import { createServer, type Socket } from 'node:net';
import {
  buildAuthenticationOk,
  buildBackendKeyData,
  buildEmptyMessage,
  buildParameterDescription,
  buildReadyForQuery,
  CLIENT,
  createMessageFramer,
  frameMessages,
  readParse,
  SERVER,
  type WireMessage,
} from '@bramleykeel/postgres-wire';

export interface ScriptedServer {
  /** `127.0.0.1:PORT` of the server. */
  readonly address: string;
  /** Open connections, in the order in which they were accepted. */
  readonly sockets: Set<Socket>;
  readonly close: () => void;
}

export interface Script {
  /** Sent in one write with the ReadyForQuery that ends the startup. */
  readonly afterStartup?: readonly Buffer[];
  /** Returns the answer to a message that follows the startup packet. */
  readonly onMessage: (message: WireMessage, socket: Socket) => readonly Buffer[];
  /** Returns the answer to an echo instead of the right one. */
  readonly onEcho?: (rightAnswer: Buffer) => Buffer;
}

const MAX_MESSAGE_BYTES = 1024 * 1024;

/** What a connection has to remember to answer echoes. */
interface EchoState {
  /** Answer to the echo whose messages are being received. */
  answer: Buffer[] | undefined;
  /** The last ReadyForQuery of the script. */
  ready: Buffer;
}

/**
 * Starts a server that accepts every startup, answers echoes, and leaves all other answers to the script.
 *
 * @example
 * const server = await startScriptedServer({ onMessage: () => [buildReadyForQuery('idle')] });
 */
export function startScriptedServer(script: Script): Promise<ScriptedServer> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    const framer = createMessageFramer(MAX_MESSAGE_BYTES, true);
    const echo: EchoState = { answer: undefined, ready: buildReadyForQuery('idle') };
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', (chunk) => {
      const framed = frameMessages(framer, chunk);
      if (framed.kind !== 'messages') throw new Error(`the client sent ${framed.kind} input`);
      for (const message of framed.messages) {
        if (framer.isStartup) {
          framer.isStartup = false;
          socket.write(Buffer.concat([...STARTUP_ANSWER, ...(script.afterStartup ?? [])]));
        } else socket.write(Buffer.concat(answerMessage(script, echo, message, socket)));
      }
    });
  });
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      const address = server.address();
      const port = typeof address === 'object' && address ? address.port : 0;
      const close = () => {
        for (const socket of sockets) socket.destroy();
        server.close();
      };
      resolve({ address: `127.0.0.1:${port}`, sockets, close });
    });
  });
}

function answerMessage(
  script: Script,
  echo: EchoState,
  message: WireMessage,
  socket: Socket,
): readonly Buffer[] {
  const number = readEchoNumber(message);
  if (number !== undefined) {
    echo.answer = [
      buildEmptyMessage(SERVER.parseComplete),
      buildParameterDescription([number]),
      buildEmptyMessage(SERVER.noData),
    ];
    return [];
  }
  if (echo.answer && message.type === CLIENT.describe) return [];
  if (echo.answer && message.type === CLIENT.sync) {
    const answer = Buffer.concat([...echo.answer, echo.ready]);
    echo.answer = undefined;
    return [script.onEcho?.(answer) ?? answer];
  }
  const answer = script.onMessage(message, socket);
  echo.ready = answer.findLast((frame) => frame[0] === SERVER.readyForQuery) ?? echo.ready;
  return answer;
}

/** The number of an echo, if the message begins one: a Parse without a name or a text. */
function readEchoNumber(message: WireMessage): number | undefined {
  if (message.type !== CLIENT.parse) return undefined;
  const { name, text, parameterTypes } = readParse(message);
  return name === '' && text === '' ? parameterTypes.readInt32BE(2) : undefined;
}

const STARTUP_ANSWER = [
  buildAuthenticationOk(),
  buildBackendKeyData(7, 8),
  buildReadyForQuery('idle'),
];

/** A server that speaks the PostgreSQL protocol and whose answers a test writes message by message. */
import { createServer, type Socket } from 'node:net';
import {
  buildAuthenticationOk,
  buildBackendKeyData,
  buildReadyForQuery,
  createMessageFramer,
  frameMessages,
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
  /** Called with each message that follows the startup packet. */
  readonly onMessage: (message: WireMessage, socket: Socket) => void;
}

const MAX_MESSAGE_BYTES = 1024 * 1024;

/**
 * Starts a server that accepts every startup and leaves all other answers to the script.
 *
 * @example
 * const server = await startScriptedServer({ onMessage: (_message, socket) => socket.write(ready) });
 */
export function startScriptedServer(script: Script): Promise<ScriptedServer> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    const framer = createMessageFramer(MAX_MESSAGE_BYTES, true);
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
        } else script.onMessage(message, socket);
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

const STARTUP_ANSWER = [
  buildAuthenticationOk(),
  buildBackendKeyData(7, 8),
  buildReadyForQuery('idle'),
];

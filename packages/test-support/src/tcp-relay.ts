/**
 * A TCP relay that can stop forwarding on its open connections while new connections keep working.
 */
import { createConnection, createServer, type Server, type Socket } from 'node:net';
import { splitAddress } from '@bramleykeel/core';

export interface TcpRelay {
  /** Discards all further data on the currently open connections, without closing them. */
  readonly silenceOpenConnections: () => void;
  readonly connectionCount: () => number;
  readonly close: () => Promise<void>;
}

interface RelayedConnection {
  readonly clientSocket: Socket;
  readonly targetSocket: Socket;
  isSilent: boolean;
}

/** Listens on `address` and forwards each connection to `target`. */
export async function startTcpRelay(address: string, target: string): Promise<TcpRelay> {
  const connections = new Set<RelayedConnection>();
  const server = createServer((clientSocket) => {
    const targetSocket = createConnection(splitAddress(target));
    const connection: RelayedConnection = { clientSocket, targetSocket, isSilent: false };
    connections.add(connection);
    forwardData(connection, clientSocket, targetSocket);
    forwardData(connection, targetSocket, clientSocket);
    clientSocket.on('close', () => connections.delete(connection));
  });
  await listen(server, address);
  return {
    silenceOpenConnections: () => {
      for (const connection of connections) connection.isSilent = true;
    },
    connectionCount: () => connections.size,
    close: () =>
      new Promise((resolve) => {
        for (const { clientSocket, targetSocket } of connections) {
          clientSocket.destroy();
          targetSocket.destroy();
        }
        server.close(() => {
          resolve();
        });
      }),
  };
}

function forwardData(connection: RelayedConnection, from: Socket, to: Socket): void {
  from.on('error', () => undefined);
  from.on('data', (chunk) => {
    if (!connection.isSilent) to.write(chunk);
  });
  from.on('close', () => {
    if (!connection.isSilent) to.destroy();
  });
}

function listen(server: Server, address: string): Promise<void> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
}

/** A TCP relay whose open connections can be made to go silent while new ones work. */
import { createConnection, createServer, type Server, type Socket } from 'node:net';
import { splitAddress } from '@bramleykeel/core';

export interface TcpRelay {
  /** Swallows everything on the connections that are open now, without closing them. */
  readonly silenceOpenConnections: () => void;
  readonly connectionCount: () => number;
  readonly close: () => Promise<void>;
}

interface RelayedPair {
  readonly near: Socket;
  readonly far: Socket;
  isSilent: boolean;
}

/** Listens on `address` and passes every connection on to `target`. */
export async function startTcpRelay(address: string, target: string): Promise<TcpRelay> {
  const pairs = new Set<RelayedPair>();
  const server = createServer((near) => {
    const far = createConnection(splitAddress(target));
    const pair: RelayedPair = { near, far, isSilent: false };
    pairs.add(pair);
    passOn(pair, near, far);
    passOn(pair, far, near);
    near.on('close', () => pairs.delete(pair));
  });
  await listen(server, address);
  return {
    silenceOpenConnections: () => {
      for (const pair of pairs) pair.isSilent = true;
    },
    connectionCount: () => pairs.size,
    close: () =>
      new Promise((resolve) => {
        for (const { near, far } of pairs) {
          near.destroy();
          far.destroy();
        }
        server.close(() => {
          resolve();
        });
      }),
  };
}

function passOn(pair: RelayedPair, from: Socket, to: Socket): void {
  from.on('error', () => undefined);
  from.on('data', (chunk) => {
    if (!pair.isSilent) to.write(chunk);
  });
  from.on('close', () => {
    if (!pair.isSilent) to.destroy();
  });
}

function listen(server: Server, address: string): Promise<void> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
}

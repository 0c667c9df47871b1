/** Accepts links from other processes of the system. */
import { createServer, type Server } from 'node:net';
import { splitAddress } from '@bramleykeel/core';
import { boundConnections } from './bounded-connections.js';
import { readProcessLimits } from './process-limits.js';
import { type LinkHandlers, type LinkOptions, type LinkPeer, runLink } from './link-peer.js';

export interface LinkServer {
  /** Peers with an open, authenticated link. */
  readonly peers: ReadonlySet<LinkPeer>;
  readonly close: () => Promise<void>;
}

export interface LinkServerOptions extends LinkOptions {
  /** Descriptors that the process may have open; the limit of the system if absent. */
  readonly maxDescriptors?: number | undefined;
  /** Called for each connection that is closed because too many are not authenticated. */
  readonly onTooMany?: () => void;
}

/** Part of the descriptors for connections that are not authenticated yet, in an instant in which all peers reconnect. */
const UNAUTHENTICATED_SHARE = 0.25;

/**
 * Listens on `address` and runs the link protocol on every connection.
 *
 * @throws if the address cannot be listened on
 * @example
 * const server = await listenForLinks('127.0.0.1:7001', options, handlers);
 */
export async function listenForLinks(
  address: string,
  options: LinkServerOptions,
  handlers: LinkHandlers,
): Promise<LinkServer> {
  const { maxDescriptors } = readProcessLimits(options);
  const peers = new Set<LinkPeer>();
  /** All connections, including those that are not authenticated yet; each of them keeps the server from closing. */
  const connections = new Set<LinkPeer>();
  let isClosing = false;
  const server = createServer((socket) => {
    const connection = runLink(socket, 'server', options, {
      ...handlers,
      onOpen: (peer) => {
        peers.add(peer);
        unauthenticated.release(socket);
        handlers.onOpen?.(peer);
      },
      onClose: (peer, reason) => {
        peers.delete(peer);
        handlers.onClose?.(peer, reason);
      },
    });
    connections.add(connection);
    socket.once('close', () => {
      connections.delete(connection);
      unauthenticated.release(socket);
    });
    if (isClosing) connection.close('server is closing');
  });
  const unauthenticated = boundConnections(
    server,
    Math.floor(maxDescriptors * UNAUTHENTICATED_SHARE),
    (socket) => {
      options.onTooMany?.();
      socket.destroy();
    },
  );
  await listen(server, address);
  return {
    peers,
    close: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        isClosing = true;
        for (const connection of connections) connection.close('server is closing');
      }),
  };
}

function listen(server: Server, address: string): Promise<void> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });
}

/** Bounds the number of connections of a listener by closing those that have been idle longest. */
import type { Server, Socket } from 'node:net';

export interface BoundedConnections {
  /** Takes a connection out of the bound; to be called when it closes, or once it is authenticated. */
  readonly release: (socket: Socket) => void;
  /** Marks a connection as in use or idle; idle ones are closed first. */
  readonly setIdle: (socket: Socket, isIdle: boolean) => void;
  readonly count: () => number;
}

/**
 * Bounds the connections of `server`. A new connection above `maxConnections` replaces the one that has been idle
 * longest; if none is idle, the new one is closed.
 *
 * @param close closes a connection because of the bound
 * @example
 * const connections = boundConnections(server, 64, (socket) => socket.destroy());
 */
export function boundConnections(
  server: Server,
  maxConnections: number,
  close: (socket: Socket) => void,
): BoundedConnections {
  const open = new Set<Socket>();
  // Sets keep the order in which elements were added: the first has been idle longest.
  const idle = new Set<Socket>();
  server.prependListener('connection', (socket: Socket) => {
    if (open.size >= maxConnections) {
      const [longestIdle = socket] = idle;
      open.delete(longestIdle);
      idle.delete(longestIdle);
      close(longestIdle);
      if (longestIdle === socket) return;
    }
    open.add(socket);
    idle.add(socket);
  });
  return {
    release,
    setIdle: (socket, isIdle) => {
      idle.delete(socket);
      if (isIdle && open.has(socket)) idle.add(socket);
    },
    count: () => open.size,
  };

  function release(socket: Socket): void {
    open.delete(socket);
    idle.delete(socket);
  }
}

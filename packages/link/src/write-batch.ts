/** Collects the writes of one turn of the event loop, so that each socket is written to once. */
import type { Socket } from 'node:net';

const corkedSockets = new WeakSet<Socket>();

/**
 * Writes to a socket together with everything else that is written to it in this turn.
 *
 * @param onFlushed called when the kernel has taken the bytes
 * @example
 * writeBatched(socket, frame);
 */
export function writeBatched(socket: Socket, bytes: Uint8Array, onFlushed?: () => void): void {
  if (!corkedSockets.has(socket)) {
    corkedSockets.add(socket);
    socket.cork();
    process.nextTick(() => {
      corkedSockets.delete(socket);
      socket.uncork();
    });
  }
  socket.write(bytes, onFlushed);
}

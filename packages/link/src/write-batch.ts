/** Batches writes within one turn of the event loop, so that each socket is written to once per turn. */
import type { Socket } from 'node:net';

const corkedSockets = new WeakSet<Socket>();

/**
 * Writes to a socket together with all other batched writes of the current turn of the event loop.
 *
 * @param onFlushed called when the kernel has accepted the bytes
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

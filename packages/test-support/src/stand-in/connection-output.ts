/** Buffered output of one stand-in connection, with back-pressure. */
import type { Socket } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';

const FLUSH_BYTES = 16_384;

export interface ConnectionOutput {
  readonly socket: Socket;
  pending: Buffer[];
  pendingBytes: number;
}

export function createOutput(socket: Socket): ConnectionOutput {
  return { socket, pending: [], pendingBytes: 0 };
}

/** Adds a message; a full buffer is written and waited for. */
export async function send(output: ConnectionOutput, message: Buffer): Promise<void> {
  output.pending.push(message);
  output.pendingBytes += message.length;
  if (output.pendingBytes < FLUSH_BYTES) return;
  await flush(output);
  // Other connections get their turn, as they would from a server with a process for each.
  await nextTurn();
}

export async function flush(output: ConnectionOutput): Promise<void> {
  if (output.pendingBytes === 0) return;
  const { socket } = output;
  const bytes = Buffer.concat(output.pending);
  output.pending = [];
  output.pendingBytes = 0;
  if (socket.destroyed || socket.write(bytes)) return;
  await new Promise<void>((resolve) => {
    const done = () => {
      socket.off('drain', done);
      socket.off('close', done);
      resolve();
    };
    socket.once('drain', done);
    socket.once('close', done);
  });
}

/** Connections of clients that do not behave, for tests. */
import { connect, type Socket } from 'node:net';
import { setImmediate as nextTurn, setTimeout as delay } from 'node:timers/promises';
import { splitAddress } from '@bramleykeel/core';

/** Bytes that the other side does not accept for this long are given up: it has stopped reading. */
const STALL_MS = 4_000;
const CONNECT_WAIT_MS = 2_000;

/** Sockets of a crowd, which stay open until {@link closeCrowd}. */
export type Crowd = Socket[];

/**
 * Opens `count` connections. Connections that are refused or not accepted in time stay in the crowd as they are.
 *
 * @example
 * const crowd = await connectCrowd('127.0.0.1:7000', 300);
 */
export async function connectCrowd(address: string, count: number): Promise<Crowd> {
  const { host, port } = splitAddress(address);
  const crowd = Array.from({ length: count }, () => {
    const socket = connect({ host, port });
    socket.on('error', () => undefined);
    return socket;
  });
  const isSettled = (socket: Socket) => socket.destroyed || !socket.connecting;
  const deadlineMs = performance.now() + CONNECT_WAIT_MS;
  while (!crowd.every(isSettled) && performance.now() < deadlineMs) await delay(5);
  return crowd;
}

export function closeCrowd(crowd: Crowd): void {
  for (const socket of crowd) socket.destroy();
}

/**
 * Writes the chunks as fast as the other side reads them, each in a turn of its own. Ends when all are written, the
 * connection is closed, or the other side has stopped reading.
 */
export async function sendChunks(socket: Socket, chunks: Iterable<Buffer | string>): Promise<void> {
  for (const chunk of chunks) {
    if (socket.destroyed || !socket.writable) return;
    if (socket.write(chunk)) await nextTurn();
    else if (!(await isDrained(socket))) return;
  }
}

async function isDrained(socket: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    const finish = (hasDrained: boolean) => {
      clearTimeout(timer);
      socket.off('drain', handleDrain);
      socket.off('close', handleClose);
      resolve(hasDrained);
    };
    const handleDrain = () => {
      finish(true);
    };
    const handleClose = () => {
      finish(false);
    };
    const timer = setTimeout(handleClose, STALL_MS);
    socket.once('drain', handleDrain);
    socket.once('close', handleClose);
  });
}

/** Runs `send` for every socket of the crowd and waits until all have ended. */
export async function sendFromAll(
  crowd: Crowd,
  send: (socket: Socket, index: number) => Promise<void>,
): Promise<void> {
  await Promise.all(crowd.map(send));
}

/** Yields `chunk` `count` times. */
export function* repeated(chunk: Buffer | string, count: number): Generator<Buffer | string> {
  for (let sent = 0; sent < count; sent += 1) yield chunk;
}

/** Yields `text` in pieces of `pieceBytes`. */
export function* piecesOf(text: Buffer, pieceBytes: number): Generator<Buffer> {
  for (let start = 0; start < text.length; start += pieceBytes)
    yield text.subarray(start, start + pieceBytes);
}

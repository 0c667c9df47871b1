/**
 * Collects long messages in pieces that are used again. Buffers of received bytes that are kept become garbage of the
 * old generation, which V8 frees late: with them a process held twice the bytes that its callers had sent.
 */

/** Pieces that all connections of a process share. */
export interface PiecePool {
  readonly free: Buffer[];
  /** Called with the number of bytes of pieces that are not kept, and are garbage now. */
  readonly onDropped: (bytes: number) => void;
}

export interface LongMessage {
  readonly lengthBytes: number;
  readonly pieces: Buffer[];
  /** Number of bytes received so far. */
  receivedBytes: number;
}

export const PIECE_BYTES = 64 * 1024;
/** Unused pieces that are kept: 4 MB. The next long message takes what the one before has returned. */
const MAX_FREE_PIECES = 64;

export function createPiecePool(onDropped: (bytes: number) => void): PiecePool {
  return { free: [], onDropped };
}

/** Begins a message of `lengthBytes`, header included. */
export function beginLongMessage(lengthBytes: number): LongMessage {
  return { lengthBytes, pieces: [], receivedBytes: 0 };
}

/** Number of bytes of memory that a message holds. */
export function memoryOf({ pieces }: LongMessage): number {
  return pieces.length * PIECE_BYTES;
}

/**
 * Copies received bytes into a message, at most as many as it lacks; returns their number.
 *
 * @example
 * const rest = chunk.subarray(addToLongMessage(pool, message, chunk));
 */
export function addToLongMessage(pool: PiecePool, message: LongMessage, chunk: Buffer): number {
  const count = Math.min(chunk.length, message.lengthBytes - message.receivedBytes);
  for (let copied = 0; copied < count;) {
    const offset = message.receivedBytes % PIECE_BYTES;
    if (offset === 0) message.pieces.push(takePiece(pool));
    const bytes = Math.min(count - copied, PIECE_BYTES - offset);
    const piece = message.pieces.at(-1);
    if (piece) chunk.copy(piece, offset, copied, copied + bytes);
    copied += bytes;
    message.receivedBytes += bytes;
  }
  return count;
}

/** Returns the bytes of a message in one buffer, and its pieces to the pool. */
export function endLongMessage(pool: PiecePool, message: LongMessage): Buffer {
  const frame = Buffer.allocUnsafeSlow(message.receivedBytes);
  for (const [index, piece] of message.pieces.entries()) piece.copy(frame, index * PIECE_BYTES);
  dropLongMessage(pool, message);
  return frame;
}

/** Returns the pieces of a message to the pool. */
export function dropLongMessage({ free, onDropped }: PiecePool, { pieces }: LongMessage): void {
  const kept = pieces.splice(0, MAX_FREE_PIECES - free.length);
  free.push(...kept);
  const droppedCount = pieces.length;
  pieces.length = 0;
  if (droppedCount > 0) onDropped(droppedCount * PIECE_BYTES);
}

function takePiece({ free }: PiecePool): Buffer {
  return free.pop() ?? Buffer.allocUnsafeSlow(PIECE_BYTES);
}

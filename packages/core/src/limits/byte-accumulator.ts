/** Collects bytes that arrive in fragments, at a cost linear in their number however small the fragments are. */

export interface ByteAccumulator {
  readonly pieces: Buffer[];
  /** Number of bytes of the first piece that are taken already. */
  firstOffset: number;
  /** Number of bytes in use of the last piece. */
  lastBytes: number;
  /** Number of bytes held. */
  bytes: number;
}

/** Larger fragments are kept as they are; smaller ones are copied together, since each buffer has a fixed cost. */
const MIN_PIECE_BYTES = 4 * 1024;
const MAX_PIECE_BYTES = 64 * 1024;
/** A buffer of at most this size is kept for any rest of it: a new buffer costs about as much as this memory. */
const MAX_KEPT_PIECE_BYTES = 512;

export function createAccumulator(): ByteAccumulator {
  return { pieces: [], firstOffset: 0, lastBytes: 0, bytes: 0 };
}

/**
 * Adds bytes. `chunk` is kept, so its bytes must not change afterwards.
 *
 * @example
 * appendBytes(accumulator, Buffer.from('abc'));
 */
export function appendBytes(accumulator: ByteAccumulator, chunk: Buffer): void {
  const filledBytes = fillLastPiece(accumulator, chunk);
  const rest = filledBytes === 0 ? chunk : chunk.subarray(filledBytes);
  if (rest.length === 0) return;
  const mayKeep = rest.length >= MIN_PIECE_BYTES || accumulator.bytes === 0;
  // A part of a larger buffer would keep all of that buffer in memory.
  const piece =
    mayKeep && rest.length === rest.buffer.byteLength ? rest : copyOf(accumulator, rest);
  accumulator.pieces.push(piece);
  accumulator.lastBytes = rest.length;
  accumulator.bytes += rest.length;
}

/** Returns the number of bytes of `chunk` that fit into the last piece. */
function fillLastPiece(accumulator: ByteAccumulator, chunk: Buffer): number {
  const last = accumulator.pieces.at(-1);
  if (!last || accumulator.lastBytes === last.length) return 0;
  const copied = chunk.copy(last, accumulator.lastBytes);
  accumulator.lastBytes += copied;
  accumulator.bytes += copied;
  return copied;
}

function copyOf({ bytes }: ByteAccumulator, rest: Buffer): Buffer {
  const spareBytes = Math.min(bytes, MAX_PIECE_BYTES);
  const piece = Buffer.allocUnsafeSlow(Math.max(rest.length, spareBytes));
  rest.copy(piece);
  return piece;
}

/**
 * Returns the position of the first `pair` of bytes at or after `from`, or -1.
 *
 * @example
 * indexOfPair(accumulator, Buffer.from('\r\n'), 0);
 */
export function indexOfPair(accumulator: ByteAccumulator, pair: Buffer, from: number): number {
  const { pieces, lastBytes } = accumulator;
  let position = -accumulator.firstOffset;
  let endsWithFirst = false;
  let index = 0;
  for (const piece of pieces) {
    index += 1;
    const isPartlyUsed = index === pieces.length && lastBytes < piece.length;
    const used = isPartlyUsed ? piece.subarray(0, lastBytes) : piece;
    if (position + used.length > from) {
      if (endsWithFirst && used[0] === pair[1]) return position - 1;
      const found = used.indexOf(pair, Math.max(0, from - position));
      if (found >= 0) return position + found;
      endsWithFirst = used.at(-1) === pair[0];
    }
    position += used.length;
  }
  return -1;
}

/** Returns the last byte; `undefined` if none is held. */
export function lastByteOf({ pieces, lastBytes, bytes }: ByteAccumulator): number | undefined {
  return bytes > 0 ? pieces.at(-1)?.[lastBytes - 1] : undefined;
}

/**
 * Removes and returns the first `count` bytes, of those that are held.
 *
 * @example
 * takeBytes(accumulator, 4);
 */
export function takeBytes(accumulator: ByteAccumulator, count: number): Buffer {
  const [first] = accumulator.pieces;
  const { firstOffset } = accumulator;
  if (first && firstOffset + count <= usedBytesOfFirst(accumulator, first)) {
    const taken = first.subarray(firstOffset, firstOffset + count);
    dropFromFirst(accumulator, count);
    return taken;
  }
  const joined = joinPieces(accumulator);
  accumulator.pieces.splice(0, accumulator.pieces.length, joined);
  accumulator.firstOffset = 0;
  accumulator.lastBytes = joined.length;
  const taken = joined.subarray(0, count);
  dropFromFirst(accumulator, taken.length);
  return taken;
}

/** Removes and returns all bytes. */
export function takeAllBytes(accumulator: ByteAccumulator): Buffer {
  return takeBytes(accumulator, accumulator.bytes);
}

/** Frees what is held. */
export function clearBytes(accumulator: ByteAccumulator): void {
  accumulator.pieces.length = 0;
  accumulator.firstOffset = 0;
  accumulator.lastBytes = 0;
  accumulator.bytes = 0;
}

function usedBytesOfFirst({ pieces, lastBytes }: ByteAccumulator, first: Buffer): number {
  return pieces.length === 1 ? lastBytes : first.length;
}

function joinPieces({ pieces, firstOffset, lastBytes, bytes }: ByteAccumulator): Buffer {
  const used = pieces.map((piece, index) => {
    const end = index === pieces.length - 1 ? lastBytes : piece.length;
    return piece.subarray(index === 0 ? firstOffset : 0, end);
  });
  return Buffer.concat(used, bytes);
}

function dropFromFirst(accumulator: ByteAccumulator, count: number): void {
  const { pieces } = accumulator;
  accumulator.bytes -= count;
  accumulator.firstOffset += count;
  if (accumulator.bytes === 0) {
    clearBytes(accumulator);
    return;
  }
  const [first] = pieces;
  if (!first) return;
  if (pieces.length > 1) {
    if (accumulator.firstOffset < first.length) return;
    pieces.shift();
    accumulator.firstOffset = 0;
    return;
  }
  // A small rest must not keep a large buffer in memory. Each byte is copied once on average.
  if (first.length <= MAX_KEPT_PIECE_BYTES || accumulator.bytes * 2 >= first.length) return;
  const rest = first.subarray(accumulator.firstOffset, accumulator.lastBytes);
  pieces[0] = copyOf({ ...accumulator, bytes: 0 }, rest);
  accumulator.firstOffset = 0;
  accumulator.lastBytes = rest.length;
}

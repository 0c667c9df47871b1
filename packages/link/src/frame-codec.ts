/** Length-prefixed CBOR frames: a 32-bit big-endian length, then one CBOR value. */
import { Encoder } from 'cbor-x';

const LENGTH_BYTES = 4;
/**
 * Longer frames are rejected before memory is allocated for them. The longest that the system sends are chunks of
 * requests of up to 16 MiB; a longer one would not fit a heap of 160 MB together with its decoded value.
 */
export const MAX_FRAME_BYTES = 32 * 1024 * 1024;

const encoder = new Encoder({ useRecords: false, tagUint8Array: false });

/**
 * Encodes one value as a frame.
 *
 * @example
 * socket.write(encodeFrame(['event', 'settings/changed', {}]));
 */
export function encodeFrame(value: unknown): Buffer {
  const body = encoder.encode(value);
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  frame.set(body, LENGTH_BYTES);
  return frame;
}

/** Whether a decoder accepts an encoded frame. */
export function isFrameAllowed(frame: Buffer): boolean {
  return frame.length - LENGTH_BYTES <= MAX_FRAME_BYTES;
}

export type DecodedFrames =
  | { readonly kind: 'values'; readonly values: readonly unknown[] }
  | { readonly kind: 'malformed'; readonly reason: string };

export interface FrameDecoder {
  maxFrameBytes: number;
  chunks: Buffer[];
  bufferedBytes: number;
}

export function createFrameDecoder(maxFrameBytes = MAX_FRAME_BYTES): FrameDecoder {
  return { maxFrameBytes, chunks: [], bufferedBytes: 0 };
}

/**
 * Adds received bytes and returns the values of the frames that are now complete, at most `maxFrames` of them.
 *
 * @example
 * decodeFrames(decoder, chunk); // { kind: 'values', values: [...] }
 */
export function decodeFrames(
  decoder: FrameDecoder,
  chunk: Buffer,
  maxFrames = Number.POSITIVE_INFINITY,
): DecodedFrames {
  if (chunk.length > 0) decoder.chunks.push(chunk);
  decoder.bufferedBytes += chunk.length;
  const values: unknown[] = [];
  while (decoder.bufferedBytes >= LENGTH_BYTES && values.length < maxFrames) {
    const length = peekLength(decoder);
    if (length > decoder.maxFrameBytes) {
      return { kind: 'malformed', reason: `frame of ${length} bytes is above the limit` };
    }
    if (decoder.bufferedBytes < LENGTH_BYTES + length) break;
    const frame = takeBytes(decoder, LENGTH_BYTES + length);
    try {
      values.push(encoder.decode(frame.subarray(LENGTH_BYTES)));
    } catch {
      return { kind: 'malformed', reason: 'frame does not hold one CBOR value' };
    }
  }
  return { kind: 'values', values };
}

function peekLength(decoder: FrameDecoder): number {
  const [first] = decoder.chunks;
  if (first && first.length >= LENGTH_BYTES) return first.readUInt32BE(0);
  const joined = joinChunks(decoder);
  return joined.readUInt32BE(0);
}

function takeBytes(decoder: FrameDecoder, count: number): Buffer {
  const [first] = decoder.chunks;
  const source = first && first.length >= count ? first : joinChunks(decoder);
  const bytes = source.subarray(0, count);
  const rest = source.subarray(count);
  if (rest.length > 0) decoder.chunks[0] = rest;
  else decoder.chunks.shift();
  decoder.bufferedBytes -= count;
  return bytes;
}

function joinChunks(decoder: FrameDecoder): Buffer {
  const joined = Buffer.concat(decoder.chunks);
  decoder.chunks = [joined];
  return joined;
}

/** Splits a PostgreSQL protocol 3 byte stream into messages, and limits the length of each. */
import {
  appendBytes,
  type ByteAccumulator,
  clearBytes,
  createAccumulator,
  takeAllBytes,
} from '@bramleykeel/core';
import {
  addToLongMessage,
  beginLongMessage,
  dropLongMessage,
  endLongMessage,
  type LongMessage,
  memoryOf,
  type PiecePool,
} from './long-message.js';

/** One message: its type byte (0 for startup packets) and the complete frame, header included. */
export interface WireMessage {
  readonly type: number;
  readonly frame: Buffer;
}

export type FramingResult =
  | { readonly kind: 'messages'; readonly messages: readonly WireMessage[] }
  | { readonly kind: 'too-large'; readonly lengthBytes: number; readonly limitBytes: number }
  | { readonly kind: 'malformed' };

export interface MessageFramer {
  maxMessageBytes: number;
  /** Whether startup packets are expected, which have no type byte. */
  isStartup: boolean;
  /** Consecutive messages of this type are returned as one; used for data rows of large results. */
  readonly mergedType: number | undefined;
  /** Received bytes that are not yet returned as messages. */
  readonly received: ByteAccumulator;
  /** Number of received bytes below which no further message can be complete. */
  neededBytes: number;
  /** Pieces for long messages; without them, long messages are collected like short ones. */
  piecePool: PiecePool | undefined;
  /** A long message that has begun; `received` is empty then. */
  longMessage: LongMessage | undefined;
}

const TYPE_BYTES = 1;
const LENGTH_BYTES = 4;
/** Startup packets are short; a longer one does not come from a PostgreSQL client. */
const MAX_STARTUP_BYTES = 10_000;
/** Longer messages are collected in pieces of a pool. Shorter ones arrive in one or two chunks. */
const MAX_SHORT_BYTES = 128 * 1024;

export function createMessageFramer(
  maxMessageBytes: number,
  isStartup: boolean,
  mergedType?: number,
): MessageFramer {
  const received = createAccumulator();
  return {
    ...{ maxMessageBytes, isStartup, mergedType, received, neededBytes: 0 },
    ...{ piecePool: undefined, longMessage: undefined },
  };
}

/** Collects long messages in pieces of `pool` from now on. */
export function usePieces(framer: MessageFramer, pool: PiecePool): void {
  framer.piecePool = pool;
  framer.neededBytes = 0;
}

/** Number of bytes of memory that the framer holds. */
export function bufferedBytesOf({ received, longMessage }: MessageFramer): number {
  return received.bytes + (longMessage ? memoryOf(longMessage) : 0);
}

/** Frees the bytes that are not returned as messages; the framer is not used afterwards. */
export function dropReceived(framer: MessageFramer): void {
  const { received, piecePool, longMessage } = framer;
  clearBytes(received);
  if (piecePool && longMessage) dropLongMessage(piecePool, longMessage);
  framer.longMessage = undefined;
}

/** Puts messages back, to be returned again before later bytes. Not for a framer that uses pieces. */
export function returnMessages(framer: MessageFramer, messages: readonly WireMessage[]): void {
  const rest = takeAllBytes(framer.received);
  for (const { frame } of messages) appendBytes(framer.received, frame);
  appendBytes(framer.received, rest);
  framer.neededBytes = 0;
}

/**
 * Appends received bytes and returns the complete messages. While `isStartup` is set, returns at most
 * one packet per call, because the next packet may already be a message with a type byte.
 *
 * @example
 * const framer = createMessageFramer(16_777_216, false);
 * frameMessages(framer, chunk); // { kind: 'messages', messages: [...] }
 */
export function frameMessages(framer: MessageFramer, chunk: Buffer): FramingResult {
  const { received } = framer;
  const messages: WireMessage[] = [];
  const rest = framer.longMessage ? continueLongMessage(framer, chunk, messages) : chunk;
  if (framer.longMessage) return { kind: 'messages', messages };
  if (received.bytes > 0) appendBytes(received, rest);
  if (received.bytes > 0 && received.bytes < framer.neededBytes)
    return { kind: 'messages', messages };
  const input = received.bytes > 0 ? takeAllBytes(received) : rest;
  framer.neededBytes = 0;
  let offset = 0;
  let mergeStart = -1;
  for (;;) {
    const headerBytes = framer.isStartup ? LENGTH_BYTES : TYPE_BYTES + LENGTH_BYTES;
    if (input.length - offset < headerBytes) break;
    const lengthBytes = input.readInt32BE(offset + headerBytes - LENGTH_BYTES);
    if (lengthBytes < LENGTH_BYTES) return { kind: 'malformed' };
    const limitBytes = framer.isStartup ? MAX_STARTUP_BYTES : framer.maxMessageBytes;
    if (lengthBytes > limitBytes) return { kind: 'too-large', lengthBytes, limitBytes };
    const end = offset + headerBytes - LENGTH_BYTES + lengthBytes;
    if (end > input.length) {
      framer.neededBytes = end - offset;
      break;
    }
    const type = framer.isStartup ? 0 : (input[offset] ?? 0);
    if (type === framer.mergedType && mergeStart >= 0) {
      messages[messages.length - 1] = { type, frame: input.subarray(mergeStart, end) };
    } else {
      messages.push({ type, frame: input.subarray(offset, end) });
      mergeStart = type === framer.mergedType ? offset : -1;
    }
    offset = end;
    if (framer.isStartup) break;
  }
  const { piecePool, neededBytes } = framer;
  if (piecePool && neededBytes > MAX_SHORT_BYTES) {
    framer.longMessage = beginLongMessage(neededBytes);
    addToLongMessage(piecePool, framer.longMessage, input.subarray(offset));
  } else appendBytes(received, input.subarray(offset));
  return { kind: 'messages', messages };
}

/** Adds a chunk to the long message; returns the bytes that follow it. */
function continueLongMessage(
  framer: MessageFramer,
  chunk: Buffer,
  messages: WireMessage[],
): Buffer {
  const { piecePool, longMessage } = framer;
  if (!piecePool || !longMessage) return chunk;
  const added = addToLongMessage(piecePool, longMessage, chunk);
  if (longMessage.receivedBytes === longMessage.lengthBytes) {
    const frame = endLongMessage(piecePool, longMessage);
    framer.longMessage = undefined;
    messages.push({ type: frame[0] ?? 0, frame });
  }
  return chunk.subarray(added);
}

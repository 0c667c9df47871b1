/** Splits a PostgreSQL v3 byte stream into messages, with a bound on the length of each. */

/** One message: its type byte (0 for startup packets) and the whole frame as received. */
export interface WireMessage {
  readonly type: number;
  readonly frame: Buffer;
}

export type FramingResult =
  | { readonly kind: 'messages'; readonly messages: readonly WireMessage[] }
  | { readonly kind: 'too-large'; readonly lengthBytes: number; readonly limitBytes: number }
  | { readonly kind: 'malformed' };

export interface MessageFramer {
  readonly maxMessageBytes: number;
  /** The first packets of a connection carry no type byte. */
  isStartup: boolean;
  /** Neighbouring messages of this type are returned as one, for streams of rows. */
  readonly mergedType: number | undefined;
  rest: Buffer;
}

const TYPE_BYTES = 1;
const LENGTH_BYTES = 4;
/** Startup packets are short; anything longer is not a PostgreSQL client. */
const MAX_STARTUP_BYTES = 10_000;

export function createMessageFramer(
  maxMessageBytes: number,
  isStartup: boolean,
  mergedType?: number,
): MessageFramer {
  return { maxMessageBytes, isStartup, mergedType, rest: Buffer.alloc(0) };
}

/**
 * Takes in bytes and returns the complete messages. While `isStartup` is set, at most one packet is
 * returned at a time, because the next one may be of the other form.
 *
 * @example
 * const framer = createMessageFramer(16_777_216, false);
 * frameMessages(framer, chunk); // { kind: 'messages', messages: [...] }
 */
export function frameMessages(framer: MessageFramer, chunk: Buffer): FramingResult {
  const input = framer.rest.length === 0 ? chunk : Buffer.concat([framer.rest, chunk]);
  const messages: WireMessage[] = [];
  let offset = 0;
  let mergedFrom = -1;
  for (;;) {
    const headerBytes = framer.isStartup ? LENGTH_BYTES : TYPE_BYTES + LENGTH_BYTES;
    if (input.length - offset < headerBytes) break;
    const lengthBytes = input.readInt32BE(offset + headerBytes - LENGTH_BYTES);
    if (lengthBytes < LENGTH_BYTES) return { kind: 'malformed' };
    const limitBytes = framer.isStartup ? MAX_STARTUP_BYTES : framer.maxMessageBytes;
    if (lengthBytes > limitBytes) return { kind: 'too-large', lengthBytes, limitBytes };
    const end = offset + headerBytes - LENGTH_BYTES + lengthBytes;
    if (end > input.length) break;
    const type = framer.isStartup ? 0 : (input[offset] ?? 0);
    if (type === framer.mergedType && mergedFrom >= 0) {
      messages[messages.length - 1] = { type, frame: input.subarray(mergedFrom, end) };
    } else {
      messages.push({ type, frame: input.subarray(offset, end) });
      mergedFrom = type === framer.mergedType ? offset : -1;
    }
    offset = end;
    if (framer.isStartup) break;
  }
  framer.rest = input.subarray(offset);
  return { kind: 'messages', messages };
}

import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createPiecePool, PIECE_BYTES } from './long-message.js';
import {
  bufferedBytesOf,
  createMessageFramer,
  dropReceived,
  frameMessages,
  type MessageFramer,
  usePieces,
  type WireMessage,
} from './message-framer.js';
import { CLIENT } from './message-types.js';

const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

function queryOf(payloadBytes: number, seed: number): Buffer {
  const message = Buffer.alloc(5 + payloadBytes);
  message[0] = CLIENT.query;
  message.writeInt32BE(payloadBytes + 4, 1);
  for (let index = 5; index < message.length; index += 1) message[index] = (index * seed) % 251;
  return message;
}

function receive(framer: MessageFramer, bytes: Buffer, chunkBytes: number): WireMessage[] {
  const messages: WireMessage[] = [];
  for (let start = 0; start < bytes.length; start += chunkBytes) {
    // Each chunk is overwritten after it was framed, as a socket's buffer may be that is used again.
    const chunk = Buffer.from(bytes.subarray(start, start + chunkBytes));
    const framed = frameMessages(framer, chunk);
    if (framed.kind !== 'messages') throw new Error(framed.kind);
    messages.push(...framed.messages);
  }
  return messages;
}

function createFramer(onDropped: (bytes: number) => void = () => undefined) {
  const framer = createMessageFramer(MAX_MESSAGE_BYTES, false);
  const pool = createPiecePool(onDropped);
  usePieces(framer, pool);
  return { framer, pool };
}

describe('long messages', () => {
  // Guards against bytes that are lost, repeated or in another message where long and short messages follow each other.
  it('are framed like short ones, whatever follows them and however they are split', () => {
    const lengths = fc.array(
      fc.constantFrom(0, 1, 100, 65_530, 131_066, 131_068, 131_069, 196_603, 300_000),
      { minLength: 1, maxLength: 6 },
    );
    const property = fc.property(lengths, fc.integer({ min: 900, max: 400_000 }), (all, split) => {
      const { framer, pool } = createFramer();
      const sent = all.map((length, index) => queryOf(length, index + 1));
      const received = receive(framer, Buffer.concat(sent), split);
      expect(received.map(({ frame }) => frame.length)).toEqual(sent.map(({ length }) => length));
      expect(Buffer.concat(received.map(({ frame }) => frame)).equals(Buffer.concat(sent))).toBe(
        true,
      );
      expect(bufferedBytesOf(framer)).toBe(0);
      expect(new Set(pool.free).size).toBe(pool.free.length);
    });
    fc.assert(property, { seed: 20_261_206, numRuns: 60 });
  });

  it('that began before pieces are used are complete as well', () => {
    const framer = createMessageFramer(MAX_MESSAGE_BYTES, false);
    const message = queryOf(500_000, 3);
    receive(framer, message.subarray(0, 200_000), 60_000);
    usePieces(
      framer,
      createPiecePool(() => undefined),
    );
    frameMessages(framer, Buffer.alloc(0));
    const [received] = receive(framer, message.subarray(200_000), 60_000);
    expect(received?.frame.equals(message)).toBe(true);
  });

  // Guards against pieces of closed connections that stay with the pool, or go to two messages.
  it('return their pieces when they are dropped; more than 4 MB are given up', () => {
    let droppedBytes = 0;
    const { framer, pool } = createFramer((bytes) => (droppedBytes += bytes));
    receive(framer, queryOf(6 * 1024 * 1024, 1).subarray(0, 5 * 1024 * 1024), 64 * 1024);
    expect(bufferedBytesOf(framer)).toBe(5 * 1024 * 1024);
    dropReceived(framer);
    expect(bufferedBytesOf(framer)).toBe(0);
    expect(pool.free.length * PIECE_BYTES).toBe(4 * 1024 * 1024);
    expect(droppedBytes).toBe(1024 * 1024);
    dropReceived(framer);
    expect(pool.free.length * PIECE_BYTES).toBe(4 * 1024 * 1024);
  });
});

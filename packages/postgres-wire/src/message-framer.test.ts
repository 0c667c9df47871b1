import fc from 'fast-check';
import { serialize } from 'pg-protocol';
import { describe, expect, it } from 'vitest';
import { readStartupPacket } from './client-messages.js';
import { createMessageFramer, frameMessages, type WireMessage } from './message-framer.js';
import { SERVER } from './message-types.js';
import { buildDataRow, buildReadyForQuery } from './server-messages.js';

function frameInChunks(bytes: Buffer, chunkBytes: number, mergedType?: number): WireMessage[] {
  const framer = createMessageFramer(10_000, false, mergedType);
  const messages: WireMessage[] = [];
  for (let offset = 0; offset < bytes.length; offset += chunkBytes) {
    const framed = frameMessages(framer, bytes.subarray(offset, offset + chunkBytes));
    if (framed.kind === 'messages') messages.push(...framed.messages);
  }
  return messages;
}

describe('message framer', () => {
  it('frames messages however the input is split into chunks', () => {
    const bytes = Buffer.concat([serialize.query('SELECT 1'), serialize.sync(), serialize.flush()]);
    for (let chunkBytes = 1; chunkBytes <= bytes.length; chunkBytes += 1) {
      expect(frameInChunks(bytes, chunkBytes).map(({ type }) => String.fromCharCode(type))).toEqual(
        ['Q', 'S', 'H'],
      );
    }
  });

  it('merges consecutive data rows without losing a byte', () => {
    const row = buildDataRow(['x']);
    const ready = buildReadyForQuery('idle');
    const bytes = Buffer.concat([row, row, row, ready, row, row]);
    for (const chunkBytes of [1, 5, 13, bytes.length]) {
      const messages = frameInChunks(bytes, chunkBytes, SERVER.dataRow);
      expect(Buffer.concat(messages.map(({ frame }) => frame))).toEqual(bytes);
    }
    expect(frameInChunks(bytes, bytes.length, SERVER.dataRow)).toHaveLength(3);
  });

  it('rejects a message above the length limit as soon as its header is received', () => {
    const header = Buffer.from([0x51, 0, 0, 0x27, 0x11]);
    const framed = frameMessages(createMessageFramer(10_000, false), header);
    expect(framed).toEqual({ kind: 'too-large', lengthBytes: 10_001, limitBytes: 10_000 });
  });

  it('accepts arbitrary input without throwing, at startup and later', () => {
    const property = fc.property(
      fc.uint8Array({ minLength: 1, maxLength: 300 }),
      fc.boolean(),
      (input, isStartup) => {
        const framer = createMessageFramer(10_000, isStartup);
        const framed = frameMessages(framer, Buffer.from(input));
        if (framed.kind !== 'messages' || !isStartup) return;
        for (const message of framed.messages) expect(readStartupPacket(message)).toBeDefined();
      },
    );
    fc.assert(property, { seed: 20_261_204, numRuns: 500 });
  });
});

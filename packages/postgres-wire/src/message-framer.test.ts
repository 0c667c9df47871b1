import fc from 'fast-check';
import { serialize } from 'pg-protocol';
import { describe, expect, it } from 'vitest';
import { readStartupPacket } from './client-messages.js';
import { createMessageFramer, frameMessages, type WireMessage } from './message-framer.js';
import { SERVER } from './message-types.js';
import { buildDataRow, buildReadyForQuery } from './server-messages.js';

function feed(bytes: Buffer, pieceBytes: number, mergedType?: number): WireMessage[] {
  const framer = createMessageFramer(10_000, false, mergedType);
  const messages: WireMessage[] = [];
  for (let offset = 0; offset < bytes.length; offset += pieceBytes) {
    const framed = frameMessages(framer, bytes.subarray(offset, offset + pieceBytes));
    if (framed.kind === 'messages') messages.push(...framed.messages);
  }
  return messages;
}

describe('message framer', () => {
  it('frames messages whatever pieces they come in', () => {
    const bytes = Buffer.concat([serialize.query('SELECT 1'), serialize.sync(), serialize.flush()]);
    for (let pieceBytes = 1; pieceBytes <= bytes.length; pieceBytes += 1) {
      expect(feed(bytes, pieceBytes).map(({ type }) => String.fromCharCode(type))).toEqual([
        'Q',
        'S',
        'H',
      ]);
    }
  });

  it('merges neighbouring rows without losing a byte', () => {
    const row = buildDataRow(['x']);
    const ready = buildReadyForQuery('idle');
    const bytes = Buffer.concat([row, row, row, ready, row, row]);
    for (const pieceBytes of [1, 5, 13, bytes.length]) {
      const messages = feed(bytes, pieceBytes, SERVER.dataRow);
      expect(Buffer.concat(messages.map(({ frame }) => frame))).toEqual(bytes);
    }
    expect(feed(bytes, bytes.length, SERVER.dataRow)).toHaveLength(3);
  });

  it('refuses a message above the limit by its header alone', () => {
    const header = Buffer.from([0x51, 0, 0, 0x27, 0x11]);
    const framed = frameMessages(createMessageFramer(10_000, false), header);
    expect(framed).toEqual({ kind: 'too-large', lengthBytes: 10_001, limitBytes: 10_000 });
  });

  it('survives noise, at startup and after', () => {
    const property = fc.property(
      fc.uint8Array({ minLength: 1, maxLength: 300 }),
      fc.boolean(),
      (noise, isStartup) => {
        const framer = createMessageFramer(10_000, isStartup);
        const framed = frameMessages(framer, Buffer.from(noise));
        if (framed.kind !== 'messages' || !isStartup) return;
        for (const message of framed.messages) expect(readStartupPacket(message)).toBeDefined();
      },
    );
    fc.assert(property, { seed: 20_261_204, numRuns: 500 });
  });
});

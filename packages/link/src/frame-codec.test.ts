import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createFrameDecoder, decodeFrames, encodeFrame } from './frame-codec.js';
import { createNonce, createProof, isProofValid } from './link-auth.js';

describe('frame codec', () => {
  it('reads values back whatever pieces they come in', () => {
    const property = fc.property(
      fc.array(fc.jsonValue(), { maxLength: 6 }),
      fc.integer({ min: 1, max: 50 }),
      (values, chunkBytes) => {
        const decoder = createFrameDecoder();
        const bytes = Buffer.concat(values.map(encodeFrame));
        const decoded: unknown[] = [];
        for (let offset = 0; offset < bytes.length; offset += chunkBytes) {
          const result = decodeFrames(decoder, bytes.subarray(offset, offset + chunkBytes));
          if (result.kind === 'values') decoded.push(...result.values);
        }
        expect(JSON.stringify(decoded)).toBe(JSON.stringify(values));
      },
    );
    fc.assert(property, { seed: 20_261_204, numRuns: 200 });
  });

  it('refuses a frame above the limit before it has come', () => {
    const decoder = createFrameDecoder(1_000);
    const header = Buffer.alloc(4);
    header.writeUInt32BE(1_001);
    expect(decodeFrames(decoder, header).kind).toBe('malformed');
  });

  it('survives noise', () => {
    const property = fc.property(fc.uint8Array({ minLength: 1, maxLength: 200 }), (noise) => {
      const decoder = createFrameDecoder(1_000);
      expect(['values', 'malformed']).toContain(decodeFrames(decoder, Buffer.from(noise)).kind);
    });
    fc.assert(property, { seed: 20_261_204, numRuns: 500 });
  });
});

describe('link proofs', () => {
  const [clientNonce, serverNonce] = [createNonce(), createNonce()];
  const expected = createProof('secret', 'client', clientNonce, serverNonce);
  const CASES: readonly [string, unknown, boolean][] = [
    ['the right proof', createProof('secret', 'client', clientNonce, serverNonce), true],
    ['another secret', createProof('other', 'client', clientNonce, serverNonce), false],
    ['a reflected proof', createProof('secret', 'server', clientNonce, serverNonce), false],
    ['a replayed proof', createProof('secret', 'client', clientNonce, createNonce()), false],
    ['no bytes', 'text', false],
    ['too few bytes', expected.subarray(1), false],
  ];
  it.each(CASES)('%s', (_name, received, isValid) => {
    expect(isProofValid(received, expected)).toBe(isValid);
  });
});

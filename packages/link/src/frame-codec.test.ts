import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createFrameDecoder, decodeFrames, encodeFrame } from './frame-codec.js';
import { createNonce, createProof, isProofValid } from './link-auth.js';

describe('frame codec', () => {
  it('decodes values from chunks of any size', () => {
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

  it('rejects a frame above the limit as soon as its length is received', () => {
    const decoder = createFrameDecoder(1_000);
    const header = Buffer.alloc(4);
    header.writeUInt32BE(1_001);
    expect(decodeFrames(decoder, header).kind).toBe('malformed');
  });

  it('does not throw on random bytes', () => {
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
    ['valid proof', createProof('secret', 'client', clientNonce, serverNonce), true],
    ['proof with another secret', createProof('other', 'client', clientNonce, serverNonce), false],
    ['reflected proof', createProof('secret', 'server', clientNonce, serverNonce), false],
    ['replayed proof', createProof('secret', 'client', clientNonce, createNonce()), false],
    ['not a byte array', 'text', false],
    ['truncated proof', expected.subarray(1), false],
  ];
  it.each(CASES)('%s', (_name, received, isValid) => {
    expect(isProofValid(received, expected)).toBe(isValid);
  });
});

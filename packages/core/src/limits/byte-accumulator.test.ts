import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  appendBytes,
  clearBytes,
  createAccumulator,
  indexOfPair,
  lastByteOf,
  takeAllBytes,
  takeBytes,
} from './byte-accumulator.js';

function bytesOf(length: number): Buffer {
  return Buffer.from(Array.from({ length }, (_, index) => index % 251));
}

/** A buffer of its own, as sockets emit them. */
function ownBuffer(bytes: Buffer): Buffer {
  const own = Buffer.allocUnsafeSlow(bytes.length);
  bytes.copy(own);
  return own;
}

describe('byte accumulator', () => {
  it.each([1, 7, 100, 5_000, 100_000])('returns what was added in fragments of %d', (fragment) => {
    const accumulator = createAccumulator();
    const bytes = bytesOf(300_000);
    for (let start = 0; start < bytes.length; start += fragment)
      appendBytes(accumulator, ownBuffer(bytes.subarray(start, start + fragment)));
    expect(takeAllBytes(accumulator).equals(bytes)).toBe(true);
    expect(accumulator.pieces).toEqual([]);
  });

  // Guards against a buffer for each small fragment, which takes many times the memory of its bytes.
  it('keeps few pieces of many small fragments', () => {
    const accumulator = createAccumulator();
    for (let count = 0; count < 100_000; count += 1) appendBytes(accumulator, Buffer.from('x'));
    expect(accumulator.pieces.length).toBeLessThan(20);
  });

  it('returns the same bytes and positions as one buffer, in any order of steps', () => {
    const step = fc.record({
      add: fc.nat(9_000),
      take: fc.double({ min: 0, max: 1, noNaN: true }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 12 }), (steps) => {
        const accumulator = createAccumulator();
        let expected = Buffer.alloc(0);
        for (const { add, take } of steps) {
          const added = ownBuffer(bytesOf(add));
          appendBytes(accumulator, added);
          expected = Buffer.concat([expected, added]);
          const from = Math.floor(expected.length / 3);
          for (const first of [99, 250, 0]) {
            const pair = Buffer.from([first, (first + 1) % 251]);
            expect(indexOfPair(accumulator, pair, from)).toBe(expected.indexOf(pair, from));
          }
          expect(lastByteOf(accumulator)).toBe(expected.at(-1));
          const count = Math.floor(expected.length * take);
          expect(takeBytes(accumulator, count).equals(expected.subarray(0, count))).toBe(true);
          expected = expected.subarray(count);
          expect(accumulator.bytes).toBe(expected.length);
        }
      }),
    );
  });

  it.each([1, 2, 3, 5_000])('finds a pair of bytes in fragments of %d', (fragment) => {
    const bytes = Buffer.from('a\rb\n\r\r\nc\r\n');
    const accumulator = createAccumulator();
    for (let start = 0; start < bytes.length; start += fragment)
      appendBytes(accumulator, ownBuffer(bytes.subarray(start, start + fragment)));
    const pair = Buffer.from('\r\n');
    const found = Array.from(bytes, (_, from) => indexOfPair(accumulator, pair, from));
    expect(found).toEqual(Array.from(bytes, (_, from) => bytes.indexOf(pair, from)));
  });

  // Guards against a pair that is missed because its bytes are held in two pieces.
  it('finds a pair of bytes that two pieces share', () => {
    const accumulator = createAccumulator();
    const ends = ownBuffer(Buffer.concat([bytesOf(70_000), Buffer.from('\r')]));
    appendBytes(accumulator, ends);
    appendBytes(accumulator, ownBuffer(Buffer.concat([Buffer.from('\n'), bytesOf(70_000)])));
    expect(accumulator.pieces).toHaveLength(2);
    expect(indexOfPair(accumulator, Buffer.from('\r\n'), 70_000)).toBe(70_000);
    expect(indexOfPair(accumulator, Buffer.from('\r\n'), 70_001)).toBe(-1);
  });

  // Guards against a few bytes of a message that keep a whole read of 64 KB in memory.
  it('keeps no large buffer for a small rest', () => {
    const accumulator = createAccumulator();
    appendBytes(accumulator, ownBuffer(bytesOf(65_536)));
    takeBytes(accumulator, 65_530);
    expect(accumulator.pieces[0]?.length).toBe(6);
    clearBytes(accumulator);
    expect(accumulator.bytes).toBe(0);
  });
});

import { describe, expect, it } from 'vitest';
import {
  createOwedPositions,
  newestAcknowledged,
  noteAcknowledged,
  type OwedPositions,
  owedPosition,
} from './owed-positions.js';

const at = (offset: number, term = 3) => ({ term, offset });

function commits(...times: readonly (readonly [number, number])[]): OwedPositions {
  const owed = createOwedPositions(at(100), 0);
  for (const [nowMs, offset] of times) noteAcknowledged(owed, at(offset), nowMs);
  return owed;
}

describe('the position that a read is owed', () => {
  const owed = commits([1_000, 101], [2_000, 102], [3_000, 103], [4_000, 104]);

  it.each([
    { consistency: 'newest', maxReadAgeMs: 9_999, mark: null, expected: 104 },
    { consistency: 'bounded-age', maxReadAgeMs: 1_500, mark: null, expected: 103 },
    { consistency: 'bounded-age', maxReadAgeMs: 2_500, mark: null, expected: 102 },
    { consistency: 'bounded-age', maxReadAgeMs: 60_000, mark: null, expected: 100 },
    { consistency: 'bounded-age', maxReadAgeMs: 2_500, mark: at(104), expected: 102 },
    { consistency: 'own-writes', maxReadAgeMs: 2_500, mark: at(104), expected: 104 },
    { consistency: 'own-writes', maxReadAgeMs: 2_500, mark: at(101), expected: 102 },
    { consistency: 'own-writes', maxReadAgeMs: 2_500, mark: null, expected: 102 },
  ] as const)('$consistency, $maxReadAgeMs ms, mark $mark: $expected', ({ expected, ...read }) => {
    expect(owedPosition(owed, read, 4_500).offset).toBe(expected);
  });

  it('counts an acknowledgement as seen late: it was given up to 100 ms earlier', () => {
    const read = { consistency: 'bounded-age', maxReadAgeMs: 500, mark: null } as const;
    expect(owedPosition(owed, read, 4_390).offset).toBe(103);
    expect(owedPosition(owed, read, 4_400).offset).toBe(104);
  });
});

describe('acknowledged positions', () => {
  it('never go back', () => {
    const owed = commits([1_000, 105], [1_100, 103]);
    expect(newestAcknowledged(owed)).toEqual(at(105));
  });

  it('of a newer term cover all of an older one', () => {
    const owed = commits([1_000, 105]);
    noteAcknowledged(owed, at(2, 4), 1_500);
    expect(newestAcknowledged(owed)).toEqual(at(2, 4));
  });

  it('that come close together count at the time of the first', () => {
    const owed = commits([1_000, 101], [1_010, 102], [1_019, 103]);
    const read = { consistency: 'bounded-age', maxReadAgeMs: 200, mark: null } as const;
    expect(owedPosition(owed, read, 1_100).offset).toBe(103);
  });

  it('are forgotten when no read can be that old, the newest of them excepted', () => {
    const owed = commits([1_000, 101], [50_000, 102]);
    noteAcknowledged(owed, at(103), 99_000);
    expect(owed.history.length).toBeLessThan(4);
    expect(newestAcknowledged(owed)).toEqual(at(103));
  });
});

import { describe, expect, it } from 'vitest';
import {
  createAcknowledgedPositions,
  newestAcknowledged,
  recordAcknowledged,
  type AcknowledgedPositions,
  requiredPosition,
} from './acknowledged-positions.js';

const at = (offset: number, term = 3) => ({ term, offset });

function commits(...times: readonly (readonly [number, number])[]): AcknowledgedPositions {
  const acknowledged = createAcknowledgedPositions(at(100), 0);
  for (const [nowMs, offset] of times) recordAcknowledged(acknowledged, at(offset), nowMs);
  return acknowledged;
}

describe('requiredPosition', () => {
  const acknowledged = commits([1_000, 101], [2_000, 102], [3_000, 103], [4_000, 104]);

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
    expect(requiredPosition(acknowledged, read, 4_500).offset).toBe(expected);
  });

  it('assumes that an acknowledgement was given up to 100 ms before it was recorded', () => {
    const read = { consistency: 'bounded-age', maxReadAgeMs: 500, mark: null } as const;
    expect(requiredPosition(acknowledged, read, 4_390).offset).toBe(103);
    expect(requiredPosition(acknowledged, read, 4_400).offset).toBe(104);
  });
});

describe('acknowledged positions', () => {
  it('never move backwards', () => {
    const acknowledged = commits([1_000, 105], [1_100, 103]);
    expect(newestAcknowledged(acknowledged)).toEqual(at(105));
  });

  it('of a newer term supersede all of an older one', () => {
    const acknowledged = commits([1_000, 105]);
    recordAcknowledged(acknowledged, at(2, 4), 1_500);
    expect(newestAcknowledged(acknowledged)).toEqual(at(2, 4));
  });

  it('within the merge window are dated by the first', () => {
    const acknowledged = commits([1_000, 101], [1_010, 102], [1_019, 103]);
    const read = { consistency: 'bounded-age', maxReadAgeMs: 200, mark: null } as const;
    expect(requiredPosition(acknowledged, read, 1_100).offset).toBe(103);
  });

  it('are dropped when no read can be that old, except the newest', () => {
    const acknowledged = commits([1_000, 101], [50_000, 102]);
    recordAcknowledged(acknowledged, at(103), 99_000);
    expect(acknowledged.history.length).toBeLessThan(4);
    expect(newestAcknowledged(acknowledged)).toEqual(at(103));
  });
});

import type { RecordsPush, StoredRecord } from '@bramleykeel/core';
import { describe, expect, it } from 'vitest';
import { applyPush, createRecordCopy } from './record-copy.js';

function push(sinceIndex: number, appliedIndex: number, keys: Record<string, number>): RecordsPush {
  const deltas = Object.entries(keys).map(([key, modifiedIndex]) => {
    const stored: StoredRecord = { record: { kind: 'removed' }, modifiedIndex };
    return { key, stored };
  });
  return { sinceIndex, appliedIndex, settingsRevision: 0, deltas };
}

describe('record copy', () => {
  it.each([
    { name: 'continues at the known index', known: 10, since: 10, applied: 12, expected: 12 },
    { name: 'overlaps', known: 10, since: 4, applied: 12, expected: 12 },
    { name: 'ends before the known index', known: 10, since: 2, applied: 6, expected: 10 },
    {
      name: 'leaves a gap because an earlier reply timed out',
      known: 10,
      since: 11,
      applied: 12,
      expected: 10,
    },
  ])(
    'is complete up to $expected after a push that $name',
    ({ known, since, applied, expected }) => {
      const copy = createRecordCopy();
      copy.knownIndex = known;
      applyPush(copy, push(since, applied, { a: applied }));
      expect(copy.knownIndex).toBe(expected);
    },
  );

  it('receives the records of a lost reply with the next renewal', () => {
    const copy = createRecordCopy();
    applyPush(copy, push(0, 5, { a: 5 }));
    // The reply with `b` (index 6) timed out; the leader continues from index 6.
    applyPush(copy, push(6, 7, { c: 7 }));
    expect(copy.knownIndex).toBe(5);
    applyPush(copy, push(copy.knownIndex, 7, { b: 6, c: 7 }));
    expect([...copy.records.keys()].sort()).toEqual(['a', 'b', 'c']);
    expect(copy.knownIndex).toBe(7);
  });

  it('never replaces a record by an older one', () => {
    const copy = createRecordCopy();
    applyPush(copy, push(0, 9, { a: 9 }));
    expect(applyPush(copy, push(0, 9, { a: 4 }))).toEqual([]);
    expect(copy.records.get('a')?.modifiedIndex).toBe(9);
  });
});

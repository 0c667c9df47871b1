/** An entry's copy of control's records, and up to where it is complete. */
import type { RecordDelta, RecordsPush, StoredRecord } from '@bramleykeel/core';

export interface RecordCopy {
  readonly records: Map<string, StoredRecord>;
  /** Index of the control log up to which the copy has everything. */
  knownIndex: number;
}

export function createRecordCopy(): RecordCopy {
  return { records: new Map(), knownIndex: 0 };
}

/**
 * Takes in changed records and returns those that are news. Records only move forward: a late push
 * never takes one back. A push that does not follow on what is known leaves a gap, so it does not
 * count as knowledge of everything before it: the next renewal asks from the old index again.
 *
 * @example
 * const fresh = applyPush(copy, push);
 */
export function applyPush(copy: RecordCopy, push: RecordsPush): RecordDelta[] {
  const fresh = push.deltas.filter(({ key, stored }) => {
    const known = copy.records.get(key);
    return !known || known.modifiedIndex < stored.modifiedIndex;
  });
  for (const { key, stored } of fresh) copy.records.set(key, stored);
  if (push.sinceIndex <= copy.knownIndex) {
    copy.knownIndex = Math.max(copy.knownIndex, push.appliedIndex);
  }
  return fresh;
}

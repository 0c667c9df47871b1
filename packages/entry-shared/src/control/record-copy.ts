/** An entry's copy of control's records, and up to where it is complete. */
import {
  applyDocumentChange,
  DOCUMENT_KEY,
  type DocumentChangeDelta,
  packDocument,
  type RecordDelta,
  type RecordsPush,
  type StoredRecord,
  unpackDocument,
} from '@bramleykeel/core';

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
 * count as knowledge of everything before it: the next renewal asks from the old index again. Nor does one
 * that changes a document which is not the one held here.
 *
 * @example
 * const fresh = applyPush(copy, push);
 */
export function applyPush(copy: RecordCopy, push: RecordsPush): RecordDelta[] {
  const changed = push.documentChange && restoreDocument(copy, push.documentChange);
  const deltas = changed ? [...push.deltas, changed] : push.deltas;
  const fresh = deltas.filter(({ key, stored }) => {
    const known = copy.records.get(key);
    return !known || known.modifiedIndex < stored.modifiedIndex;
  });
  for (const { key, stored } of fresh) copy.records.set(key, stored);
  const isWhole = push.documentChange === undefined || changed !== undefined;
  if (isWhole && push.sinceIndex <= copy.knownIndex) {
    copy.knownIndex = Math.max(copy.knownIndex, push.appliedIndex);
  }
  return fresh;
}

/** The log index of the settings document that the copy holds, if it holds one. */
export function documentIndexOf({ records }: RecordCopy): number | undefined {
  return records.get(DOCUMENT_KEY)?.modifiedIndex;
}

/** The whole document that a change leads to; `undefined` when its base is not the one held here. */
function restoreDocument(
  copy: RecordCopy,
  { baseIndex, modifiedIndex, version, change }: DocumentChangeDelta,
): RecordDelta | undefined {
  const held = copy.records.get(DOCUMENT_KEY);
  if (held?.record.kind !== 'document') return undefined;
  if (held.modifiedIndex === modifiedIndex) return { key: DOCUMENT_KEY, stored: held };
  if (held.modifiedIndex !== baseIndex) return undefined;
  const text = applyDocumentChange(unpackDocument(held.record.document.body), change);
  const document = { version, body: packDocument(text) };
  return { key: DOCUMENT_KEY, stored: { record: { kind: 'document', document }, modifiedIndex } };
}

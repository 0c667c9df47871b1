/** An entry's copy of the control records and the log index up to which it is complete. */
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
  /** Index of the control log up to which the copy is complete. */
  knownIndex: number;
}

export function createRecordCopy(): RecordCopy {
  return { records: new Map(), knownIndex: 0 };
}

/**
 * Applies a push and returns the records that were newer than the copy's. A delayed push never replaces a record
 * by an older one. `knownIndex` does not advance if the push starts after it (an earlier push was lost) or changes
 * a document that is not the base held here: the next renewal then requests from the old index again.
 *
 * @example
 * const newDeltas = applyPush(copy, push);
 */
export function applyPush(copy: RecordCopy, push: RecordsPush): RecordDelta[] {
  const changed = push.documentChange && resolveDocumentChange(copy, push.documentChange);
  const deltas = changed ? [...push.deltas, changed] : push.deltas;
  const newDeltas = deltas.filter(({ key, stored }) => {
    const existing = copy.records.get(key);
    return !existing || existing.modifiedIndex < stored.modifiedIndex;
  });
  for (const { key, stored } of newDeltas) copy.records.set(key, stored);
  const isComplete = push.documentChange === undefined || changed !== undefined;
  if (isComplete && push.sinceIndex <= copy.knownIndex) {
    copy.knownIndex = Math.max(copy.knownIndex, push.appliedIndex);
  }
  return newDeltas;
}

/** Log index of the settings document in the copy; `undefined` if there is none. */
export function documentIndexOf({ records }: RecordCopy): number | undefined {
  return records.get(DOCUMENT_KEY)?.modifiedIndex;
}

/** Builds the full document from a change; `undefined` if the copy does not hold the base of the change. */
function resolveDocumentChange(
  copy: RecordCopy,
  { baseIndex, modifiedIndex, version, change }: DocumentChangeDelta,
): RecordDelta | undefined {
  const current = copy.records.get(DOCUMENT_KEY);
  if (current?.record.kind !== 'document') return undefined;
  if (current.modifiedIndex === modifiedIndex) return { key: DOCUMENT_KEY, stored: current };
  if (current.modifiedIndex !== baseIndex) return undefined;
  const text = applyDocumentChange(unpackDocument(current.record.document.body), change);
  const document = { version, body: packDocument(text) };
  return { key: DOCUMENT_KEY, stored: { record: { kind: 'document', document }, modifiedIndex } };
}

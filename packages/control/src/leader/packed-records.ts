/**
 * The records that the leader sends to entries, each state encoded once however many entries need it: after a
 * loss of all, hundreds of entries ask for all records within a few hundred milliseconds, and the leader that
 * encodes them for each is late with its heartbeats.
 */
import {
  type CarriedRecords,
  type ControlState,
  createRecordsPush,
  type DocumentCache,
  type KnownRecords,
} from '@bramleykeel/core';
import { packValue } from '@bramleykeel/link';

export interface RecordsSource {
  readonly documentCache: DocumentCache;
  readonly control: () => ControlState;
  /** Updates to `appliedIndex`, by what the entry knows. */
  readonly updates: Map<string, RecordsUpdate>;
  appliedIndex: number;
}

/** An update of an entry's records. */
export interface RecordsUpdate {
  readonly appliedIndex: number;
  readonly isEmpty: boolean;
  readonly plain: CarriedRecords;
  readonly packed: CarriedRecords;
}

export function createRecordsSource(
  documentCache: DocumentCache,
  control: () => ControlState,
): RecordsSource {
  return { documentCache, control, updates: new Map(), appliedIndex: -1 };
}

/** Returns the update for an entry with the records `known`; the same object for all that know the same. */
export function recordsUpdateFor(source: RecordsSource, known: KnownRecords): RecordsUpdate {
  const control = source.control();
  if (source.appliedIndex !== control.appliedIndex) {
    source.updates.clear();
    source.appliedIndex = control.appliedIndex;
  }
  const key = `${known.knownIndex}/${known.documentIndex ?? ''}`;
  const existing = source.updates.get(key);
  if (existing) return existing;
  const push = createRecordsPush(source.documentCache, control, known);
  const isEmpty = push.deltas.length === 0 && push.documentChange === undefined;
  const created: RecordsUpdate = {
    appliedIndex: push.appliedIndex,
    isEmpty,
    plain: push,
    packed: isEmpty ? push : { packed: packValue(push) },
  };
  source.updates.set(key, created);
  return created;
}

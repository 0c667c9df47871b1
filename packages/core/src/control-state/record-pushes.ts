/** Builds updates of control records for entries. Settings documents are sent as diffs where possible. */
import type { DocumentChangeDelta, RecordsPush } from '../types/link-messages.js';
import type { ControlState } from './control-state.js';
import { diffDocuments, unpackDocument } from './document-change.js';
import { DOCUMENT_KEY, type RecordDelta, recordsSince } from './views.js';

/** The records that an entry has, as reported by its last renewal or sent to it since. */
export interface KnownRecords {
  readonly knownIndex: number;
  /** Log index of the entry's settings document. */
  readonly documentIndex: number | undefined;
}

/** Texts of the latest documents by log index, and diffs between them that were already computed. */
export interface DocumentCache {
  readonly texts: Map<number, string>;
  readonly changes: Map<string, DocumentChangeDelta>;
}

/** Entries lag by a few documents at most, even while documents change rapidly. */
const MAX_CACHED_DOCUMENTS = 12;

/** Starts with the current document, which entries may already have from an earlier leader. */
export function createDocumentCache(control: ControlState): DocumentCache {
  const cache: DocumentCache = { texts: new Map(), changes: new Map() };
  const stored = control.records.get(DOCUMENT_KEY);
  if (stored?.record.kind === 'document') {
    cacheDocument(cache, stored.modifiedIndex, unpackDocument(stored.record.document.body));
  }
  return cache;
}

/** Builds the update for an entry that has the records `known`. */
export function createRecordsPush(
  cache: DocumentCache,
  control: ControlState,
  known: KnownRecords,
): RecordsPush {
  const deltas = recordsSince(control, known.knownIndex);
  const push = {
    sinceIndex: known.knownIndex,
    appliedIndex: control.appliedIndex,
    settingsRevision: control.settingsRevision,
  };
  const document = deltas.find(({ key }) => key === DOCUMENT_KEY);
  const documentChange = document && documentChangeFrom(cache, document, known.documentIndex);
  if (!documentChange) return { ...push, deltas };
  return { ...push, deltas: deltas.filter((delta) => delta !== document), documentChange };
}

function documentChangeFrom(
  cache: DocumentCache,
  { stored }: RecordDelta,
  baseIndex: number | undefined,
): DocumentChangeDelta | undefined {
  const { record, modifiedIndex } = stored;
  if (record.kind !== 'document') return undefined;
  const { version, body } = record.document;
  const text = cache.texts.get(modifiedIndex) ?? unpackDocument(body);
  cacheDocument(cache, modifiedIndex, text);
  const base = baseIndex === undefined ? undefined : cache.texts.get(baseIndex);
  if (baseIndex === undefined || base === undefined) return undefined;
  const key = `${baseIndex}-${modifiedIndex}`;
  const cached = cache.changes.get(key);
  if (cached) return cached;
  const change = diffDocuments(base, text);
  const delta: DocumentChangeDelta = { baseIndex, modifiedIndex, version, change };
  cache.changes.set(key, delta);
  return delta;
}

function cacheDocument({ texts, changes }: DocumentCache, index: number, text: string): void {
  if (texts.has(index)) return;
  texts.set(index, text);
  const [oldest] = texts.keys();
  if (texts.size <= MAX_CACHED_DOCUMENTS || oldest === undefined) return;
  texts.delete(oldest);
  for (const key of changes.keys()) if (key.startsWith(`${oldest}-`)) changes.delete(key);
}

/** Tells entries what has changed in control's records, settings documents by what changed in them. */
import type { DocumentChangeDelta, RecordsPush } from '../types/link-messages.js';
import type { ControlState } from './control-state.js';
import { describeDocumentChange, unpackDocument } from './document-change.js';
import { DOCUMENT_KEY, type RecordDelta, recordsSince } from './views.js';

/** What an entry has, as far as it has said or was sent it. */
export interface KnownRecords {
  readonly knownIndex: number;
  /** Log index of the settings document that it has. */
  readonly documentIndex: number | undefined;
}

/** Texts of the newest documents by log index, and changes between them that were told already. */
export interface DocumentMemory {
  readonly texts: Map<number, string>;
  readonly changes: Map<string, DocumentChangeDelta>;
}

/** Entries lag by a few documents at most, also in a storm of changes. */
const KEPT_DOCUMENTS = 12;

/** Starts from the document in force: entries that follow from an earlier leader have it. */
export function createDocumentMemory(control: ControlState): DocumentMemory {
  const memory: DocumentMemory = { texts: new Map(), changes: new Map() };
  const stored = control.records.get(DOCUMENT_KEY);
  if (stored?.record.kind === 'document') {
    remember(memory, stored.modifiedIndex, unpackDocument(stored.record.document.body));
  }
  return memory;
}

/** What an entry that has `known` has to be told. */
export function createPush(
  memory: DocumentMemory,
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
  const documentChange = document && changeOf(memory, document, known.documentIndex);
  if (!documentChange) return { ...push, deltas };
  return { ...push, deltas: deltas.filter((delta) => delta !== document), documentChange };
}

function changeOf(
  memory: DocumentMemory,
  { stored }: RecordDelta,
  baseIndex: number | undefined,
): DocumentChangeDelta | undefined {
  const { record, modifiedIndex } = stored;
  if (record.kind !== 'document') return undefined;
  const { version, body } = record.document;
  const text = memory.texts.get(modifiedIndex) ?? unpackDocument(body);
  remember(memory, modifiedIndex, text);
  const base = baseIndex === undefined ? undefined : memory.texts.get(baseIndex);
  if (baseIndex === undefined || base === undefined) return undefined;
  const key = `${baseIndex}-${modifiedIndex}`;
  const told = memory.changes.get(key);
  if (told) return told;
  const change = describeDocumentChange(base, text);
  const delta: DocumentChangeDelta = { baseIndex, modifiedIndex, version, change };
  memory.changes.set(key, delta);
  return delta;
}

function remember({ texts, changes }: DocumentMemory, index: number, text: string): void {
  if (texts.has(index)) return;
  texts.set(index, text);
  const [oldest] = texts.keys();
  if (texts.size <= KEPT_DOCUMENTS || oldest === undefined) return;
  texts.delete(oldest);
  for (const key of changes.keys()) if (key.startsWith(`${oldest}-`)) changes.delete(key);
}

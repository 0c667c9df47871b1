import {
  applyCommand,
  createDocumentCache,
  createRecordsPush,
  type DocumentCache,
  type ControlState,
  createControlState,
  documentOf,
  packDocument,
  unpackDocument,
} from '@bramleykeel/core';
import { beforeEach, describe, expect, it } from 'vitest';
import { applyPush, createRecordCopy, documentIndexOf } from './record-copy.js';

const textOf = (version: number) =>
  JSON.stringify({ version, routes: Array.from({ length: 200 }, (_, index) => ({ index })) });

describe('pushes of settings documents', () => {
  let control: ControlState;
  let memory: DocumentCache;
  let index: number;
  const copy = createRecordCopy();

  function put(version: number): void {
    index += 1;
    const document = { version, body: packDocument(textOf(version)) };
    applyCommand(control, index, { kind: 'document/put', document });
  }

  /** What an entry with the copy is sent now. */
  const push = () => {
    const known = { knownIndex: copy.knownIndex, documentIndex: documentIndexOf(copy) };
    return createRecordsPush(memory, control, known);
  };
  const textHeld = () => unpackDocument(documentOf(copy)?.body ?? new Uint8Array());

  beforeEach(() => {
    control = createControlState();
    index = 0;
    copy.records.clear();
    copy.knownIndex = 0;
    put(1);
    memory = createDocumentCache(control);
    applyPush(copy, push());
  });

  it('are whole at first, and say what has changed afterwards', () => {
    expect(textHeld()).toBe(textOf(1));
    put(2);
    const sent = push();
    expect(sent.deltas).toEqual([]);
    expect(JSON.stringify(sent).length).toBeLessThan(300);
    expect(applyPush(copy, sent)).toHaveLength(1);
    expect(textHeld()).toBe(textOf(2));
    expect(copy.knownIndex).toBe(2);
  });

  it('are made up for when one was lost: an entry takes no change of a document it has not', () => {
    put(2);
    push();
    put(3);
    const afterLost = createRecordsPush(memory, control, { knownIndex: 2, documentIndex: 2 });
    expect(applyPush(copy, afterLost)).toEqual([]);
    expect(copy.knownIndex).toBe(1);
    expect(textHeld()).toBe(textOf(1));
    applyPush(copy, push());
    expect(textHeld()).toBe(textOf(3));
    expect(copy.knownIndex).toBe(3);
  });

  it('are whole for an entry whose document is not remembered, as under a new leader', () => {
    put(2);
    memory = createDocumentCache(control);
    const sent = push();
    expect(sent.documentChange).toBeUndefined();
    applyPush(copy, sent);
    expect(textHeld()).toBe(textOf(2));
  });

  it('serve entries that lag by different documents, and remember a bounded number', () => {
    for (let version = 2; version <= 40; version += 1) {
      put(version);
      push();
    }
    expect(memory.texts.size).toBeLessThanOrEqual(12);
    applyPush(copy, push());
    expect(textHeld()).toBe(textOf(40));
  });
});

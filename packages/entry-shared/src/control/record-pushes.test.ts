import {
  applyCommand,
  createDocumentCache,
  createRecordsPush,
  type DocumentCache,
  type ControlState,
  createControlState,
  documentOf,
  packDocument,
  evacuatedZones,
  evacuationIndexOf,
  unpackDocument,
} from '@bramleykeel/core';
import { beforeEach, describe, expect, it } from 'vitest';
import { applyPush, createRecordCopy, documentIndexOf } from './record-copy.js';

const textOf = (version: number) =>
  JSON.stringify({ version, routes: Array.from({ length: 200 }, (_, index) => ({ index })) });

describe('settings document pushes', () => {
  let control: ControlState;
  let documentCache: DocumentCache;
  let index: number;
  const copy = createRecordCopy();

  function put(version: number): void {
    index += 1;
    const document = { version, body: packDocument(textOf(version)) };
    applyCommand(control, index, { kind: 'document/put', document });
  }

  /** Creates the push that control sends to an entry with this copy. */
  const push = () => {
    const renewalState = { knownIndex: copy.knownIndex, documentIndex: documentIndexOf(copy) };
    return createRecordsPush(documentCache, control, renewalState);
  };
  const copiedText = () => unpackDocument(documentOf(copy)?.body ?? new Uint8Array());

  beforeEach(() => {
    control = createControlState();
    index = 0;
    copy.records.clear();
    copy.knownIndex = 0;
    put(1);
    documentCache = createDocumentCache(control);
    applyPush(copy, push());
  });

  it('carry the full document first and only changes afterwards', () => {
    expect(copiedText()).toBe(textOf(1));
    put(2);
    const sent = push();
    expect(sent.deltas).toEqual([]);
    expect(JSON.stringify(sent).length).toBeLessThan(300);
    expect(applyPush(copy, sent)).toHaveLength(1);
    expect(copiedText()).toBe(textOf(2));
    expect(copy.knownIndex).toBe(2);
  });

  it('are not applied when the copy lacks the base document, and the next push recovers a lost one', () => {
    put(2);
    push();
    put(3);
    const afterLost = createRecordsPush(documentCache, control, {
      knownIndex: 2,
      documentIndex: 2,
    });
    expect(applyPush(copy, afterLost)).toEqual([]);
    expect(copy.knownIndex).toBe(1);
    expect(copiedText()).toBe(textOf(1));
    applyPush(copy, push());
    expect(copiedText()).toBe(textOf(3));
    expect(copy.knownIndex).toBe(3);
  });

  it('carry the full document when the leader, for example a new one, no longer caches the base', () => {
    put(2);
    documentCache = createDocumentCache(control);
    const sent = push();
    expect(sent.documentChange).toBeUndefined();
    applyPush(copy, sent);
    expect(copiedText()).toBe(textOf(2));
  });

  it('bring a lagging entry up to date while the leader caches a bounded number of documents', () => {
    for (let version = 2; version <= 40; version += 1) {
      put(version);
      push();
    }
    expect(documentCache.texts.size).toBeLessThanOrEqual(12);
    applyPush(copy, push());
    expect(copiedText()).toBe(textOf(40));
  });
});

describe('evacuations', () => {
  const control = createControlState();
  const cache = createDocumentCache(control);

  function change(zone: string, isOrdered: boolean): void {
    const expectedIndex = evacuationIndexOf(control, zone);
    const index = control.appliedIndex + 1;
    applyCommand(
      control,
      index,
      isOrdered
        ? { kind: 'evacuation/order', zone, expectedIndex, wallClockMs: 1_000 }
        : { kind: 'evacuation/withdraw', zone, expectedIndex },
    );
  }

  const pushTo = ({ knownIndex }: { knownIndex: number }) =>
    createRecordsPush(cache, control, { knownIndex, documentIndex: undefined });

  it('reach an entry with its first copy, with pushes and with the reply after a lost link', () => {
    change('zone-a', true);
    change('zone-b', true);
    change('zone-b', false);
    const copy = createRecordCopy();
    applyPush(copy, pushTo({ knownIndex: 0 }));
    expect([...evacuatedZones(copy)]).toEqual(['zone-a']);
    change('zone-c', true);
    applyPush(copy, pushTo(copy));
    expect([...evacuatedZones(copy)]).toEqual(['zone-a', 'zone-c']);
    // Pushes that are sent while the link is down are lost; the next reply starts at what the entry has.
    change('zone-a', false);
    const lost = pushTo(copy);
    change('zone-b', true);
    applyPush(copy, pushTo(copy));
    expect([...evacuatedZones(copy)]).toEqual(['zone-b', 'zone-c']);
    applyPush(copy, lost);
    expect([...evacuatedZones(copy)]).toEqual(['zone-b', 'zone-c']);
    expect(copy.knownIndex).toBe(control.appliedIndex);
  });
});

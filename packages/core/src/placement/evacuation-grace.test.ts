import { describe, expect, it } from 'vitest';
import { isEvacuationGraceOver, recordEvacuations } from './evacuation-grace.js';

const bounds = { evacuationMs: 5_000 };

describe('the grace of open transactions in an evacuated zone', () => {
  it.each([
    { name: 'runs from when the order was learnt of', afterMs: 2_999, isOver: false },
    { name: 'is over after 3 s', afterMs: 3_000, isOver: true },
  ])('$name', ({ afterMs, isOver }) => {
    const learntAtMs = new Map<string, number>();
    recordEvacuations(learntAtMs, new Set(['a1']), 100);
    recordEvacuations(learntAtMs, new Set(['a1', 'a2']), 2_000);
    expect(isEvacuationGraceOver(learntAtMs, 'a1', 100 + afterMs, bounds)).toBe(isOver);
    expect(isEvacuationGraceOver(learntAtMs, 'b1', 100 + afterMs, bounds)).toBe(false);
  });

  // Guards against transactions that are aborted at once by the second of two orders.
  it('starts again when a zone is evacuated again', () => {
    const learntAtMs = new Map<string, number>();
    recordEvacuations(learntAtMs, new Set(['a1']), 0);
    recordEvacuations(learntAtMs, new Set(), 1_000);
    recordEvacuations(learntAtMs, new Set(['a1']), 2_000);
    expect(isEvacuationGraceOver(learntAtMs, 'a1', 4_000, bounds)).toBe(false);
    expect(isEvacuationGraceOver(learntAtMs, 'a1', 5_000, bounds)).toBe(true);
  });
});

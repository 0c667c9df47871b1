import { describe, expect, it } from 'vitest';
import { toServerName } from '../types/ids.js';
import { acceptsWrites } from './failover.js';
import { createTestGroup, promise, type TestGroup } from './test-group.test-support.js';

describe('a primary in an evacuated zone', () => {
  /** Servers s1 and s2 in zone a, s3 in zone b; zone a is evacuated. */
  function createEvacuated(): TestGroup {
    const testGroup = createTestGroup();
    for (const server of ['s1', 's2']) testGroup.announce(server, { zone: 'a' });
    testGroup.announce('s3', { zone: 'b' });
    testGroup.evacuatedZones = new Set(['a']);
    return testGroup;
  }

  function startPlannedChange(testGroup: TestGroup): void {
    testGroup.step({ kind: 'tick' });
    expect(testGroup.step({ kind: 'tick' })).toEqual(['propose 2']);
    testGroup.record = { ...testGroup.record, proposedTerm: 2 };
    testGroup.step({ kind: 'proposed', term: 2, isAccepted: true });
  }

  it('is drained, and replaced once a replica outside has caught up and no write is running', () => {
    const testGroup = createEvacuated();
    testGroup.announce('s1', { zone: 'a', position: { term: 1, offset: 12 } });
    testGroup.announce('s2', { zone: 'a', position: { term: 1, offset: 12 } });
    testGroup.step({ kind: 'tick' });
    expect(testGroup.state.phase.kind).toBe('draining');
    expect(testGroup.step({ kind: 'tick' })).toEqual([]);
    testGroup.announce('s3', { zone: 'b', position: { term: 1, offset: 12 } });
    testGroup.runningWrites = 1;
    expect(testGroup.step({ kind: 'tick' })).toEqual([]);
    testGroup.runningWrites = 0;
    expect(testGroup.step({ kind: 'tick' })).toEqual(['propose 2']);
  });

  /** Drains a primary until 3 s have passed, and returns the effects. */
  function drain(testGroup: TestGroup, runningStatements: number): string[] {
    Object.assign(testGroup, { runningWrites: 1, runningStatements });
    testGroup.step({ kind: 'tick' });
    testGroup.nowMs = 2_999;
    testGroup.announce('s3', { zone: 'b' });
    expect(testGroup.step({ kind: 'tick' })).toEqual([]);
    testGroup.nowMs = 3_000;
    return testGroup.step({ kind: 'tick' });
  }

  it('is replaced after 3 s if only idle transactions are left', () => {
    expect(drain(createEvacuated(), 0)).toEqual(['propose 2']);
  });

  // Guards against writes of unknown outcome: they were cut off after 3 s.
  it('finishes statements for up to 4.5 s, and those that run for longer are cancelled before', () => {
    const testGroup = createEvacuated();
    expect(drain(testGroup, 1)).toEqual([]);
    testGroup.nowMs = 4_000;
    expect(testGroup.step({ kind: 'tick' })).toEqual(['cancel s1 1']);
    testGroup.nowMs = 4_499;
    expect(testGroup.step({ kind: 'tick' })).toEqual([]);
    testGroup.nowMs = 4_500;
    expect(testGroup.step({ kind: 'tick' })).toEqual(['propose 2']);
  });

  it('is replaced as soon as its last statement has ended', () => {
    const testGroup = createEvacuated();
    expect(drain(testGroup, 1)).toEqual([]);
    testGroup.nowMs = 3_200;
    testGroup.runningStatements = 0;
    expect(testGroup.step({ kind: 'tick' })).toEqual(['propose 2']);
  });

  it.each(['leaves', 'fails'])('is replaced after 3 s with statements if it %s', (end) => {
    const testGroup = createEvacuated();
    if (end === 'leaves') testGroup.announce('s1', { zone: 'a', isLeaving: true });
    testGroup.step({ kind: 'tick' });
    if (end === 'fails') Object.assign(testGroup.state, { refusedCount: 2, failingSinceMs: 0 });
    expect(drain(testGroup, 1)).toEqual(['propose 2']);
  });

  it('is followed by a server outside, also if a quorum inside has promised first', () => {
    const testGroup = createEvacuated();
    startPlannedChange(testGroup);
    expect([...promise(testGroup, 's1', 2, 10), ...promise(testGroup, 's2', 2, 10)]).toEqual([]);
    expect(promise(testGroup, 's3', 2, 10)).toEqual(['commit s3 2']);
  });

  // Guards against lost commits: a zone is evacuated, but the only complete log is in it.
  it('is followed by the server with the longest log, also inside, and replaced again later', () => {
    const testGroup = createEvacuated();
    startPlannedChange(testGroup);
    promise(testGroup, 's2', 2, 11);
    expect(promise(testGroup, 's3', 2, 10)).toEqual(['commit s2 2']);
    testGroup.step({ kind: 'committed', term: 2, isAccepted: true });
    const s2 = toServerName('s2');
    testGroup.record = { ...testGroup.record, primary: s2, term: 2, proposedTerm: 2 };
    testGroup.announce('s2', { zone: 'a', role: 'primary', term: 2 });
    testGroup.step({ kind: 'tick' });
    testGroup.announce('s3', { zone: 'b', term: 2 });
    testGroup.step({ kind: 'tick' });
    expect(testGroup.state.phase.kind).toBe('draining');
  });

  it('does not wait longer than 600 ms for a server outside that does not promise', () => {
    const testGroup = createEvacuated();
    startPlannedChange(testGroup);
    promise(testGroup, 's1', 2, 10);
    promise(testGroup, 's2', 2, 10);
    testGroup.nowMs = 599;
    expect(testGroup.step({ kind: 'tick' }).join()).not.toContain('commit');
    testGroup.nowMs = 600;
    expect(testGroup.step({ kind: 'tick' })).toEqual(['commit s1 2']);
  });

  it('keeps its role if the order is withdrawn before the fence', () => {
    const testGroup = createEvacuated();
    testGroup.runningWrites = 1;
    testGroup.step({ kind: 'tick' });
    expect(acceptsWrites(testGroup.state, testGroup.record)).toBe(false);
    testGroup.evacuatedZones = new Set();
    expect(testGroup.step({ kind: 'tick' })).toEqual([]);
    expect(acceptsWrites(testGroup.state, testGroup.record)).toBe(true);
  });

  it.each<{ name: string; change: (testGroup: TestGroup) => void }>([
    {
      name: 'all servers are in evacuated zones',
      change: (testGroup) => (testGroup.evacuatedZones = new Set(['a', 'b'])),
    },
    {
      name: 'the server outside is leaving',
      change: (testGroup) => {
        testGroup.announce('s3', { zone: 'b', isLeaving: true });
      },
    },
    {
      name: 'the server outside has stopped announcing itself',
      change: (testGroup) => {
        testGroup.nowMs = 3_001;
      },
    },
  ])('keeps its role while $name', ({ change }) => {
    const testGroup = createEvacuated();
    change(testGroup);
    expect(testGroup.step({ kind: 'tick' })).toEqual([]);
    expect(testGroup.state.phase.kind).toBe('steady');
  });

  it('that is leaving is replaced by a server inside if there is none outside', () => {
    const testGroup = createEvacuated();
    testGroup.evacuatedZones = new Set(['a', 'b']);
    testGroup.announce('s1', { zone: 'a', isLeaving: true });
    testGroup.step({ kind: 'tick' });
    expect(testGroup.step({ kind: 'tick' })).toEqual(['propose 2']);
  });
});

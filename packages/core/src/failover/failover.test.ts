import { describe, expect, it } from 'vitest';
import { toServerName, toIncarnation } from '../types/ids.js';
import { acceptsWrites } from './failover.js';
import {
  createTestGroup,
  probeRefusedTwice,
  promise,
  type TestGroup,
} from './test-group.test-support.js';

function startFencing(testGroup: TestGroup, term = 2): string[] {
  probeRefusedTwice(testGroup);
  testGroup.record = { ...testGroup.record, proposedTerm: term };
  return testGroup.step({ kind: 'proposed', term, isAccepted: true });
}

describe('failure detection', () => {
  it('proposes the next term after two refused connections', () => {
    expect(probeRefusedTwice(createTestGroup())).toEqual(['propose 2']);
  });

  it('resets the count of refused connections when a probe is answered', () => {
    const testGroup = createTestGroup();
    testGroup.step({ kind: 'probed', result: 'refused' });
    testGroup.step({ kind: 'probed', result: 'answered' });
    expect(testGroup.step({ kind: 'probed', result: 'refused' })).toEqual([]);
  });

  it('replaces a silent primary after suspectAfterMs and not before', () => {
    const testGroup = createTestGroup();
    testGroup.step({ kind: 'probed', result: 'silent' });
    testGroup.nowMs = 999;
    expect(testGroup.step({ kind: 'probed', result: 'silent' })).toEqual([]);
    testGroup.nowMs = 1_000;
    expect(testGroup.step({ kind: 'probed', result: 'silent' })).toEqual(['propose 2']);
  });

  it('replaces a primary that came back as a replica', () => {
    const testGroup = createTestGroup();
    testGroup.announce('s1', { role: 'replica', incarnation: toIncarnation('i2') });
    expect(testGroup.step({ kind: 'tick' })).toEqual(['propose 2']);
  });
});

describe('fence and promotion', () => {
  it('stops writes once a term is proposed', () => {
    const testGroup = createTestGroup();
    expect(acceptsWrites(testGroup.state, testGroup.record)).toBe(true);
    probeRefusedTwice(testGroup);
    expect(acceptsWrites(testGroup.state, testGroup.record)).toBe(false);
  });

  it('fences every server and promotes the one with the longest log of a quorum', () => {
    const testGroup = createTestGroup();
    expect(startFencing(testGroup)).toEqual(['fence s1 2', 'fence s2 2', 'fence s3 2']);
    expect(promise(testGroup, 's2', 2, 10)).toEqual([]);
    expect(promise(testGroup, 's3', 2, 12)).toEqual(['commit s3 2']);
    expect(testGroup.step({ kind: 'committed', term: 2, isAccepted: true })).toEqual([
      'promote s3 2',
    ]);
  });

  it('compares the terms of logs before their lengths', () => {
    const testGroup = createTestGroup();
    startFencing(testGroup);
    promise(testGroup, 's2', 2, 99, 0);
    expect(promise(testGroup, 's3', 2, 1, 1)).toEqual(['commit s3 2']);
  });

  it('waits for a quorum of promises and resends the fence commands', () => {
    const testGroup = createTestGroup();
    startFencing(testGroup);
    promise(testGroup, 's2', 2, 10);
    testGroup.nowMs = 300;
    expect(testGroup.step({ kind: 'tick' })).toEqual(['fence s1 2', 'fence s3 2']);
    expect(testGroup.state.phase.kind).toBe('fencing');
  });

  it('counts repeated promises of a server once and ignores servers outside the group', () => {
    const testGroup = createTestGroup();
    startFencing(testGroup);
    promise(testGroup, 's2', 2, 10);
    expect(promise(testGroup, 's2', 2, 10)).toEqual([]);
    expect(promise(testGroup, 'x', 2, 10)).toEqual([]);
  });

  // Guards against lost commits: the quorum that acknowledged one included the server that has lost its log since.
  it('does not count a server that has lost its log in a restart, until it has caught up', () => {
    const testGroup = createTestGroup();
    const i2 = { incarnation: toIncarnation('i2') };
    testGroup.announce('s2', { ...i2, position: { term: 0, offset: 0 } });
    startFencing(testGroup);
    promise(testGroup, 's3', 2, 4);
    expect(promise(testGroup, 's2', 2, 0, 0)).toEqual([]);
    expect(promise(testGroup, 's2', 2, 10)).toEqual(['commit s2 2']);
    const other = createTestGroup();
    other.announce('s2', { ...i2, position: { term: 0, offset: 0 } });
    other.announce('s2', { ...i2, position: { term: 1, offset: 10 } });
    startFencing(other);
    promise(other, 's3', 2, 4);
    expect(promise(other, 's2', 2, 9)).toEqual(['commit s2 2']);
  });

  it('counts a server that has kept its log in a restart', () => {
    const testGroup = createTestGroup();
    testGroup.announce('s2', { incarnation: toIncarnation('i2') });
    startFencing(testGroup);
    promise(testGroup, 's3', 2, 4);
    expect(promise(testGroup, 's2', 2, 10)).toEqual(['commit s2 2']);
  });

  it('proposes a term above a newer one that a server has promised elsewhere', () => {
    const testGroup = createTestGroup();
    startFencing(testGroup);
    expect(promise(testGroup, 's2', 7, 10)).toEqual(['propose 8']);
  });

  it('proposes a higher term when the promoted server fails as well', () => {
    const testGroup = createTestGroup();
    startFencing(testGroup);
    promise(testGroup, 's2', 2, 11);
    promise(testGroup, 's3', 2, 10);
    testGroup.step({ kind: 'committed', term: 2, isAccepted: true });
    testGroup.record = {
      ...testGroup.record,
      primary: toServerName('s2'),
      term: 2,
      proposedTerm: 2,
    };
    testGroup.nowMs = 2_000;
    expect(testGroup.step({ kind: 'tick' })).toEqual(['propose 3']);
  });

  it('restarts a change that an earlier owner left unfinished', () => {
    const testGroup = createTestGroup({ proposedTerm: 4 });
    expect(acceptsWrites(testGroup.state, testGroup.record)).toBe(false);
    expect(testGroup.step({ kind: 'tick' })).toEqual(['propose 5']);
  });

  it('ignores the answer to an older proposal', () => {
    const testGroup = createTestGroup();
    probeRefusedTwice(testGroup);
    expect(testGroup.step({ kind: 'proposed', term: 1, isAccepted: true })).toEqual([]);
  });

  it('sends `follow` to servers of an older term, including a former primary that returns', () => {
    const testGroup = createTestGroup({ primary: toServerName('s2'), term: 2, proposedTerm: 2 });
    testGroup.announce('s2', { role: 'primary', term: 2 });
    testGroup.announce('s3', { term: 2 });
    expect(testGroup.step({ kind: 'tick' })).toEqual(['follow s1 2']);
    expect(testGroup.step({ kind: 'tick' })).toEqual([]);
  });
});

describe('a leaving primary', () => {
  it('is drained, and replaced once a replica has caught up and no write is running', () => {
    const testGroup = createTestGroup();
    testGroup.announce('s1', { isLeaving: true, position: { term: 1, offset: 12 } });
    testGroup.runningWrites = 1;
    expect(testGroup.step({ kind: 'tick' })).toEqual([]);
    expect(acceptsWrites(testGroup.state, testGroup.record)).toBe(false);
    testGroup.announce('s2', { position: { term: 1, offset: 12 } });
    expect(testGroup.step({ kind: 'tick' })).toEqual([]);
    testGroup.runningWrites = 0;
    expect(testGroup.step({ kind: 'tick' })).toEqual(['propose 2']);
  });

  it('is not chosen again if another server has an equally long log', () => {
    const testGroup = createTestGroup();
    testGroup.announce('s1', { isLeaving: true });
    testGroup.step({ kind: 'tick' });
    testGroup.step({ kind: 'tick' });
    testGroup.record = { ...testGroup.record, proposedTerm: 2 };
    testGroup.step({ kind: 'proposed', term: 2, isAccepted: true });
    promise(testGroup, 's1', 2, 10);
    expect(promise(testGroup, 's2', 2, 10)).toEqual(['commit s2 2']);
  });
});

describe('a new group', () => {
  it('adopts the primary of the highest term', () => {
    const testGroup = createTestGroup({ primary: undefined, term: 0, proposedTerm: 0 });
    testGroup.announce('s3', { role: 'primary', term: 3 });
    expect(testGroup.step({ kind: 'tick' })).toEqual(['commit s3 3']);
  });

  it('chooses a primary after the timeout if no server announces itself as one', () => {
    const testGroup = createTestGroup({ primary: undefined, term: 0, proposedTerm: 0 });
    testGroup.announce('s1', { role: 'replica' });
    expect(testGroup.step({ kind: 'tick' })).toEqual([]);
    testGroup.nowMs = 3_000;
    expect(testGroup.step({ kind: 'tick' })).toEqual(['propose 1']);
  });
});

import { describe, expect, it } from 'vitest';
import type { GroupRecord } from '../control-state/types.js';
import { createGroupView, recordAnnouncement } from '../route/server-view.js';
import { toGroupName, toIncarnation, toServerName } from '../types/ids.js';
import type { Announcement } from '../types/target.js';
import { acceptsWrites, createFailoverState, stepFailover } from './failover.js';
import type { FailoverContext, FailoverEvent, FailoverState } from './types.js';

const GROUP = toGroupName('g');
const TIMING = {
  suspectAfterMs: 1_000,
  resendMs: 300,
  promoteTimeoutMs: 2_000,
  drainTimeoutMs: 3_000,
  evacuationDrainMs: 4_500,
  cancelLeadMs: 500,
  staleAnnouncementMs: 3_000,
};

/** Failover state of a group with three servers in term 1. */
interface TestGroup {
  record: GroupRecord;
  readonly state: FailoverState;
  readonly context: () => FailoverContext;
  nowMs: number;
  runningWrites: number;
  runningStatements: number;
  evacuatedZones: ReadonlySet<string>;
  sequence: number;
  readonly announce: (server: string, fields?: Partial<Announcement>) => void;
  readonly step: (event: FailoverEvent) => string[];
}

function createTestGroup(record: Partial<GroupRecord> = {}): TestGroup {
  const view = createGroupView();
  const servers = ['s1', 's2', 's3'].map(toServerName);
  const full: GroupRecord = {
    group: GROUP,
    servers,
    primary: toServerName('s1'),
    term: 1,
    proposedTerm: 1,
    ...record,
  };
  const testGroup: TestGroup = {
    record: full,
    state: createFailoverState(full, 0),
    nowMs: 0,
    runningWrites: 0,
    runningStatements: 0,
    evacuatedZones: new Set(),
    sequence: 0,
    context: () => ({
      record: testGroup.record,
      view,
      timing: TIMING,
      runningWrites: testGroup.runningWrites,
      runningStatements: testGroup.runningStatements,
      evacuatedZones: testGroup.evacuatedZones,
      nowMs: testGroup.nowMs,
    }),
    announce: (server, fields = {}) => {
      testGroup.sequence += 1;
      const announcement: Announcement = {
        group: GROUP,
        server: toServerName(server),
        incarnation: toIncarnation('i1'),
        sequence: testGroup.sequence,
        address: '127.0.0.1:1',
        commandUrl: 'http://127.0.0.1:1',
        zone: 'z',
        role: server === 's1' ? 'primary' : 'replica',
        term: 1,
        position: { term: 1, offset: 10 },
        slots: 2,
        connections: 10,
        isLeaving: false,
        ...fields,
      };
      recordAnnouncement(view, announcement, testGroup.nowMs);
    },
    step: (event) =>
      stepFailover(testGroup.state, event, testGroup.context()).map((effect) => {
        const server = 'server' in effect ? ` ${effect.server}` : '';
        return `${effect.kind}${server} ${effect.term}`;
      }),
  };
  for (const server of ['s1', 's2', 's3']) testGroup.announce(server);
  return testGroup;
}

function probeRefusedTwice(testGroup: TestGroup): string[] {
  return [1, 2].flatMap(() => testGroup.step({ kind: 'probed', result: 'refused' }));
}

function promise(
  testGroup: TestGroup,
  server: string,
  term: number,
  offset: number,
  logTerm = 1,
): string[] {
  return testGroup.step({
    kind: 'promised',
    promise: {
      server: toServerName(server),
      promisedTerm: term,
      position: { term: logTerm, offset },
    },
  });
}

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

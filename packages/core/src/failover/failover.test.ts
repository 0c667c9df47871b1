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
};

/** A group of three servers in term 1 whose owner is under test. */
interface Scene {
  record: GroupRecord;
  readonly state: FailoverState;
  readonly context: () => FailoverContext;
  nowMs: number;
  runningWrites: number;
  sequence: number;
  readonly announce: (server: string, fields?: Partial<Announcement>) => void;
  readonly step: (event: FailoverEvent) => string[];
}

function createScene(record: Partial<GroupRecord> = {}): Scene {
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
  const scene: Scene = {
    record: full,
    state: createFailoverState(full, 0),
    nowMs: 0,
    runningWrites: 0,
    sequence: 0,
    context: () => ({
      record: scene.record,
      view,
      timing: TIMING,
      runningWrites: scene.runningWrites,
      nowMs: scene.nowMs,
    }),
    announce: (server, fields = {}) => {
      scene.sequence += 1;
      const announcement: Announcement = {
        group: GROUP,
        server: toServerName(server),
        incarnation: toIncarnation('i1'),
        sequence: scene.sequence,
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
      recordAnnouncement(view, announcement, scene.nowMs);
    },
    step: (event) =>
      stepFailover(scene.state, event, scene.context()).map((effect) => {
        const server = 'server' in effect ? ` ${effect.server}` : '';
        return `${effect.kind}${server} ${effect.term}`;
      }),
  };
  for (const server of ['s1', 's2', 's3']) scene.announce(server);
  return scene;
}

function refused(scene: Scene): string[] {
  return [1, 2].flatMap(() => scene.step({ kind: 'probed', result: 'refused' }));
}

function promise(
  scene: Scene,
  server: string,
  term: number,
  offset: number,
  logTerm = 1,
): string[] {
  return scene.step({
    kind: 'promised',
    promise: {
      server: toServerName(server),
      promisedTerm: term,
      position: { term: logTerm, offset },
    },
  });
}

function startFencing(scene: Scene, term = 2): string[] {
  refused(scene);
  scene.record = { ...scene.record, proposedTerm: term };
  return scene.step({ kind: 'proposed', term, isAccepted: true });
}

describe('suspicion', () => {
  it('proposes the next term after two refused connections', () => {
    expect(refused(createScene())).toEqual(['propose 2']);
  });

  it('takes one refused connection back when the next is answered', () => {
    const scene = createScene();
    scene.step({ kind: 'probed', result: 'refused' });
    scene.step({ kind: 'probed', result: 'answered' });
    expect(scene.step({ kind: 'probed', result: 'refused' })).toEqual([]);
  });

  it('gives up a silent primary after the suspicion time and not before', () => {
    const scene = createScene();
    scene.step({ kind: 'probed', result: 'silent' });
    scene.nowMs = 999;
    expect(scene.step({ kind: 'probed', result: 'silent' })).toEqual([]);
    scene.nowMs = 1_000;
    expect(scene.step({ kind: 'probed', result: 'silent' })).toEqual(['propose 2']);
  });

  it('replaces a primary that came back as a replica', () => {
    const scene = createScene();
    scene.announce('s1', { role: 'replica', incarnation: toIncarnation('i2') });
    expect(scene.step({ kind: 'tick' })).toEqual(['propose 2']);
  });
});

describe('fence and promotion', () => {
  it('stops writes from the proposal on', () => {
    const scene = createScene();
    expect(acceptsWrites(scene.state, scene.record)).toBe(true);
    refused(scene);
    expect(acceptsWrites(scene.state, scene.record)).toBe(false);
  });

  it('fences every server and promotes the longest log of a quorum', () => {
    const scene = createScene();
    expect(startFencing(scene)).toEqual(['fence s1 2', 'fence s2 2', 'fence s3 2']);
    expect(promise(scene, 's2', 2, 10)).toEqual([]);
    expect(promise(scene, 's3', 2, 12)).toEqual(['commit s3 2']);
    expect(scene.step({ kind: 'committed', term: 2, isAccepted: true })).toEqual(['promote s3 2']);
  });

  it('compares the terms of logs before their lengths', () => {
    const scene = createScene();
    startFencing(scene);
    promise(scene, 's2', 2, 99, 0);
    expect(promise(scene, 's3', 2, 1, 1)).toEqual(['commit s3 2']);
  });

  it('waits with fewer promises than a quorum and asks again', () => {
    const scene = createScene();
    startFencing(scene);
    promise(scene, 's2', 2, 10);
    scene.nowMs = 300;
    expect(scene.step({ kind: 'tick' })).toEqual(['fence s1 2', 'fence s3 2']);
    expect(scene.state.phase.kind).toBe('fencing');
  });

  it('counts a server that promises twice once, and one that is no member never', () => {
    const scene = createScene();
    startFencing(scene);
    promise(scene, 's2', 2, 10);
    expect(promise(scene, 's2', 2, 10)).toEqual([]);
    expect(promise(scene, 'x', 2, 10)).toEqual([]);
  });

  it('goes above a newer term that a server has promised to somebody else', () => {
    const scene = createScene();
    startFencing(scene);
    expect(promise(scene, 's2', 7, 10)).toEqual(['propose 8']);
  });

  it('starts again with a higher term when the promoted server is lost as well', () => {
    const scene = createScene();
    startFencing(scene);
    promise(scene, 's2', 2, 11);
    promise(scene, 's3', 2, 10);
    scene.step({ kind: 'committed', term: 2, isAccepted: true });
    scene.record = { ...scene.record, primary: toServerName('s2'), term: 2, proposedTerm: 2 };
    scene.nowMs = 2_000;
    expect(scene.step({ kind: 'tick' })).toEqual(['propose 3']);
  });

  it('runs a change anew that an earlier owner left half-way', () => {
    const scene = createScene({ proposedTerm: 4 });
    expect(acceptsWrites(scene.state, scene.record)).toBe(false);
    expect(scene.step({ kind: 'tick' })).toEqual(['propose 5']);
  });

  it('does nothing with the answer to an older proposal', () => {
    const scene = createScene();
    refused(scene);
    expect(scene.step({ kind: 'proposed', term: 1, isAccepted: true })).toEqual([]);
  });

  it('tells servers of an older term to follow, and the old primary when it returns', () => {
    const scene = createScene({ primary: toServerName('s2'), term: 2, proposedTerm: 2 });
    scene.announce('s2', { role: 'primary', term: 2 });
    scene.announce('s3', { term: 2 });
    expect(scene.step({ kind: 'tick' })).toEqual(['follow s1 2']);
    expect(scene.step({ kind: 'tick' })).toEqual([]);
  });
});

describe('a leaving primary', () => {
  it('is drained, and replaced once a replica has all of it and no write runs', () => {
    const scene = createScene();
    scene.announce('s1', { isLeaving: true, position: { term: 1, offset: 12 } });
    scene.runningWrites = 1;
    expect(scene.step({ kind: 'tick' })).toEqual([]);
    expect(acceptsWrites(scene.state, scene.record)).toBe(false);
    scene.announce('s2', { position: { term: 1, offset: 12 } });
    expect(scene.step({ kind: 'tick' })).toEqual([]);
    scene.runningWrites = 0;
    expect(scene.step({ kind: 'tick' })).toEqual(['propose 2']);
  });

  it('is not chosen again among logs of the same length', () => {
    const scene = createScene();
    scene.announce('s1', { isLeaving: true });
    scene.step({ kind: 'tick' });
    scene.step({ kind: 'tick' });
    scene.record = { ...scene.record, proposedTerm: 2 };
    scene.step({ kind: 'proposed', term: 2, isAccepted: true });
    promise(scene, 's1', 2, 10);
    expect(promise(scene, 's2', 2, 10)).toEqual(['commit s2 2']);
  });
});

describe('a new group', () => {
  it('adopts the primary of the highest term', () => {
    const scene = createScene({ primary: undefined, term: 0, proposedTerm: 0 });
    scene.announce('s3', { role: 'primary', term: 3 });
    expect(scene.step({ kind: 'tick' })).toEqual(['commit s3 3']);
  });

  it('chooses one itself when none claims to be the primary for a while', () => {
    const scene = createScene({ primary: undefined, term: 0, proposedTerm: 0 });
    scene.announce('s1', { role: 'replica' });
    expect(scene.step({ kind: 'tick' })).toEqual([]);
    scene.nowMs = 3_000;
    expect(scene.step({ kind: 'tick' })).toEqual(['propose 1']);
  });
});

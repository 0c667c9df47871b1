import { describe, expect, it } from 'vitest';
import { toGroupName, toIncarnation, toServerName } from '../types/ids.js';
import type { Announcement } from '../types/target.js';
import { chooseServer, type RouteContext, type RouteRequest } from './choose-server.js';
import { createGroupView, recordAnnouncement, type GroupView } from './server-view.js';

function announce(server: string, fields: Partial<Announcement> = {}): Announcement {
  return {
    group: toGroupName('g'),
    server: toServerName(server),
    incarnation: toIncarnation('i1'),
    sequence: 1,
    address: '127.0.0.1:5432',
    commandUrl: 'http://127.0.0.1:1',
    zone: 'zone-a',
    role: server === 'p' ? 'primary' : 'replica',
    term: 2,
    position: { term: 2, offset: 100 },
    slots: 2,
    connections: 10,
    isLeaving: false,
    ...fields,
  };
}

function contextOf(view: GroupView, fields: Partial<RouteContext> = {}): RouteContext {
  return {
    view,
    primary: toServerName('p'),
    term: 2,
    nowMs: 1_000,
    staleAnnouncementMs: 3_000,
    replicaWaitMs: 20,
    isUsable: () => true,
    freeSlots: () => 2,
    ...fields,
  };
}

const READ: RouteRequest = {
  intent: 'read',
  mark: { term: 2, offset: 100 },
  readAgeAllowanceMs: null,
  waitedMs: 0,
};

describe('chooseServer', () => {
  interface Case {
    readonly name: string;
    readonly replica?: Partial<Announcement>;
    readonly request?: Partial<RouteRequest>;
    readonly context?: Partial<RouteContext>;
    readonly expected: string;
  }
  const CASES: readonly Case[] = [
    { name: 'sends a read to a replica that covers the mark', expected: 'r' },
    { name: 'sends a write to the primary', request: { intent: 'write' }, expected: 'p' },
    {
      name: 'waits for a replica that lags',
      replica: { position: { term: 2, offset: 99 } },
      expected: 'wait',
    },
    {
      name: 'goes to the primary after the wait',
      replica: { position: { term: 2, offset: 99 } },
      request: { waitedMs: 20 },
      expected: 'p',
    },
    {
      name: 'compares terms before offsets',
      replica: { position: { term: 1, offset: 9_999 } },
      request: { waitedMs: 20 },
      expected: 'p',
    },
    {
      name: 'skips a replica that follows an older term',
      replica: { term: 1, position: { term: 2, offset: 100 } },
      expected: 'p',
    },
    { name: 'skips a leaving replica', replica: { isLeaving: true }, expected: 'p' },
    {
      name: 'skips a replica whose last announcement is stale',
      context: { nowMs: 4_000 },
      expected: 'p',
    },
    {
      name: 'skips a replica that is staler than allowed',
      request: { readAgeAllowanceMs: 100, waitedMs: 20 },
      replica: { position: { term: 2, offset: 100 } },
      context: { nowMs: 2_000 },
      expected: 'p',
    },
    {
      name: 'chooses a replica within the allowed staleness',
      request: { readAgeAllowanceMs: 5_000 },
      context: { nowMs: 2_000 },
      expected: 'r',
    },
    {
      name: 'requires the mark even within the allowed staleness',
      replica: { position: { term: 2, offset: 99 } },
      request: { readAgeAllowanceMs: 5_000, waitedMs: 20 },
      expected: 'p',
    },
    {
      name: 'waits while the replica has no free slot',
      context: { freeSlots: (server) => (server === 'r' ? 0 : 2) },
      expected: 'wait',
    },
    {
      name: 'reports a missing primary for a write',
      request: { intent: 'write' },
      context: { primary: undefined },
      expected: 'no-primary',
    },
    {
      name: 'serves reads from replicas while there is no primary',
      context: { primary: undefined },
      expected: 'r',
    },
    {
      name: 'waits while the primary has no free slot',
      request: { intent: 'write' },
      context: { freeSlots: () => 0 },
      expected: 'wait',
    },
  ];
  it.each(CASES)('$name', ({ replica, request, context, expected }) => {
    const view = createGroupView();
    recordAnnouncement(view, announce('p'), 500);
    recordAnnouncement(view, announce('r', replica), 500);
    const route = chooseServer({ ...READ, ...request }, contextOf(view, context));
    expect(route.kind === 'run' ? route.server : route.kind).toBe(expected);
  });

  it('prefers the replica with more free slots', () => {
    const view = createGroupView();
    for (const server of ['p', 'r1', 'r2']) recordAnnouncement(view, announce(server), 500);
    const freeSlots = (server: string) => (server === 'r2' ? 2 : 1);
    expect(chooseServer(READ, contextOf(view, { freeSlots }))).toEqual({
      kind: 'run',
      server: 'r2',
    });
  });
});

describe('recordAnnouncement', () => {
  it('ignores an announcement that arrives out of order', () => {
    const view = createGroupView();
    recordAnnouncement(view, announce('r', { sequence: 5 }), 0);
    const late = announce('r', { sequence: 4, position: { term: 2, offset: 999 } });
    expect(recordAnnouncement(view, late, 1)).toBe(false);
    expect(view.servers.get(toServerName('r'))?.announcement.position.offset).toBe(100);
  });

  it('accepts a lower sequence from a new incarnation', () => {
    const view = createGroupView();
    recordAnnouncement(view, announce('r', { sequence: 5 }), 0);
    const restarted = announce('r', { sequence: 1, incarnation: toIncarnation('i2') });
    expect(recordAnnouncement(view, restarted, 1)).toBe(true);
  });

  it('takes the up-to-date time from the newest primary position that a replica covers', () => {
    const view = createGroupView();
    recordAnnouncement(
      view,
      announce('p', { sequence: 1, position: { term: 2, offset: 10 } }),
      100,
    );
    recordAnnouncement(
      view,
      announce('p', { sequence: 2, position: { term: 2, offset: 20 } }),
      200,
    );
    recordAnnouncement(view, announce('r', { position: { term: 2, offset: 15 } }), 300);
    expect(view.servers.get(toServerName('r'))?.upToDateAtMs).toBe(100);
  });
});

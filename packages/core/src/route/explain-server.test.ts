import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { toGroupName, toIncarnation, toServerName } from '../types/ids.js';
import {
  chooseServer,
  readExclusion,
  type RouteContext,
  type RouteRequest,
} from './choose-server.js';
import { explainServer } from './explain-server.js';
import { createGroupView, recordAnnouncement } from './server-view.js';

const NOW_MS = 2_000;

const serverArbitrary = fc.record({
  offset: fc.integer({ min: 90, max: 110 }),
  term: fc.constantFrom<number>(1, 2, 2, 2),
  isReplica: fc.constantFrom(true, true, true, false),
  isLeaving: fc.constantFrom(false, false, false, true),
  isUsable: fc.constantFrom(true, true, true, false),
  freeSlots: fc.integer({ min: 0, max: 3 }),
  heardAtMs: fc.integer({ min: 0, max: NOW_MS }),
});

const caseArbitrary = fc.record({
  servers: fc.array(serverArbitrary, { minLength: 1, maxLength: 5 }),
  primaryIndex: fc.integer({ min: -1, max: 4 }),
  intent: fc.constantFrom<RouteRequest['intent']>('read', 'read', 'write'),
  markOffset: fc.integer({ min: 90, max: 110 }),
  readAgeAllowanceMs: fc.option(fc.integer({ min: 0, max: NOW_MS })),
  waitedMs: fc.constantFrom(0, 50),
});

type Case = typeof caseArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

function createCase(each: Case): { request: RouteRequest; context: RouteContext } {
  const view = createGroupView();
  const nameOf = (index: number) => toServerName(`s${index}`);
  for (const [index, server] of each.servers.entries()) {
    const announcement = {
      group: toGroupName('g'),
      server: nameOf(index),
      incarnation: toIncarnation('i1'),
      sequence: 1,
      address: '127.0.0.1:1',
      commandUrl: 'http://127.0.0.1:1',
      zone: 'zone-a',
      role: server.isReplica ? ('replica' as const) : ('primary' as const),
      term: server.term,
      position: { term: 2, offset: server.offset },
      slots: 3,
      connections: 10,
      isLeaving: server.isLeaving,
    };
    recordAnnouncement(view, announcement, server.heardAtMs);
  }
  const indexOf = (server: string) => Number(server.slice(1));
  const primary = each.primaryIndex in each.servers ? nameOf(each.primaryIndex) : undefined;
  const context: RouteContext = {
    view,
    primary,
    term: 2,
    nowMs: NOW_MS,
    staleAnnouncementMs: 1_500,
    replicaWaitMs: 20,
    isUsable: (server) => each.servers[indexOf(server)]?.isUsable === true,
    freeSlots: (server) => each.servers[indexOf(server)]?.freeSlots ?? 0,
  };
  const { intent, markOffset, readAgeAllowanceMs, waitedMs } = each;
  const mark = { term: 2, offset: markOffset };
  return { request: { intent, mark, readAgeAllowanceMs, waitedMs }, context };
}

describe('explainServer', () => {
  // Guards against an explanation that differs from what the owner does.
  it('agrees with 1,000 choices and has a reason against each other server', () => {
    const routes = new Set<string>();
    fc.assert(
      fc.property(caseArbitrary, (each) => {
        const { request, context } = createCase(each);
        const chosen = chooseServer(request, context);
        routes.add(chosen.kind);
        const { route, servers } = explainServer(request, context);
        expect(route).toEqual(chosen);
        for (const { server, isChosen, reason } of servers) {
          expect(isChosen).toBe(chosen.kind === 'run' && chosen.server === server);
          expect(reason === undefined).toBe(isChosen);
        }
      }),
      { numRuns: 1_000, seed: 5 },
    );
    expect(routes).toEqual(new Set(['run', 'wait', 'no-primary']));
  });

  it('gives the exclusion that the choice uses, and the age of each fact', () => {
    const servers = [
      { offset: 100, heardAtMs: 1_990 },
      { offset: 99, heardAtMs: 1_980 },
    ].map((fields) => ({
      ...fields,
      term: 2,
      isReplica: true,
      isLeaving: false,
      isUsable: true,
      freeSlots: 1,
    }));
    const { request, context } = createCase({
      servers,
      primaryIndex: -1,
      intent: 'read',
      markOffset: 100,
      readAgeAllowanceMs: null,
      waitedMs: 0,
    });
    const [first, second] = explainServer(request, context).servers;
    expect(first).toMatchObject({ isChosen: true, reason: undefined, heardAgoMs: 10 });
    expect(second).toMatchObject({ isChosen: false, reason: 'behind-mark', heardAgoMs: 20 });
    const view = context.view.servers.get(toServerName('s1'));
    expect(view && readExclusion(view, request, context)).toBe('behind-mark');
  });
});

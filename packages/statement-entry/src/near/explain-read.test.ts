import {
  type GroupName,
  type HealthStage,
  type ServerName,
  toCustomerName,
  toGroupName,
} from '@bramleykeel/core';
import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { createServerState } from '../owner/owner-state.js';
import { SILENT_COUNTERS } from '../owner/snapshot-owner.js';
import type { StatementQuestion } from '../types/explanation.js';
import { findAvailableServer, requiredPositionOf } from './choose-replica.js';
import { explainRead } from './explain-read.js';
import type { ReadGroup } from './read-group.js';
import { createReplicaReads } from './replica-reads.js';

const group: GroupName = toGroupName('ledger');
const customer = toCustomerName('one');

const mostly = <Value>(usual: Value, unusual: Value) =>
  fc.constantFrom(...Array<Value>(6).fill(usual), unusual);

const serverArbitrary = fc.record({
  isRetired: mostly(false, true),
  isEvacuated: mostly(false, true),
  isBroken: mostly(false, true),
  isFailing: mostly(false, true),
  isBusy: mostly(false, true),
  isLagging: mostly(false, true),
  isConnected: fc.boolean(),
  runningCount: fc.integer({ min: 0, max: 5 }),
  othersRunning: fc.constantFrom(undefined, 0, 3, 8),
  meanMs: fc.constantFrom(undefined, 5, 15, 60),
  stage: fc.constantFrom<HealthStage>('in-service', 'in-service', 'set-aside', 'returning'),
  share: fc.constantFrom(0.25, 0.5, 1, 1),
});

const stateArbitrary = fc.record({
  servers: fc.array(serverArbitrary, { maxLength: 4 }),
  readDistribution: fc.constantFrom<'even' | 'nearest'>('even', 'nearest'),
  offerAgeMs: fc.constantFrom(100, 900, 2_000),
  homes: fc.constantFrom(null, null, ['east']),
  randomUnit: fc.oneof(fc.constant(0), fc.double({ min: 0, max: 0.999, noNaN: true })),
});

type State = typeof stateArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

function createState({ servers, readDistribution, offerAgeMs }: State) {
  const nowMs = performance.now();
  const evacuated = servers.flatMap(({ isEvacuated }, index) =>
    isEvacuated ? [`zone-${index}`] : [],
  );
  const reads = createReplicaReads({
    regionOf: (zone) => (zone === 'zone-3' ? 'west' : 'east'),
    evacuatedZones: () => new Set(evacuated),
    homeRules: () => undefined,
    readDistribution,
    mayBeCold: () => true,
    openTarget: () => Promise.reject(new Error('nothing is opened')),
    counters: SILENT_COUNTERS,
    log: () => undefined,
    requestOffer: () => Promise.reject(new Error('nothing is requested')),
    formerReader: () => ({ epoch: 1, heldForMs: 0, endedForMs: 0, hasReleased: false }),
    maxServerConnections: () => 10,
  });
  const readGroup: ReadGroup = {
    group,
    pools: {} as ReadGroup['pools'],
    servers: new Map(),
    brokenAtMs: new Map(),
    positions: [{ requestedAtMs: nowMs - offerAgeMs, position: { term: 3, offset: 40 } }],
    lastRequestMs: nowMs,
    isRequesting: false,
    isEvacuated: () => false,
  };
  for (const [index, each] of servers.entries()) {
    const server = createServerState(
      {
        ...{ group, server: `i-${index}` as ServerName, address: '10.0.0.1:1', slots: 2 },
        ...{ zone: `zone-${index}`, role: 'replica', isLeaving: false, bornMs: 0, sequence: 0 },
      },
      nowMs,
    );
    const { runningCount, isRetired, othersRunning: running, meanMs, stage, share } = each;
    Object.assign(server, { runningCount, isRetired });
    if (each.isBusy) server.busyUntilMs = nowMs + 10;
    if (each.isLagging) server.laggingUntilMs = nowMs + 10;
    if (each.isFailing) server.failingSinceMs = nowMs - 100;
    if (each.isBroken) readGroup.brokenAtMs.set(server, nowMs);
    if (each.isConnected) server.idle.push({ connection: { customer } } as never);
    if (running !== undefined)
      server.load.others = { running, meanRunning: running, messageCount: 3, atMs: nowMs - 50 };
    if (meanMs !== undefined)
      server.load.service.set('read', { meanMs, spreadMs: 1, sampleCount: 9, atMs: nowMs });
    const part = stage === 'set-aside' ? 0 : share;
    const since = { stageSinceMs: nowMs - 400, evaluatedMs: nowMs, holdMs: 500 };
    Object.assign(server.health, { stage, share: part, ...since });
    readGroup.servers.set(`i-${index}@10.0.0.1:1`, server);
  }
  reads.groups.set(group, readGroup);
  return { reads, readGroup };
}

describe('explainRead', () => {
  beforeEach(() => {
    vi.useFakeTimers();
    vi.advanceTimersByTime(100_000);
  });

  afterEach(() => {
    vi.restoreAllMocks();
    vi.useRealTimers();
  });

  // Guards against an explanation that differs from what the reader does.
  it('agrees with what the reader does in 1,000 states', () => {
    const seen = { chosen: 0, none: 0 };
    fc.assert(
      fc.property(stateArbitrary, (state) => {
        vi.spyOn(Math, 'random').mockReturnValue(state.randomUnit);
        const { reads, readGroup } = createState(state);
        const question: StatementQuestion = {
          ...{ access: 'read', customer, priority: 1, consistency: 'bounded-age', mark: null },
          ...{ maxReadAgeMs: 1_500, budgetMs: 800, startWithinMs: 400, homes: state.homes },
        };
        const explained = explainRead(reads, group, question);
        for (const { share, reason } of explained.servers) expect(reason === null).toBe(share > 0);
        const total = explained.servers.reduce((sum, { share }) => sum + share, 0);
        const after = requiredPositionOf(readGroup, question);
        const server = after && findAvailableServer(reads, readGroup, question);
        expect(explained.required).toEqual(after ?? null);
        seen[server ? 'chosen' : 'none'] += 1;
        if (server) {
          const name = server.announcement.server;
          expect(explained.reason).toBeNull();
          expect(explained.servers.find((each) => each.server === name)?.share).toBeGreaterThan(0);
        } else {
          expect(total).toBeLessThan(1 - 1e-9);
          if (state.randomUnit === 0) expect(explained.reason).not.toBeNull();
        }
      }),
      { numRuns: 1_000, seed: 13 },
    );
    expect(seen.chosen).toBeGreaterThan(200);
    expect(seen.none).toBeGreaterThan(200);
  });

  it('says that it has had no read of a group, and creates no state for it', () => {
    const { reads } = createState({
      ...{ servers: [], readDistribution: 'even', offerAgeMs: 100, homes: null, randomUnit: 0 },
    });
    const question = { consistency: 'bounded-age', customer } as StatementQuestion;
    expect(explainRead(reads, toGroupName('other'), question).reason).toContain('no read');
    expect([...reads.groups.keys()]).toEqual([group]);
  });
});

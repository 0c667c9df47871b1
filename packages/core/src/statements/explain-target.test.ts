import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { toCustomerName, toServerName } from '../types/ids.js';
import { chooseTarget, type TargetRequirements, type TargetView } from './choose-target.js';
import { chooseNearestTarget } from './choose-nearest.js';
import { explainChoice, explainTarget } from './explain-target.js';

const NOW_MS = 10_000;
const customer = toCustomerName('tuulgan');

const mostly = (usual: boolean) => fc.constantFrom(usual, usual, usual, !usual);

const viewArbitrary = fc.record({
  isLeaving: mostly(false),
  isUsable: mostly(true),
  isInSameRegion: fc.boolean(),
  takesRead: mostly(true),
  freeSlots: fc.integer({ min: 0, max: 4 }),
  runningCount: fc.integer({ min: 0, max: 4 }),
  serviceMs: fc.option(fc.integer({ min: 1, max: 60 }), { nil: undefined }),
  isConnected: fc.boolean(),
  offset: fc.integer({ min: 95, max: 105 }),
  othersRunning: fc.option(fc.integer({ min: 0, max: 4 }), { nil: undefined }),
});

const caseArbitrary = fc.record({
  servers: fc.array(viewArbitrary, { minLength: 1, maxLength: 4 }),
  hasPrimary: mostly(true),
  mustBePrimary: mostly(false),
  mayAssumeCaughtUp: fc.boolean(),
});

type Case = typeof caseArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

function createCase({ servers, hasPrimary, ...fields }: Case) {
  const views: TargetView[] = servers.map(
    ({ isConnected, offset, othersRunning, ...view }, index) => ({
      ...view,
      server: toServerName(`s${index}`),
      isPrimary: hasPrimary && index === 0,
      connectedCustomers: new Set(isConnected ? [customer] : []),
      position: { term: 1, offset },
      laggingUntilMs: 0,
      others:
        othersRunning === undefined
          ? undefined
          : {
              running: othersRunning,
              meanRunning: othersRunning,
              messageCount: 1,
              atMs: NOW_MS - 100,
            },
    }),
  );
  const requirements: TargetRequirements = {
    customer,
    ...fields,
    requiredPosition: { term: 1, offset: 100 },
    requiredSinceMs: NOW_MS - 1_000,
  };
  return { views, requirements };
}

describe('explainTarget', () => {
  // Guards against an explanation that differs from what the owner does.
  it('agrees with 1,000 choices and has a reason against each server without a share', () => {
    let chosenCount = 0;
    fc.assert(
      fc.property(caseArbitrary, fc.double({ min: 0, max: 0.999, noNaN: true }), (each, unit) => {
        const { views, requirements } = createCase(each);
        const chosen = chooseTarget(views, requirements, NOW_MS, unit);
        const explained = explainTarget(views, requirements, NOW_MS);
        const total = explained.reduce((sum, { share }) => sum + share, 0);
        expect(total).toBeCloseTo(chosen === undefined ? 0 : 1, 9);
        for (const { share, reason } of explained) expect(reason === undefined).toBe(share > 0);
        if (chosen === undefined) return;
        chosenCount += 1;
        expect(explained.find(({ server }) => server === chosen)?.share).toBeGreaterThan(0);
      }),
      { numRuns: 1_000, seed: 6 },
    );
    expect(chosenCount).toBeGreaterThan(500);
  });

  it('gives the shares with which servers are chosen', () => {
    const server = {
      isLeaving: false,
      isUsable: true,
      isInSameRegion: true,
      takesRead: true,
      freeSlots: 4,
      runningCount: 0,
      isConnected: true,
      offset: 100,
      othersRunning: undefined,
    };
    const { views, requirements } = createCase({
      servers: [
        { ...server, serviceMs: 10 },
        { ...server, serviceMs: 30 },
      ],
      hasPrimary: false,
      mustBePrimary: false,
      mayAssumeCaughtUp: false,
    });
    const chosen = Array.from({ length: 1_000 }, (_, index) =>
      chooseTarget(views, requirements, NOW_MS, (index + 0.5) / 1_000),
    );
    for (const { server: name, share } of explainTarget(views, requirements, NOW_MS))
      expect(chosen.filter((each) => each === name)).toHaveLength(Math.round(share * 1_000));
  });
});

describe('explainChoice', () => {
  const shareArbitrary = fc.constantFrom(0, 0.05, 0.5, 1, 1, 1);

  // Guards against an explanation that differs from what the owner does when servers are set aside in part.
  it('agrees with 1,000 choices by load for servers that take a part of their reads', () => {
    fc.assert(
      fc.property(
        caseArbitrary,
        fc.array(shareArbitrary, { minLength: 4, maxLength: 4 }),
        fc.array(fc.double({ min: 0, max: 0.999, noNaN: true }), { minLength: 5, maxLength: 5 }),
        (each, shares, [unit = 0, ...units]) => {
          const { views, requirements } = createCase(each);
          const takeShares = new Map(
            views.map(({ server }, index) => [server, shares[index] ?? 1] as const),
          );
          const drawn = views.map((view, index) => {
            return { ...view, takesRead: (units[index] ?? 0) < (shares[index] ?? 1) };
          });
          const chosen = chooseTarget(drawn, requirements, NOW_MS, unit);
          const question = { requirements, nowMs: NOW_MS, takeShares };
          const explained = explainChoice(views, { ...question, readDistribution: 'even' });
          const total = explained.reduce((sum, { share }) => sum + share, 0);
          expect(total).toBeLessThan(1 + 1e-9);
          for (const { share, reason } of explained) expect(reason === undefined).toBe(share > 0);
          if (chosen === undefined) expect(total).toBeLessThan(1 - 1e-9);
          else expect(explained.find(({ server }) => server === chosen)?.share).toBeGreaterThan(0);
        },
      ),
      { numRuns: 1_000, seed: 7 },
    );
  });

  it('agrees with 1,000 choices by nearness', () => {
    fc.assert(
      fc.property(caseArbitrary, (each) => {
        const { views, requirements } = createCase({
          ...each,
          servers: each.servers.map((server) => ({ ...server, takesRead: true })),
        });
        const chosen = chooseNearestTarget(views, requirements, NOW_MS);
        const explained = explainChoice(views, {
          readDistribution: 'nearest',
          requirements,
          nowMs: NOW_MS,
          takeShares: new Map(),
        });
        for (const { server, share, reason } of explained) {
          expect(share).toBe(server === chosen ? 1 : 0);
          expect(reason === undefined).toBe(server === chosen);
        }
      }),
      { numRuns: 1_000, seed: 8 },
    );
  });

  it('gives the part of the reads that a server gets which is set aside in part', () => {
    const server = {
      ...{ isLeaving: false, isUsable: true, isInSameRegion: true, takesRead: true, freeSlots: 4 },
      ...{ runningCount: 0, serviceMs: 10, isConnected: true, offset: 100 },
      othersRunning: undefined,
    };
    const { views, requirements } = createCase({
      servers: [server, server],
      hasPrimary: false,
      mustBePrimary: false,
      mayAssumeCaughtUp: false,
    });
    const [first, second] = views;
    if (!first || !second) throw new Error('no servers');
    const takeShares = new Map([[first.server, 0.2]]);
    const question = { readDistribution: 'even', requirements, nowMs: NOW_MS, takeShares } as const;
    const shares = explainChoice(views, question).map(({ share }) => share);
    expect(shares[0]).toBeCloseTo(0.1, 9);
    expect(shares[1]).toBeCloseTo(0.9, 9);
  });
});

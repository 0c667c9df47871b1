import {
  createAcknowledgedPositions,
  type HealthStage,
  type ReadConsistency,
  type ServerName,
  type StatementOutcome,
  type StatementRequest,
  toCustomerName,
} from '@bramleykeel/core';
import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { createFakeGroup, type FakeGroup } from '../test-support/fake-group.js';
import type { StatementQuestion } from '../types/explanation.js';
import { explainStatement } from './explain-statement.js';
import { acceptStatement } from './owner-app.js';
import type { Leadership, StatementOwner } from './owner-state.js';

const customer = toCustomerName('one');
const other = toCustomerName('other');

const mostly = <Value>(usual: Value, unusual: Value) =>
  fc.constantFrom(...Array<Value>(9).fill(usual), unusual);

const serverArbitrary = fc.record({
  isLeaving: mostly(false, true),
  isFailing: mostly(false, true),
  isCold: mostly(false, true),
  coldStarts: fc.integer({ min: 0, max: 6 }),
  slots: fc.integer({ min: 1, max: 4 }),
  runningCount: fc.constantFrom(0, 0, 1, 2, 4),
  othersRunning: fc.constantFrom(undefined, 0, 3, 8),
  isBusy: mostly(false, true),
  isLagging: mostly(false, true),
  offset: fc.constantFrom(38, 40, 40, 41, 42),
  meanMs: fc.constantFrom(5, 15, 16, 60, 400),
  sampleCount: fc.constantFrom(0, 5, 20, 40, 40),
  stage: fc.constantFrom<HealthStage>(
    'in-service',
    'in-service',
    'set-aside',
    'probing',
    'returning',
  ),
  share: fc.constantFrom(0.25, 0.5, 1, 1),
  stageAgeMs: fc.integer({ min: 0, max: 3_000 }),
  evaluatedAgoMs: fc.constantFrom(0, 60),
  isEvacuated: mostly(false, true),
});

const statementArbitrary = fc.record({
  access: fc.constantFrom<'read' | 'write'>('read', 'read', 'write'),
  consistency: fc.constantFrom<ReadConsistency>('newest', 'bounded-age', 'own-writes'),
  priority: fc.integer({ min: 0, max: 2 }),
  isOther: fc.boolean(),
  markOffset: fc.option(fc.integer({ min: 38, max: 42 })),
  homes: fc.constantFrom(null, null, null, null, ['zone-0'], ['zone-1', 'zone-2']),
});

type Statement = typeof statementArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

const stateArbitrary = fc.record({
  servers: fc.array(serverArbitrary, { minLength: 1, maxLength: 4 }),
  leadership: fc.constantFrom(...Array<string>(9).fill('led'), 'unknown', 'changing', 'blocked'),
  isNew: mostly(false, true),
  isStopping: mostly(false, true),
  knowsPositions: mostly(true, false),
  readDistribution: fc.constantFrom<'even' | 'nearest'>('even', 'nearest'),
  overloadControl: fc.boolean(),
  waiting: fc.oneof(
    fc.constant<readonly Statement[]>([]),
    fc.array(statementArbitrary, { minLength: 4, maxLength: 12 }),
  ),
  statement: statementArbitrary,
  randomUnit: fc.oneof(fc.constant(0), fc.double({ min: 0, max: 0.999, noNaN: true })),
});

type State = typeof stateArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

function leadershipOf(kind: string, server: ServerName, sinceMs: number): Leadership {
  if (kind === 'led') return { kind, server, sinceMs, chosenPosition: undefined };
  if (kind === 'unknown') return { kind, sinceMs };
  const isBlocked = kind === 'blocked';
  const former = server;
  const rest = { reason: 'lost', former, holdsTransactions: false, chosenPosition: undefined };
  return { kind: 'changing', sinceMs, isBlocked, ...rest };
}

function questionOf(statement: Statement): StatementQuestion {
  const { isOther, markOffset, ...rest } = statement;
  const mark = markOffset === null ? null : { term: 3, offset: markOffset };
  const limits = { maxReadAgeMs: 1_500, budgetMs: 800, startWithinMs: 400, objectiveMs: 300 };
  return { ...rest, ...limits, mark, customer: isOther ? other : customer };
}

function requestOf(statement: Statement, number: number): StatementRequest {
  const body = { kind: 'plain', text: 'x' } as const;
  const tag = `t${number}`;
  return { ...questionOf(statement), number, tag, body, transaction: null, values: {} };
}

function createState(state: State): { fake: FakeGroup; owner: StatementOwner } {
  const nowMs = performance.now();
  const fake = createFakeGroup(state.servers.length);
  const { owner } = fake;
  const { readDistribution, overloadControl } = state;
  Object.assign(owner.environment, { readDistribution, overloadControl });
  fake.coldRatePerSecond = 4;
  fake.evacuatedZones = new Set(
    state.servers.flatMap(({ isEvacuated }, index) => (isEvacuated ? [`zone-${index}`] : [])),
  );
  for (const [index, generated] of state.servers.entries()) {
    const server = owner.servers.get(`i-${index}` as ServerName);
    if (!server) throw new Error('the server is missing');
    const { isLeaving, slots, stage, share } = generated;
    server.announcement = { ...server.announcement, isLeaving, slots };
    server.runningCount = Math.min(slots, generated.runningCount);
    server.position = { term: 3, offset: generated.offset };
    const { othersRunning: running } = generated;
    if (running !== undefined)
      server.load.others = { running, meanRunning: running, messageCount: 3, atMs: nowMs - 50 };
    if (generated.isFailing) server.failingSinceMs = nowMs - 100;
    if (generated.isBusy) server.busyUntilMs = nowMs + 100;
    if (generated.isLagging) server.laggingUntilMs = nowMs + 100;
    if (generated.isCold) server.coldUntilMs = nowMs + 5_000;
    for (let count = 0; count < generated.coldStarts; count += 1)
      server.coldStartsMs.push(nowMs - 1_200 + 200 * count);
    for (const access of ['read', 'write'] as const) {
      const { sampleCount, meanMs } = generated;
      const measured = { meanMs, spreadMs: 1, sampleCount, atMs: nowMs - 10 };
      if (sampleCount > 0) server.load.service.set(access, measured);
    }
    const isPartial = stage === 'in-service' || stage === 'returning';
    Object.assign(server.health, {
      stage,
      share: isPartial ? share : { 'set-aside': 0, probing: 0.05 }[stage],
      holdMs: 500,
      stageSinceMs: nowMs - generated.stageAgeMs,
      evaluatedMs: nowMs - generated.evaluatedAgoMs,
    });
  }
  owner.leadership = leadershipOf(state.leadership, 'i-0' as ServerName, nowMs - 500);
  if (state.knowsPositions)
    owner.acknowledgedPositions = createAcknowledgedPositions({ term: 3, offset: 40 }, nowMs);
  if (!state.isNew) Object.assign(owner, { startedAtMs: nowMs - 60_000 });
  return { fake, owner };
}

/** Everything of an owner but its environment, as text. */
function dump(owner: StatementOwner): string {
  const rest = { ...owner, environment: undefined, pools: undefined };
  const seen = new Set<unknown>();
  return JSON.stringify(rest, (_key, value: unknown) => {
    if (typeof value === 'number') return String(value);
    if (typeof value !== 'object' || value === null) return value;
    if (seen.has(value)) return 'seen';
    seen.add(value);
    if (value instanceof Map) return [...(value as Map<unknown, unknown>)];
    return value instanceof Set ? [...(value as Set<unknown>)] : value;
  });
}

/** What the owner does with the statement. */
function submit(owner: StatementOwner, statement: Statement) {
  const before = new Map([...owner.servers].map(([name, each]) => [name, each.runningCount]));
  const outcomes: StatementOutcome[] = [];
  const channel = {
    id: 'link-1',
    answer: (number: number, outcome: StatementOutcome) => {
      if (number === 1_000) outcomes.push(outcome);
    },
  };
  acceptStatement(owner, channel, requestOf(statement, 1_000));
  const started = [...owner.servers].find(
    ([name, { runningCount }]) => runningCount > (before.get(name) ?? 0),
  );
  return { server: started?.[0], outcome: outcomes[0] };
}

describe('explainStatement', () => {
  beforeEach(() => {
    vi.useFakeTimers();
    vi.advanceTimersByTime(100_000);
  });

  afterEach(() => {
    vi.restoreAllMocks();
    vi.useRealTimers();
  });

  // Guards against an explanation that differs from what the owner does, and against one that changes what it does.
  it('agrees with what the owner does in 1,000 states, and changes none of them', () => {
    const seen = { run: 0, wait: 0, refused: 0 };
    const reasons = new Set<string>();
    const refusals = new Set<string>();
    fc.assert(
      fc.property(stateArbitrary, (state) => {
        vi.spyOn(Math, 'random').mockReturnValue(state.randomUnit);
        const { owner } = createState(state);
        const channel = { id: 'link-2', answer: () => undefined };
        state.waiting.forEach((each, index) => {
          acceptStatement(owner, channel, requestOf(each, index));
        });
        owner.isStopping = state.isStopping;
        const before = dump(owner);
        const explained = explainStatement(owner, questionOf(state.statement));
        expect(dump(owner)).toBe(before);
        expect(JSON.parse(JSON.stringify(explained))).toEqual(explained);
        const { server, outcome } = submit(owner, state.statement);
        owner.isClosed = true;
        seen[explained.outcome.kind] += 1;
        for (const { share, reason } of explained.servers) {
          expect(reason === null).toBe(share > 0);
          if (reason !== null) reasons.add(reason);
        }
        if (explained.outcome.kind === 'refused') {
          const { reason, retryAfterMs } = explained.outcome;
          refusals.add(reason);
          if (state.randomUnit === 0 || reason !== 'overloaded')
            expect(outcome).toMatchObject({ kind: 'not-run', reason, retryAfterMs });
          return;
        }
        const isPartial = explained.servers.some(({ standing: { health } }) => health.share < 1);
        if (outcome && state.randomUnit > 0 && isPartial) return;
        // A statement that arrives while the group is handed over is returned to its entry, which sends it again.
        expect(outcome?.kind).toBe(owner.isStopping ? 'not-run' : undefined);
        if (owner.isStopping) return;
        const total = explained.servers.reduce((sum, { share }) => sum + share, 0);
        if (server === undefined) expect(total).toBeLessThan(1 - 1e-9);
        const chosen = explained.servers.find((each) => each.server === server);
        if (server !== undefined) expect(chosen?.share).toBeGreaterThan(0);
        if (state.randomUnit === 0) expect(server !== undefined).toBe(total > 0);
      }),
      { numRuns: 1_000, seed: 12 },
    );
    expect(seen.run + seen.wait + seen.refused).toBe(1_000);
    for (const count of Object.values(seen)) expect(count).toBeGreaterThan(50);
    expect([...refusals].sort()).toEqual(['no-home-server', 'no-primary', 'overloaded']);
    expect([...reasons].sort()).toEqual(
      [
        ...['a-warm-server-is-preferred', 'acknowledged-positions-unknown', 'another-is-preferred'],
        ...['behind-required-position', 'cold-limit-reached', 'evacuated', 'leaving'],
        ...['longer-delay', 'no-free-slot', 'not-a-home', 'only-the-primary-runs-it', 'set-aside'],
        'unreachable',
      ].sort(),
    );
  });
});

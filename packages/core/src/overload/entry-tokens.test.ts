import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  createFullBucket,
  createMovedBucket,
  drawTokens,
  grantLifetimeMs,
  type RateLimit,
  returnTokens,
  smallestBurst,
  type TokenBucket,
} from '../admit/token-bucket.js';
import type { ReturnedTokens } from '../types/link-messages.js';
import {
  acceptGrant,
  createEntryTokens,
  type EntryTokens,
  refundTokens,
  spendTokens,
  takeReturns,
  type TokenSource,
} from './entry-tokens.js';

const source = (drawNumber: number, sentAtMs = 0): TokenSource => ({
  epoch: 1,
  drawNumber,
  sentAtMs,
  expiresAtMs: sentAtMs + 250,
});

describe('rate tokens at an entry', () => {
  it('can be spent again while their grant is valid', () => {
    const tokens = createEntryTokens();
    acceptGrant(tokens, source(1), 1);
    const first = spendTokens(tokens, 1, 10);
    expect(spendTokens(tokens, 1, 20)).toBeUndefined();
    if (first) refundTokens(tokens, first, 1, 30);
    expect(spendTokens(tokens, 1, 40)).toBe(first);
    expect(takeReturns(tokens, 50)).toEqual([]);
  });

  it.each([
    { name: 'after their grant has expired', refundAtMs: 250, isReplaced: false },
    { name: 'after their grant was replaced', refundAtMs: 30, isReplaced: true },
  ])('are returned once, with the next draw, $name', ({ refundAtMs, isReplaced }) => {
    const tokens = createEntryTokens();
    acceptGrant(tokens, source(1), 2);
    const first = spendTokens(tokens, 2, 10);
    if (isReplaced) acceptGrant(tokens, source(2, 20), 0);
    if (first) refundTokens(tokens, first, 2, refundAtMs);
    expect(spendTokens(tokens, 1, refundAtMs)).toBeUndefined();
    expect(takeReturns(tokens, 300)).toEqual([{ epoch: 1, drawNumber: 1, count: 2 }]);
    expect(takeReturns(tokens, 300)).toEqual([]);
  });

  it('are returned unspent, also those that came back while a draw was on its way', () => {
    const tokens = createEntryTokens();
    acceptGrant(tokens, source(1), 3);
    const first = spendTokens(tokens, 1, 10);
    expect(takeReturns(tokens, 20)).toEqual([{ epoch: 1, drawNumber: 1, count: 2 }]);
    if (first) refundTokens(tokens, first, 1, 25);
    acceptGrant(tokens, source(2, 20), 4);
    expect(takeReturns(tokens, 30)).toEqual([
      { epoch: 1, drawNumber: 1, count: 1 },
      { epoch: 1, drawNumber: 2, count: 4 },
    ]);
  });
});

describe('tokens that come back to the bucket', () => {
  const limit: RateLimit = { ratePerSecond: 100, burst: 100 };

  it('are credited in full while the bucket has room for them', () => {
    const bucket = createFullBucket(limit, 0);
    expect(drawTokens(bucket, limit, 10, 0)).toBe(10);
    expect(returnTokens(bucket, limit, { drawNumber: 1, count: 10 }, 50)).toBe(5);
    drawTokens(bucket, limit, 60, 60);
    expect(returnTokens(bucket, limit, { drawNumber: 2, count: 10 }, 100)).toBe(10);
  });

  // Guards against a burst of refilled tokens followed by a burst of returned ones.
  it('are not credited for time in which the bucket was full without them', () => {
    const bucket = createFullBucket(limit, 0);
    const burst = drawTokens(bucket, limit, 75, 0);
    expect(drawTokens(bucket, limit, 75, 750)).toBe(75);
    expect(returnTokens(bucket, limit, { drawNumber: 1, count: burst }, 760)).toBe(0);
  });

  it('are not credited by draws that the bucket does not remember or did not make', () => {
    const bucket = createFullBucket(limit, 0);
    drawTokens(bucket, limit, 60, 0);
    drawTokens(bucket, limit, 60, 3_200);
    expect(returnTokens(bucket, limit, { drawNumber: 0, count: 1 }, 3_210)).toBe(0);
    drawTokens(bucket, limit, 1, 3_300);
    expect(returnTokens(bucket, limit, { drawNumber: 1, count: 1 }, 6_250)).toBe(0);
  });
});

interface Action {
  readonly afterMs: number;
  readonly entry: number;
  readonly kind: 'draw' | 'run' | 'lose-home' | 'lose-entry';
  readonly count: number;
  /** Whether the messages of a draw arrive. */
  readonly isDelivered: boolean;
  readonly firstDelayMs: number;
  readonly secondDelayMs: number;
}

const ENTRIES = 3;

const actionArbitrary: fc.Arbitrary<Action> = fc.record({
  afterMs: fc.oneof(fc.nat(10), fc.nat(25), fc.nat(25), fc.nat(300)),
  entry: fc.nat(ENTRIES - 1),
  kind: fc.oneof(
    { weight: 20, arbitrary: fc.constant('draw' as const) },
    { weight: 20, arbitrary: fc.constant('run' as const) },
    { weight: 1, arbitrary: fc.constant('lose-home' as const) },
    { weight: 1, arbitrary: fc.constant('lose-entry' as const) },
  ),
  count: fc.oneof(fc.integer({ min: 1, max: 20 }), fc.integer({ min: 100, max: 900 })),
  isDelivered: fc.nat(9).map((chance) => chance > 0),
  firstDelayMs: fc.oneof(fc.nat(3), fc.nat(5), fc.nat(60)),
  secondDelayMs: fc.oneof(fc.nat(40), fc.nat(900)),
});

const limitArbitrary = fc
  .record({ ratePerSecond: fc.integer({ min: 10, max: 500 }), extraBurst: fc.nat(300) })
  .map(({ ratePerSecond, extraBurst }): RateLimit => {
    return { ratePerSecond, burst: smallestBurst(ratePerSecond) + extraBurst };
  });

describe('homes, entries, grants and refunds played together', () => {
  it('keep operations that reach targets within burst plus rate times window', () => {
    let reachedCount = 0;
    let creditedCount = 0;
    const property = fc.property(
      limitArbitrary,
      fc.nat(1_500),
      fc.array(actionArbitrary, { minLength: 20, maxLength: 120, size: 'max' }),
      (limit, outageMs, actions) => {
        const played = play(limit, outageMs, actions);
        reachedCount += played.reached.length;
        creditedCount += played.credited;
        expect(worstExcess(limit, played.reached)).toBeLessThanOrEqual(1e-6);
      },
    );
    fc.assert(property, { seed: 20_261_206, numRuns: 500 });
    // Guards against a play in which nothing runs or comes back.
    expect(reachedCount).toBeGreaterThan(1_000);
    expect(creditedCount).toBeGreaterThan(1_000);
  });
});

interface Spending {
  readonly atMs: number;
  readonly count: number;
}

interface Home {
  readonly epoch: number;
  readonly bucket: TokenBucket;
}

/**
 * Plays the actions in order of time; messages and results arrive after the delays of their action. Operations that
 * start before `outageMs` reach no target.
 */
function play(limit: RateLimit, outageMs: number, actions: readonly Action[]) {
  const reached: Spending[] = [];
  const events: { atMs: number; run: (nowMs: number) => void }[] = [];
  const entries: EntryTokens[] = Array.from({ length: ENTRIES }, createEntryTokens);
  let home: Home | undefined = { epoch: 1, bucket: createFullBucket(limit, 0) };
  let lastEpoch = 1;
  let credited = 0;
  const schedule = (atMs: number, run: (nowMs: number) => void) => events.push({ atMs, run });

  function creditReturns(returns: readonly ReturnedTokens[], nowMs: number): void {
    for (const each of returns) {
      if (home?.epoch !== each.epoch) continue;
      credited += returnTokens(home.bucket, limit, each, nowMs);
    }
  }

  function draw(action: Action, sentAtMs: number): void {
    const entry = entries[action.entry] ?? createEntryTokens();
    const returns = takeReturns(entry, sentAtMs);
    schedule(sentAtMs + action.firstDelayMs, (homeMs) => {
      if (!home) return;
      creditReturns(returns, homeMs);
      const granted = drawTokens(home.bucket, limit, action.count, homeMs);
      if (granted === 0 || !action.isDelivered) return;
      const grant = {
        epoch: home.epoch,
        drawNumber: home.bucket.drawNumber,
        sentAtMs,
        expiresAtMs: sentAtMs + grantLifetimeMs(limit),
      };
      schedule(homeMs + action.firstDelayMs, () => {
        acceptGrant(entry, grant, granted);
      });
    });
  }

  function run(action: Action, nowMs: number): void {
    const entry = entries[action.entry] ?? createEntryTokens();
    const count = Math.min(action.count, entry.available);
    const spent = count > 0 ? spendTokens(entry, count, nowMs) : undefined;
    if (!spent) return;
    if (nowMs >= outageMs) {
      reached.push({ atMs: nowMs, count });
      return;
    }
    schedule(nowMs + action.firstDelayMs + action.secondDelayMs, (laterMs) => {
      refundTokens(entry, spent, count, laterMs);
    });
  }

  function loseHome({ firstDelayMs, secondDelayMs }: Action, nowMs: number): void {
    if (!home) return;
    home = undefined;
    const knownEndedMs = firstDelayMs;
    schedule(nowMs + firstDelayMs + secondDelayMs / 4, (laterMs) => {
      lastEpoch += 1;
      home = { epoch: lastEpoch, bucket: createMovedBucket(limit, knownEndedMs, laterMs) };
    });
  }

  let actionMs = 0;
  for (const action of actions) {
    actionMs += action.afterMs;
    schedule(actionMs, (nowMs) => {
      if (action.kind === 'draw') draw(action, nowMs);
      else if (action.kind === 'run') run(action, nowMs);
      else if (action.kind === 'lose-home') loseHome(action, nowMs);
      else entries[action.entry] = createEntryTokens();
    });
  }
  while (events.length > 0) {
    const earliest = events.reduce((best, each) => (each.atMs < best.atMs ? each : best));
    events.splice(events.indexOf(earliest), 1);
    earliest.run(earliest.atMs);
  }
  return { reached, credited };
}

/** The largest excess of any window over burst plus rate times window, in tokens. */
function worstExcess(limit: RateLimit, spent: readonly Spending[]): number {
  let worst = Number.NEGATIVE_INFINITY;
  for (let first = 0; first < spent.length; first += 1) {
    let sum = 0;
    for (let last = first; last < spent.length; last += 1) {
      sum += spent[last]?.count ?? 0;
      const windowMs = (spent[last]?.atMs ?? 0) - (spent[first]?.atMs ?? 0);
      worst = Math.max(worst, sum - limit.burst - (limit.ratePerSecond * windowMs) / 1_000);
    }
  }
  return worst;
}

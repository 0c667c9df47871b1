import { describe, expect, it } from 'vitest';
import { AFTER_WARM_UP, type LoadPattern, simulateGroup } from './admission.test-support.js';

const SEEDS = [1, 2, 3];
const during = AFTER_WARM_UP;

const inBurst = (_: number, nowMs: number) => (during(nowMs, 4_000) ? 2.5 : 1);

interface NamedPattern extends Omit<LoadPattern, 'seed'> {
  readonly name: string;
  /** Time without any slot. */
  readonly outageMs?: number;
}

const PATTERNS: readonly NamedPattern[] = [
  { name: 'usual load' },
  {
    name: 'burst of one kind',
    factorOf: (priority, nowMs) => (priority === 1 && during(nowMs, 4_000) ? 2.5 : 1),
  },
  { name: 'burst of all kinds', factorOf: inBurst },
  {
    name: 'one customer at 7 times',
    firstCustomerFactor: (nowMs) => (during(nowMs, 12_000) ? 7 : 1),
  },
  {
    name: 'retry storm after a refusal',
    outageMs: 600,
    slotsAt: (nowMs) => (during(nowMs, 1_600) ? 0 : 4),
  },
  { name: 'half of the slots lost', slotsAt: (nowMs) => (during(nowMs, 4_000) ? 2 : 4) },
  { name: 'both replicas lagging', areReplicasLagging: (nowMs) => during(nowMs, 4_000) },
];

/** Starts of a kind pause for so long at most while it is requested, apart from an outage of all slots. */
const MAX_PAUSE_MS = 250;

describe.each(PATTERNS)('under the load pattern $name', ({ outageMs = 0, ...pattern }) => {
  it.each(SEEDS)('serves urgent statements and refuses accurately, seed %i', (seed) => {
    const { kinds, attemptsPerRequest, othersServedShare } = simulateGroup({ ...pattern, seed });
    const [urgent, ...lesser] = kinds;
    const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);
    // Requests of the last milliseconds are not answered at the end of the run.
    expect(urgent?.servedInTime).toBeGreaterThanOrEqual((urgent?.requests ?? 0) * 0.99);
    if (outageMs === 0) expect(urgent?.refusals).toBe(0);
    for (const { longestPauseMs, served, servedInTime } of kinds) {
      expect(longestPauseMs).toBeLessThan(MAX_PAUSE_MS + outageMs);
      expect(servedInTime).toBe(served);
    }
    for (const { requests, served } of lesser) expect(served).toBeGreaterThan(requests * 0.8);
    expect(attemptsPerRequest).toBeLessThan(1.3);
    expect(othersServedShare).toBeGreaterThan(0.94);
    const attempts = sum(kinds.map((kind) => kind.attempts));
    expect(sum(kinds.map(({ wrongRefusals }) => wrongRefusals))).toBeLessThan(attempts * 0.02);
  });
});

describe('a burst of all kinds', () => {
  it.each(SEEDS)('is refused mostly on arrival, seed %i', (seed) => {
    const { kinds } = simulateGroup({ seed, factorOf: inBurst });
    const count = (field: 'refusals' | 'lateRefusals') =>
      kinds.reduce((total, kind) => total + kind[field], 0);
    expect(count('refusals')).toBeGreaterThan(500);
    expect(count('lateRefusals')).toBeLessThan(count('refusals') * 0.25);
  });
});

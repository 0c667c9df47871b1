import { readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import { chooseLeastDelay, expectedDelays, type LoadCandidate } from './even-load.js';
import { type Policy, simulateChoice, type SimulationResult } from './even-load.test-support.js';

const NOTE = new URL('../../../../docs/design/even-load.md', import.meta.url);
const SERVICE_TIMES_MS = [
  [18, 18, 18],
  [9, 18, 36],
];
const POLICIES: readonly Policy[] = [
  'first-available',
  'two-choices',
  'idle-grants',
  'slot-shares',
  'least-delay',
];
const CASES = SERVICE_TIMES_MS.flatMap((serviceMs) =>
  [1, 4, 16].flatMap((chooserCount) =>
    [10, 100, 1_000].map((updateMs) => ({ serviceMs, chooserCount, updateMs, utilization: 0.7 })),
  ),
);

describe('choice by least expected delay, simulated', () => {
  // Guards against choosers that follow the same stale information to the same server. The ratio is to the mean
  // for equal servers, and to the part by speed for uneven ones.
  it.each(CASES)(
    'keeps the busiest of servers with $serviceMs ms near its part: $chooserCount choosers, updates each $updateMs ms',
    (scenario) => {
      for (const seed of [11, 12, 13]) {
        const result = simulateChoice({ ...scenario, policy: 'least-delay', seed });
        expect(result.busiestRatio).toBeLessThan(1.2);
        expect(result.p99WaitMs).toBeLessThan(100);
      }
    },
  );

  // Guards against a note whose table is not what the code does.
  it('gives the table of the design note', () => {
    const rows = new Set(
      readFileSync(NOTE, 'utf8')
        .split('\n')
        .map((line) => line.replaceAll(/ *\| */g, '|')),
    );
    const measured = CASES.map((scenario) => {
      const { serviceMs, chooserCount, updateMs } = scenario;
      const results = POLICIES.map((policy) => simulateChoice({ ...scenario, policy, seed: 11 }));
      const labels = [serviceMs.join(', '), String(chooserCount), String(updateMs)];
      return `|${[...labels, ...results.map(formatResult)].join('|')}|`;
    });
    expect(measured.filter((row) => !rows.has(row))).toEqual([]);
  });
});

function formatResult({ busiestRatio, p99WaitMs }: SimulationResult): string {
  return `${busiestRatio.toFixed(2)}, ${p99WaitMs.toFixed(0)} ms`;
}

const idle: LoadCandidate = {
  slots: 4,
  running: 0,
  others: undefined,
  serviceMs: undefined,
  extraMs: 0,
};
const sharesOf = (...candidates: readonly LoadCandidate[]) =>
  expectedDelays(candidates, 1_000).map(({ share }) => Number(share.toFixed(2)));

describe('expectedDelays', () => {
  const measured = { ...idle, serviceMs: 20 };
  const othersAt = (atMs: number, running: number, meanRunning: number) => ({
    ...measured,
    others: { running, meanRunning, messageCount: 9, atMs },
  });

  it.each([
    {
      name: 'treats servers without measurements as equal',
      candidates: [idle, idle],
      expected: [0.5, 0.5],
    },
    {
      name: 'takes the mean for a server without measurements beside measured ones',
      candidates: [{ ...idle, serviceMs: 20 }, idle],
      expected: [0.5, 0.5],
    },
    {
      // Guards against a share that is not a number, and reads that all go to the last server.
      name: 'treats servers with a service time of zero as equal',
      candidates: [
        { ...idle, serviceMs: 0 },
        { ...idle, serviceMs: 0 },
      ],
      expected: [0.5, 0.5],
    },
    {
      name: 'shares in proportion to the measured speed',
      candidates: [measured, { ...measured, serviceMs: 60 }],
      expected: [0.75, 0.25],
    },
    {
      name: 'shares in proportion to the free slots',
      candidates: [measured, { ...measured, running: 2 }],
      expected: [0.67, 0.33],
    },
    {
      name: 'leaves out a server where the statement would wait',
      candidates: [measured, { ...measured, running: 9 }],
      expected: [1, 0],
    },
    {
      name: 'leaves out a server that needs a new connection while another has a free slot',
      candidates: [measured, { ...measured, extraMs: 12 }],
      expected: [1, 0],
    },
    {
      // Guards against a server that stays without connections, and so without load, once others have them.
      name: 'opens a connection where that saves more work than it costs',
      candidates: [
        { ...measured, running: 3 },
        { ...measured, extraMs: 12 },
      ],
      expected: [0.2, 0.8],
    },
    {
      name: 'prefers a new connection to a longer wait',
      candidates: [
        { ...measured, running: 8 },
        { ...measured, extraMs: 12 },
      ],
      expected: [0, 1],
    },
    {
      name: 'counts the statements of others that have just been reported',
      candidates: [measured, othersAt(1_000, 2, 0)],
      expected: [0.67, 0.33],
    },
    {
      name: 'uses the mean of the reports once the reported statements have ended',
      candidates: [measured, othersAt(500, 4, 2)],
      expected: [0.67, 0.33],
    },
    {
      name: 'uses own counts only once the reports are too old',
      candidates: [measured, othersAt(-1_001, 4, 4)],
      expected: [0.5, 0.5],
    },
  ])('$name', ({ candidates, expected }) => {
    expect(sharesOf(...candidates)).toEqual(expected);
  });
});

describe('chooseLeastDelay', () => {
  it('chooses by the shares', () => {
    const fast = { ...idle, serviceMs: 20 };
    const slow = { ...idle, serviceMs: 60 };
    const chosen = [0, 0.74, 0.76, 0.999].map((unit) => chooseLeastDelay([fast, slow], 0, unit));
    expect(chosen).toEqual([fast, fast, slow, slow]);
  });

  it('chooses nothing from no candidates', () => {
    expect(chooseLeastDelay<LoadCandidate>([], 0, 0.5)).toBeUndefined();
  });
});

/** Disks of control members that are full for some seconds, one after another. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  compact,
  createHarness,
  type Harness,
  leaderOf,
  type Member,
  memberOf,
  propose,
  run,
  seededRandom,
  startMember,
} from './raft-harness.test-support.js';

const IDS = ['a', 'b', 'c'];

function fillDisk(harness: Harness, member: Member, durationMs: number): void {
  member.isDiskFull = true;
  run(harness, durationMs);
  member.isDiskFull = false;
}

/** Proposes a command to the present leader and returns it if all members apply it within a second. */
function isAcknowledgedWithinOneSecond(harness: Harness, command: string): boolean {
  const leader = leaderOf(harness);
  if (!leader) return false;
  propose(harness, leader, command);
  run(harness, 1_000);
  return [...harness.members.values()].every(({ applied }) => applied.includes(command));
}

/** A member restarts with a full disk, and its log is compacted while it holds back what it has not written. */
const restarted = { member: 'c', lastsMs: 200, pauseMs: 0, isRestarted: true } as const;
const COMPACTED_WHILE_FULL = [
  { ...restarted, proposals: 1, compacted: 'a' },
  { ...restarted, proposals: 0, compacted: 'c' },
];

describe('full disks, one after another', () => {
  const outage = fc.record({
    member: fc.constantFrom(...IDS, 'leader'),
    lastsMs: fc.integer({ min: 200, max: 6_000 }),
    pauseMs: fc.integer({ min: 0, max: 2_500 }),
    proposals: fc.integer({ min: 0, max: 6 }),
    compacted: fc.constantFrom(...IDS, 'none'),
    isRestarted: fc.boolean(),
  });

  it('cost no acknowledged change, and the first change after the last one is acknowledged', () => {
    fc.assert(
      fc.property(fc.integer(), fc.array(outage, { maxLength: 8 }), (seed, outages) => {
        const harness = createHarness(IDS, seededRandom(seed));
        run(harness, 3_000);
        const acknowledged: string[] = [];
        for (const [turn, each] of outages.entries()) {
          const { lastsMs, pauseMs, proposals } = each;
          const id = each.member === 'leader' ? (leaderOf(harness)?.id ?? 'a') : each.member;
          const member = memberOf(harness, id);
          member.isDiskFull = true;
          for (let number = 0; number < proposals; number += 1) {
            const leader = leaderOf(harness);
            const command = `${turn}/${number}`;
            if (leader) propose(harness, leader, command);
            run(harness, lastsMs / proposals);
            if (leader?.applied.includes(command)) acknowledged.push(command);
          }
          fillDisk(harness, member, proposals === 0 ? lastsMs : 0);
          run(harness, pauseMs);
          if (each.compacted !== 'none') compact(harness, memberOf(harness, each.compacted));
          if (each.isRestarted) startMember(harness, member.id, member.disk);
        }
        run(harness, 2_500);
        expect(isAcknowledgedWithinOneSecond(harness, 'last')).toBe(true);
        for (const { applied } of harness.members.values())
          for (const command of acknowledged) expect(applied).toContain(command);
      }),
      { numRuns: 300, examples: [[0, COMPACTED_WHILE_FULL]] },
    );
  });
});

import { describe, expect, it } from 'vitest';
import {
  type Coverage,
  createCoverage,
  hasUncoveredCommits,
  needsPrimaryPosition,
  recordDeparture,
  recordPrimaryPosition,
  recordPrimaryStart,
  recordReplicaPosition,
  uncoveredPlaces,
  withdrawDeparture,
} from './coverage.js';

const at = (offset: number, term = 2) => ({ term, offset });

type Step = (coverage: Coverage<string>) => void;
const starts =
  (offset: number, nowMs: number): Step =>
  (coverage) => {
    recordPrimaryStart(coverage, at(offset), nowMs);
  };
const leaves =
  (server: string, nowMs: number): Step =>
  (coverage) => {
    recordDeparture(coverage, server, nowMs);
  };
const returns =
  (server: string): Step =>
  (coverage) => {
    withdrawDeparture(coverage, (place) => place === server);
  };
const primaryReports =
  (offset: number, requestedAtMs: number): Step =>
  (coverage) => {
    recordPrimaryPosition(coverage, at(offset), requestedAtMs, requestedAtMs + 10);
  };
const replicaReports =
  (offset: number, requestedAtMs: number): Step =>
  (coverage) => {
    recordReplicaPosition(coverage, at(offset), requestedAtMs);
  };

describe('coverage of acknowledged commits by the present replicas', () => {
  it.each<{ name: string; steps: Step[]; isUncovered: boolean }>([
    { name: 'of an owner without a primary', steps: [], isUncovered: false },
    { name: 'of a new primary', steps: [starts(40, 0)], isUncovered: true },
    {
      name: 'of a new primary that a replica has caught up with',
      steps: [starts(40, 0), replicaReports(40, 100)],
      isUncovered: false,
    },
    {
      name: 'of a new primary with replicas that are behind',
      steps: [starts(40, 0), replicaReports(39, 100)],
      isUncovered: true,
    },
    {
      name: 'after a replica has left',
      steps: [leaves('a', 0), replicaReports(99, 5_000)],
      isUncovered: true,
    },
    {
      name: 'after another replica has all that the primary had once the other was gone',
      steps: [leaves('a', 0), primaryReports(50, 1_000), replicaReports(50, 1_200)],
      isUncovered: false,
    },
    {
      name: 'while a server that said it leaves may still acknowledge commits',
      steps: [leaves('a', 0), primaryReports(50, 900), replicaReports(50, 1_200)],
      isUncovered: true,
    },
    {
      name: 'by what a replica had before the end was known',
      steps: [leaves('a', 0), primaryReports(50, 1_000), replicaReports(50, 1_005)],
      isUncovered: true,
    },
    {
      name: 'after the replica that had them has left as well',
      steps: [
        leaves('a', 0),
        primaryReports(50, 1_000),
        replicaReports(50, 1_200),
        leaves('b', 1_300),
      ],
      isUncovered: true,
    },
    {
      name: 'after a server that seemed gone has announced itself again',
      steps: [leaves('a', 0), returns('a')],
      isUncovered: false,
    },
    {
      name: 'after the next primary was promoted, whose log ends where the gap did at the latest',
      steps: [leaves('a', 0), starts(50, 2_000), replicaReports(50, 2_100)],
      isUncovered: false,
    },
  ])('$name: uncovered $isUncovered', ({ steps, isUncovered }) => {
    const coverage = createCoverage<string>(true);
    for (const step of steps) step(coverage);
    expect(hasUncoveredCommits(coverage)).toBe(isUncovered);
  });

  it('asks for the position of the primary and names the replicas that are gone', () => {
    const coverage = createCoverage<string>(true);
    leaves('a', 0)(coverage);
    expect(needsPrimaryPosition(coverage)).toBe(true);
    primaryReports(50, 1_000)(coverage);
    expect(needsPrimaryPosition(coverage)).toBe(false);
    expect(uncoveredPlaces(coverage)).toEqual(['a']);
  });
});

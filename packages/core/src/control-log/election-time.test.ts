import { describe, expect, it } from 'vitest';
import { type MemberId, toDiskId, toMemberId } from '../types/ids.js';
import { firstMembership, seededRandom } from './raft-harness.test-support.js';
import { createRaftState, type RaftState } from './raft-state.js';
import { stepRaft } from './raft.js';
import type { RaftEvent, RaftMessage } from './types.js';

/** Timing of the users' platform; regions are 12 ms apart, a sync takes 5 ms there. */
const TIMING = { heartbeatMs: 100, electionTimeoutMinMs: 320, electionTimeoutMaxMs: 850 };
const REGIONS = ['attica', 'cyclades', 'crete', 'attica', 'cyclades'];
const ONE_WAY_MS = 12;
const IN_REGION_MS = 0.5;
const SYNC_MS = 5;
const TICK_MS = 20;

interface Timed {
  readonly atMs: number;
  readonly run: () => void;
}

/** Members whose messages and syncs take the time that they take on the platform. */
function createTimedCluster(seed: number) {
  const random = seededRandom(seed);
  const ids = REGIONS.map((_region, index) => `10.${index + 1}.0.${10 + index * 7}`);
  const membership = firstMembership(ids);
  const queue: Timed[] = [];
  const frozen = new Set<MemberId>();
  let nowMs = 0;
  const members = new Map<MemberId, RaftState<string>>();
  for (const [index, id] of ids.entries()) {
    const snapshot = { index: 0, term: 0, membership };
    const identity = {
      selfId: toMemberId(id),
      diskId: toDiskId(`initial-${id}`),
      timing: TIMING,
      randomUnit: random,
    };
    const durable = { currentTerm: 0, votedFor: undefined, snapshot, entries: [] };
    members.set(toMemberId(id), createRaftState<string>(identity, durable, nowMs));
    at(index * 3 + random() * TICK_MS, () => {
      tick(toMemberId(id));
    });
  }

  function at(atMs: number, run: () => void): void {
    queue.push({ atMs, run });
  }

  function tick(id: MemberId): void {
    step(id, { kind: 'tick' });
    at(nowMs + TICK_MS, () => {
      tick(id);
    });
  }

  function step(id: MemberId, event: RaftEvent<string>): void {
    const state = members.get(id);
    if (!state || frozen.has(id)) return;
    let sentAtMs = nowMs;
    for (const effect of stepRaft(state, event, nowMs)) {
      if (effect.kind === 'persist-vote' || effect.kind === 'persist-entries') sentAtMs += SYNC_MS;
      if (effect.kind === 'send') send(id, effect.to, effect.message, sentAtMs);
    }
  }

  function send(
    from: MemberId,
    to: MemberId,
    message: RaftMessage<string>,
    sentAtMs: number,
  ): void {
    const regionOf = (id: MemberId) => REGIONS[ids.indexOf(id)];
    const wayMs = regionOf(from) === regionOf(to) ? IN_REGION_MS : ONE_WAY_MS;
    at(sentAtMs + wayMs, () => {
      step(to, { kind: 'message', from, message });
    });
  }

  function leader(): MemberId | undefined {
    const found = [...members].find(([id, { role }]) => role === 'leader' && !frozen.has(id));
    return found?.[0];
  }

  /** Lets time pass until there is a leader, or at most for `forMs`; returns the time it took. */
  function runUntilLeader(forMs: number): number {
    const startMs = nowMs;
    run(startMs + forMs, () => leader() !== undefined);
    return nowMs - startMs;
  }

  function run(untilMs: number, isDone: () => boolean): void {
    while (nowMs < untilMs && !isDone()) {
      queue.sort((left, right) => left.atMs - right.atMs);
      const next = queue.shift();
      if (!next) return;
      nowMs = next.atMs;
      next.run();
    }
  }

  /** All members lose their power, and start again one after the other within `withinMs`. */
  function restartAll(withinMs: number): void {
    const startMs = nowMs + 1_000;
    for (const [id, { currentTerm, votedFor, snapshot, entries }] of members) {
      frozen.add(id);
      const durable = { currentTerm, votedFor, snapshot, entries: [...entries] };
      at(startMs + random() * withinMs, () => {
        const selfId = id;
        const diskId = toDiskId(`initial-${id}`);
        const identity = { selfId, diskId, timing: TIMING, randomUnit: random };
        members.set(id, createRaftState<string>(identity, durable, nowMs));
        frozen.delete(id);
      });
    }
    run(startMs + withinMs, () => false);
  }

  return {
    restartAll,
    freeze: (id: MemberId) => frozen.add(id),
    others: (id: MemberId) => [...members.keys()].filter((other) => other !== id),
    leader,
    runUntilLeader,
    run,
    now: () => nowMs,
  };
}

/** Times until another member leads after the leader was frozen, sorted. */
function electionTimes(count: number, lostBesides: number): number[] {
  const times: number[] = [];
  for (let seed = 1; seed <= count; seed += 1) {
    const cluster = createTimedCluster(seed);
    cluster.runUntilLeader(10_000);
    cluster.run(cluster.now() + 500 + seed * 7, () => false);
    const former = cluster.leader();
    if (former === undefined) throw new Error('no leader was elected');
    cluster.freeze(former);
    for (const id of cluster.others(former).slice(0, lostBesides)) cluster.freeze(id);
    times.push(cluster.runUntilLeader(20_000));
  }
  return times.sort((left, right) => left - right);
}

describe('after a loss of power everywhere', () => {
  // Members start within 300 ms of each other; entries and callers wait for a leader meanwhile.
  it('a leader is elected soon after the last member has started', () => {
    const times: number[] = [];
    for (let seed = 1; seed <= 200; seed += 1) {
      const cluster = createTimedCluster(seed);
      cluster.runUntilLeader(10_000);
      cluster.run(cluster.now() + 500, () => false);
      cluster.restartAll(300);
      times.push(cluster.runUntilLeader(20_000));
    }
    times.sort((left, right) => left - right);
    expect(times[100]).toBeLessThan(200);
    expect(times.at(-1)).toBeLessThan(700);
  });
});

describe('the time without a leader', () => {
  // An entry's lease lasts 1,050 ms from a renewal that may be 380 ms old: 670 ms are left for an election.
  it.each([
    { lostBesides: 0, mostMs: 450 },
    { lostBesides: 1, mostMs: 600 },
  ])('with $lostBesides more members lost is at most $mostMs ms', ({ lostBesides, mostMs }) => {
    const times = electionTimes(200, lostBesides);
    expect(times.at(-1)).toBeLessThan(mostMs);
  });
});

import { beforeEach, describe, expect, it } from 'vitest';
import { toServerName } from '../types/ids.js';
import {
  classifyServed,
  createServerHealth,
  type Evidence,
  recordEnded,
  recordPending,
  takesRead,
} from './server-health.js';
import { type HealthDecision, type JudgedServer, updateStages } from './set-aside.js';

/** How a simulated server ends a statement; `undefined`: it does not answer. */
type Behaviour = (
  number: number,
) => { readonly evidence: Evidence; readonly serviceMs: number } | undefined;

const healthy: Behaviour = () => ({ evidence: 'served', serviceMs: 10 });
const failing =
  (evidence: Evidence): Behaviour =>
  () => ({ evidence, serviceMs: 10 });
const slow: Behaviour = () => ({ evidence: 'served', serviceMs: 150 });
const hanging: Behaviour = () => undefined;

interface TestServer extends JudgedServer {
  behaviour: Behaviour;
  sentCount: number;
  /** Fraction of a statement that the share has not yet sent. */
  remainder: number;
}

const STEP_MS = 20;
const MAX_PENDING = 4;

describe('updateStages', () => {
  let nowMs: number;
  let servers: TestServer[];
  let decisions: HealthDecision[];

  beforeEach(() => {
    nowMs = 0;
    decisions = [];
    servers = createServers(3);
    run(2_000);
  });

  function createServers(count: number): TestServer[] {
    return Array.from({ length: count }, (_, index) => ({
      server: toServerName(`s${index}`),
      health: createServerHealth(),
      serviceMs: 10,
      behaviour: healthy,
      sentCount: 0,
      remainder: 0,
    }));
  }

  /** Sends each server a statement every 20 ms, or its share of that. */
  function run(durationMs: number): void {
    for (const untilMs = nowMs + durationMs; nowMs < untilMs; nowMs += STEP_MS) {
      decisions.push(...updateStages(servers, nowMs));
      for (const server of servers) sendShare(server);
    }
  }

  function sendShare(server: TestServer): void {
    server.remainder += server.health.share;
    if (server.remainder < 1 || server.health.pending.size >= MAX_PENDING) return;
    server.remainder -= 1;
    server.sentCount += 1;
    const statement = recordPending(server.health, nowMs);
    const end = server.behaviour(server.sentCount);
    if (!end) return;
    const evidence =
      end.evidence === 'served' ? classifyServed(server.health, end.serviceMs) : end.evidence;
    recordEnded(server.health, statement, evidence, nowMs);
  }

  function serverAt(index: number): TestServer {
    const server = servers[index];
    if (!server) throw new Error(`no server ${index}`);
    return server;
  }

  const stages = () => servers.map(({ health }) => health.stage);

  it.each<{ name: string; behaviour: Behaviour }>([
    { name: 'errors', behaviour: failing('error') },
    { name: 'timeouts', behaviour: failing('timeout') },
    { name: 'a hang', behaviour: hanging },
    { name: 'muted answers', behaviour: failing('mute') },
    { name: 'resets', behaviour: failing('reset') },
    { name: 'slowness', behaviour: slow },
    { name: 'false health', behaviour: failing('misreported') },
  ])('sets a server aside within one second of $name', ({ behaviour }) => {
    serverAt(1).behaviour = behaviour;
    run(1_000);
    expect(decisions[0]).toMatchObject({ server: 's1', from: 'in-service', to: 'set-aside' });
    expect(stages().filter((stage) => stage !== 'in-service')).toHaveLength(1);
  });

  it('reduces the reads of a server in proportion to its failures', () => {
    serverAt(1).behaviour = (number) => ({
      evidence: number % 10 < 3 ? 'error' : 'served',
      serviceMs: 10,
    });
    run(1_000);
    expect(serverAt(1).health.share).toBeGreaterThan(0.6);
    expect(serverAt(1).health.share).toBeLessThan(0.8);
    expect(decisions).toEqual([]);
  });

  it('sends at most one read in twenty to a server that stays broken', () => {
    serverAt(1).behaviour = failing('error');
    run(1_000);
    const before = serverAt(1).sentCount;
    run(20_000);
    expect(serverAt(1).sentCount - before).toBeLessThanOrEqual((20_000 / STEP_MS) * 0.05);
    expect(serverAt(1).sentCount - before).toBeGreaterThan(0);
  });

  it('returns a server that has recovered in steps', () => {
    serverAt(1).behaviour = failing('reset');
    run(800);
    expect(stages()[1]).toBe('set-aside');
    serverAt(1).behaviour = healthy;
    const shares = new Set<number>();
    for (let step = 0; step < 500; step += 1) {
      run(STEP_MS);
      shares.add(serverAt(1).health.share);
    }
    expect(decisions.map(({ to }) => to)).toEqual([
      'set-aside',
      'probing',
      'returning',
      'in-service',
    ]);
    expect([...shares].filter((share) => share > 0)).toEqual([0.05, 0.25, 0.5, 1]);
  });

  // Guards against a server of a quiet group that never returns because its probes are seconds apart.
  it('counts probes that are further apart than the window of evidence', () => {
    serverAt(1).behaviour = failing('reset');
    run(500);
    serverAt(1).behaviour = healthy;
    run(600);
    for (let probe = 0; probe < 3; probe += 1) {
      nowMs += 5_000;
      recordEnded(serverAt(1).health, recordPending(serverAt(1).health, nowMs), 'served', nowMs);
      updateStages(servers, nowMs);
    }
    expect(stages()[1]).toBe('returning');
  });

  it('admits reads by the share, and one probe at a time', () => {
    const { health } = serverAt(1);
    Object.assign(health, { stage: 'probing', share: 0.05 });
    expect(takesRead(health, 0, 0.04)).toBe(true);
    expect(takesRead(health, 0, 0.06)).toBe(false);
    expect(takesRead(health, 1, 0.04)).toBe(false);
    Object.assign(health, { stage: 'set-aside', share: 0 });
    expect(takesRead(health, 0, 0)).toBe(false);
    Object.assign(health, { stage: 'in-service', share: 1 });
    expect(takesRead(health, 9, 0.99)).toBe(true);
  });

  // Guards against a server that fails under load alone and would take reads down with each return.
  it('keeps a server aside for longer each time that its probes fail', () => {
    serverAt(1).behaviour = failing('error');
    run(30_000);
    const holdsMs = decisions.filter(({ to }) => to === 'set-aside').map(({ holdMs }) => holdMs);
    expect(holdsMs.slice(0, 6)).toEqual([500, 1_000, 2_000, 4_000, 8_000, 8_000]);
  });

  it.each([
    { count: 1, expected: 0 },
    { count: 2, expected: 1 },
    { count: 3, expected: 1 },
    { count: 4, expected: 2 },
    { count: 5, expected: 2 },
  ])('sets at most $expected of $count servers aside', ({ count, expected }) => {
    servers = createServers(count);
    run(2_000);
    // One server fails after the other, so that each is an outlier when it begins.
    for (const server of servers) {
      server.behaviour = failing('reset');
      run(200);
      const out = stages().filter((stage) => stage === 'set-aside' || stage === 'probing');
      expect(out.length).toBeLessThanOrEqual(expected);
    }
  });

  // Guards against statements of a customer that fail everywhere, and against overload.
  it.each<{ name: string; behaviour: Behaviour }>([
    { name: 'fail', behaviour: failing('error') },
    { name: 'become slow', behaviour: slow },
  ])('sets no server aside if all $name', ({ behaviour }) => {
    for (const server of servers) Object.assign(server, { behaviour, serviceMs: 150 });
    run(3_000);
    expect(decisions).toEqual([]);
    expect(servers.map(({ health }) => health.share)).toEqual([1, 1, 1]);
  });

  it('sets a server aside on one path only', () => {
    const otherProcess = createServers(3);
    serverAt(1).behaviour = failing('reset');
    run(1_000);
    updateStages(otherProcess, nowMs);
    expect(stages()[1]).not.toBe('in-service');
    expect(otherProcess.map(({ health }) => health.stage)).toEqual(Array(3).fill('in-service'));
  });

  it('gives the inputs of a decision with their age', () => {
    serverAt(1).behaviour = failing('mute');
    run(1_000);
    const [first] = decisions;
    expect(first?.inputs.failures.mute).toBeGreaterThan(3);
    expect(first?.inputs.failureRatio).toBeGreaterThanOrEqual(0.5);
    expect(first?.inputs.ageMs).toBeLessThanOrEqual(1_000);
    expect(first?.peersRatio).toBe(0);
  });

  it('does not take statements sent before a stage as evidence in it', () => {
    const { health } = serverAt(1);
    const early = recordPending(health, nowMs);
    serverAt(1).behaviour = failing('error');
    run(1_000);
    recordEnded(health, early, 'served', nowMs);
    expect(health.buckets.flatMap(({ counts }) => [...counts.keys()])).not.toContain('served');
  });
});

import {
  recordPrimaryPosition,
  recordReplicaPosition,
  type ServerAnnouncement,
  type ServerName,
} from '@bramleykeel/core';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { addFakeReplica, createFakeGroup, type FakeGroup } from '../test-support/fake-group.js';
import { orderPromotion } from './order-promotion.js';
import {
  closeStatementOwner,
  startStatementOwner,
  applyServerAnnouncement,
  handleServerLeave,
} from './owner-lifecycle.js';
import { createServerState, type StatementOwner } from './owner-state.js';
import { recordServerPlaces } from './server-places.js';
import { takeOver } from './take-over.js';
import { checkReplicas } from './watch-replicas.js';

describe('an owner that has received no announcement', () => {
  let fake: FakeGroup;
  let next: StatementOwner;

  beforeEach(() => {
    fake = createFakeGroup(3);
    recordServerPlaces(fake.owner);
    const { group, environment } = fake.owner;
    next = startStatementOwner(group, 2, environment);
  });

  afterEach(() => {
    closeStatementOwner(next);
  });

  it('finds the primary at the addresses that the former owner has recorded', async () => {
    await takeOver(next);
    expect(next.leadership).toMatchObject({ kind: 'led', server: 'i-0' });
    expect(next.servers.size).toBe(3);
  });

  it('serves as soon as the recorded primary has answered, while a replica is silent', async () => {
    const [primary, silent] = fake.servers;
    if (!primary || !silent) throw new Error('the group has no servers');
    Object.assign(fake.record, { primary: primary.name, term: 3, proposedTerm: 3 });
    silent.reachability = 'dark';
    const startedAtMs = performance.now();
    await takeOver(next);
    expect(next.leadership).toMatchObject({ kind: 'led', server: 'i-0' });
    expect(performance.now() - startedAtMs).toBeLessThan(100);
  });

  it('asks all servers if the recorded promotion is unresolved', async () => {
    const [primary, other] = fake.servers;
    if (!primary || !other) throw new Error('the group has no servers');
    Object.assign(fake.record, { primary: primary.name, term: 3, proposedTerm: 4 });
    Object.assign(other, { role: 'primary', term: 4 });
    await takeOver(next);
    expect(next.leadership).toMatchObject({ kind: 'led', server: other.name });
  });

  it('prefers an announcement to the recorded address, whatever its sequence', () => {
    const [first] = next.servers.values();
    if (!first) throw new Error('no recorded server was loaded');
    applyServerAnnouncement(next, {
      ...first.announcement,
      address: '10.0.0.9:1',
      bornMs: 7,
      sequence: 0,
    });
    expect(next.servers.get(first.announcement.server)?.announcement.address).toBe('10.0.0.9:1');
  });

  it('keeps a server and its connections when it announces itself at the recorded address', async () => {
    await takeOver(next);
    const [first] = next.servers.values();
    if (!first) throw new Error('no recorded server was loaded');
    const openCount = first.connectionCount;
    const announced = { ...first.announcement, sequence: 0 };
    applyServerAnnouncement(next, announced);
    expect(next.servers.get(announced.server)).toBe(first);
    expect(first.isRetired).toBe(false);
    expect(first.connectionCount).toBeGreaterThanOrEqual(openCount);
    applyServerAnnouncement(next, { ...announced, bornMs: 8 });
    expect(next.servers.get(announced.server)).not.toBe(first);
    expect(first.isRetired).toBe(true);
  });

  it('keeps a server whose start time is not on record', () => {
    fake.record.places = fake.record.places?.map(({ server, address, zone, slots }) => {
      return { server, address, zone, slots };
    });
    closeStatementOwner(next);
    next = startStatementOwner(fake.owner.group, 3, fake.owner.environment);
    const [first] = next.servers.values();
    if (!first) throw new Error('no recorded server was loaded');
    applyServerAnnouncement(next, { ...first.announcement, bornMs: 7, sequence: 1 });
    expect(next.servers.get(first.announcement.server)).toBe(first);
  });

  it('waits when no recorded server is primary', async () => {
    for (const server of fake.servers) server.role = 'replica';
    await takeOver(next);
    expect(next.leadership.kind).toBe('unknown');
    expect(fake.promotions).toEqual([]);
  });
});

describe('the recorded addresses of servers', () => {
  let fake: FakeGroup;

  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['performance'] });
    fake = createFakeGroup(3);
    recordServerPlaces(fake.owner);
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  function recordedServers(): string[] | undefined {
    vi.advanceTimersByTime(2_100);
    recordServerPlaces(fake.owner);
    return fake.record.places?.map(({ server }) => server);
  }

  it('are updated when they change, at a limited rate', () => {
    recordServerPlaces(fake.owner);
    expect(fake.commands).toHaveLength(1);
    const [server] = fake.owner.servers.values();
    if (server) server.announcement = { ...server.announcement, zone: 'elsewhere' };
    recordServerPlaces(fake.owner);
    expect(fake.commands).toHaveLength(1);
    expect(recordedServers()).toEqual(['i-0', 'i-1', 'i-2']);
    expect(fake.record.places?.[0]?.zone).toBe('elsewhere');
  });

  // Guards against LOST: the next owner took the replicas to have what only the primary had.
  it('say at once that replicas have what the primary started with', async () => {
    Object.assign(fake.record, { primary: 'i-0', term: 4, proposedTerm: 4 });
    const coveredTerms = () =>
      fake.commands.flatMap((command) => {
        return command.kind === 'group/places' ? [command.coveredTerm] : [];
      });
    await takeOver(fake.owner);
    recordServerPlaces(fake.owner);
    expect(coveredTerms()).toEqual([undefined]);
    await checkReplicas(fake.owner);
    recordServerPlaces(fake.owner);
    recordServerPlaces(fake.owner);
    expect(coveredTerms()).toEqual([undefined, 4]);
  });

  // Guards against LOST: a replica that had joined in the last two seconds was not on record.
  it('include a server that has joined at once, at any pace', async () => {
    for (let round = 3; round < 8; round += 1) {
      const { server } = joinReplica();
      await Promise.resolve();
      expect(fake.record.places?.map((place) => place.server)).toContain(server);
    }
  });

  it('include servers that join while control has not answered, with its answer', async () => {
    let release: () => void = () => undefined;
    fake.commandGate = new Promise<void>((resolve) => {
      release = resolve;
    });
    const proposals = () => fake.commands.filter(({ kind }) => kind === 'group/places');
    const names = [joinReplica(), joinReplica(), joinReplica()].map(({ server }) => server);
    expect(proposals()).toHaveLength(2);
    delete fake.commandGate;
    release();
    await vi.waitFor(() => {
      expect(fake.record.places?.map(({ server }) => server)).toEqual(
        expect.arrayContaining(names),
      );
    });
    expect(proposals()).toHaveLength(3);
  });

  it('are proposed again, but not with each commit, if control has not applied them', async () => {
    const proposals = () => fake.commands.filter(({ kind }) => kind === 'group/places');
    fake.appliesCommands = false;
    joinReplica();
    const count = proposals().length;
    await new Promise(setImmediate);
    expect(fake.owner.recordedServers.isUncertain).toBe(true);
    for (let round = 0; round < 10; round += 1) recordServerPlaces(fake.owner);
    expect(proposals()).toHaveLength(count);
    fake.appliesCommands = true;
    vi.advanceTimersByTime(60);
    recordServerPlaces(fake.owner);
    await vi.waitFor(() => {
      expect(fake.record.places?.map(({ server }) => server)).toContain('i-3');
    });
  });

  it('name the successor before it is told to lead', async () => {
    const { server } = addFakeReplica(fake);
    const announced = { ...fake.owner.servers.get('i-1' as ServerName)?.announcement };
    const announcement = { ...announced, server, address: '10.0.0.9:1' } as ServerAnnouncement;
    fake.owner.servers.set(server, createServerState(announcement, performance.now()));
    expect(await orderPromotion(fake.owner, server)).toBe(true);
    expect(fake.record.places).toContainEqual(expect.objectContaining({ server }));
  });

  function joinReplica(): ServerAnnouncement {
    const announcement = addFakeReplica(fake);
    applyServerAnnouncement(fake.owner, announcement);
    return announcement;
  }

  it('include servers that are leaving, and those whose commits the others may lack', async () => {
    const server = fake.owner.servers.get('i-2' as ServerName);
    if (server) server.announcement = { ...server.announcement, isLeaving: true };
    expect(recordedServers()).toEqual(['i-0', 'i-1', 'i-2']);
    handleServerLeave(fake.owner, 'i-2' as ServerName);
    await new Promise(setImmediate);
    expect(recordedServers()).toEqual(['i-0', 'i-1', 'i-2']);
    const { coverage } = fake.owner;
    const position = { term: 3, offset: 50 };
    recordPrimaryPosition(coverage, position, performance.now(), performance.now());
    recordReplicaPosition(coverage, position, performance.now());
    expect(recordedServers()).toEqual(['i-0', 'i-1']);
  });

  it('name the former incarnation of a server that has restarted without its log', () => {
    const server = fake.owner.servers.get('i-2' as ServerName);
    if (!server) throw new Error('the group has no third server');
    applyServerAnnouncement(fake.owner, { ...server.announcement, bornMs: 2 });
    recordedServers();
    expect(fake.record.places?.[2]).toMatchObject({ server: 'i-2', bornMs: 1 });
  });
});

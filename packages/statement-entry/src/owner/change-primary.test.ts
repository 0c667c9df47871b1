import {
  recordAcknowledged,
  type ServerName,
  type StatementAccess,
  type StatementOutcome,
  type StatementRequest,
  toCustomerName,
} from '@bramleykeel/core';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { createFakeGroup, type FakeGroup, type FakeServer } from '../test-support/fake-group.js';
import { changePrimary } from './change-primary.js';
import { dispatch } from './dispatch.js';
import { LOST_FOR_GOOD_MS } from './membership.js';
import { acceptStatement } from './owner-app.js';
import {
  applyServerAnnouncement,
  closeStatementOwner,
  handleServerLeave,
  startStatementOwner,
} from './owner-lifecycle.js';
import type { StatementOwner } from './owner-state.js';
import { recordServerPlaces } from './server-places.js';
import { takeOver } from './take-over.js';
import { checkReplicas } from './watch-replicas.js';

const at = (offset: number) => ({ term: 3, offset });

let fake: FakeGroup;
let owner: StatementOwner;
let primary: FakeServer;
let near: FakeServer;
let far: FakeServer;

beforeEach(async () => {
  fake = createFakeGroup(3);
  ({ owner } = fake);
  [primary, near, far] = fake.servers as [FakeServer, FakeServer, FakeServer];
  await takeOver(owner);
});

afterEach(() => {
  closeStatementOwner(owner);
});

function serverState({ name }: FakeServer) {
  const server = owner.servers.get(name);
  if (!server) throw new Error(`the owner does not know ${name}`);
  return server;
}

/** Commits up to `offset` are acknowledged because one replica has received them, while the other is behind. */
function acknowledgeAt(receiver: FakeServer, behind: FakeServer, offset: number): void {
  primary.position = at(offset);
  receiver.position = at(offset);
  behind.position = at(41);
  if (!owner.acknowledgedPositions) throw new Error('the owner has no primary');
  recordAcknowledged(owner.acknowledgedPositions, at(offset), performance.now());
}

function promotedServers(): ServerName[] {
  return fake.promotions.map(({ server }) => server);
}

/** The group promotes nobody while its primary is dark, and the primary leads on once it is back. */
async function expectWaitForPrimary(durationMs: number): Promise<void> {
  await delay(durationMs);
  expect(promotedServers()).toEqual([]);
  primary.reachability = 'up';
  await until(() => owner.leadership.kind === 'led');
  expect(owner.leadership).toMatchObject({ server: primary.name });
  expect(promotedServers()).toEqual([]);
}

async function until(condition: () => boolean): Promise<void> {
  const untilMs = performance.now() + 3_000;
  while (!condition() && performance.now() < untilMs) await delay(5);
  expect(condition()).toBe(true);
}

describe('a change of primary keeps the commits that only a replica had received', () => {
  const ways: readonly { way: string; end: () => void }[] = [
    {
      way: 'left',
      end: () => {
        handleServerLeave(owner, far.name);
      },
    },
    {
      way: 'restarted without its log',
      end: () => {
        const { announcement } = serverState(far);
        far.position = { term: 0, offset: 0 };
        applyServerAnnouncement(owner, { ...announcement, bornMs: 2 });
      },
    },
    {
      way: 'was replaced at its address',
      end: () => {
        const { announcement } = serverState(far);
        const next: FakeServer = { ...far, name: 'i-9' as ServerName, position: at(0) };
        fake.servers.push(next);
        applyServerAnnouncement(owner, { ...announcement, server: next.name, bornMs: 2 });
      },
    },
  ];

  // Guards against LOST: a replica that is behind was promoted after the other one had left.
  it.each(ways)('that has $way', async ({ end }) => {
    acknowledgeAt(far, near, 50);
    end();
    primary.reachability = 'dark';
    void changePrimary(owner, 'the primary does not answer', false);
    await expectWaitForPrimary(1_200);
  });

  it('and waits for nothing once the other replica has them too', async () => {
    acknowledgeAt(far, near, 50);
    handleServerLeave(owner, far.name);
    near.position = at(50);
    await delay(1_050);
    await checkReplicas(owner);
    primary.position = at(51);
    if (owner.acknowledgedPositions)
      recordAcknowledged(owner.acknowledgedPositions, at(51), performance.now());
    primary.reachability = 'dark';
    // The position is the end of the primary's log, which no replica has reached and none may return with.
    owner.lastLedMs = performance.now() - LOST_FOR_GOOD_MS;
    void changePrimary(owner, 'the primary does not answer', false);
    await until(() => owner.leadership.kind === 'led');
    expect(promotedServers()).toEqual([near.name]);
  });

  it('and refuses writes at once while it waits for a server', async () => {
    acknowledgeAt(far, near, 50);
    handleServerLeave(owner, far.name);
    primary.reachability = 'dark';
    void changePrimary(owner, 'the primary does not answer', false);
    await delay(1_000);
    const caller = openCaller();
    const startedAtMs = performance.now();
    const outcome = await caller.run('write', 'WRITE x 1', null);
    expect(outcome).toMatchObject({ kind: 'not-run', reason: 'no-primary' });
    expect(performance.now() - startedAtMs).toBeLessThan(100);
    primary.reachability = 'up';
    await until(() => owner.leadership.kind === 'led');
  });

  it('and does not wait for an unreachable replica if another one has all of them', async () => {
    near.position = at(50);
    acknowledgeAt(near, far, 50);
    far.reachability = 'dark';
    primary.reachability = 'dark';
    const startedAtMs = performance.now();
    void changePrimary(owner, 'the primary does not answer', false);
    await until(() => owner.leadership.kind === 'led');
    expect(promotedServers()).toEqual([near.name]);
    expect(performance.now() - startedAtMs).toBeLessThan(2_000);
  });
});

describe('a change of primary while the owner has not heard of a replica that has acknowledged commits', () => {
  let unknown: FakeServer;

  beforeEach(async () => {
    for (const server of fake.servers) server.position = at(41);
    await checkReplicas(owner);
    unknown = { ...far, name: 'i-9' as ServerName, position: at(50), reachability: 'dark' };
    fake.servers.push(unknown);
    acknowledgeAt(unknown, near, 50);
    primary.reachability = 'dark';
    void changePrimary(owner, 'the primary does not answer', false);
  });

  // Guards against LOST: the longest log of the known replicas was promoted, although it lacked acknowledged commits.
  it('waits for the primary if no known replica reaches what is acknowledged', async () => {
    await expectWaitForPrimary(1_200);
  });

  it('promotes a replica that announces itself meanwhile and reaches it', async () => {
    await delay(1_000);
    expect(promotedServers()).toEqual([]);
    unknown.reachability = 'up';
    const { announcement } = serverState(far);
    applyServerAnnouncement(owner, {
      ...announcement,
      server: unknown.name,
      address: '10.0.0.9:1',
    });
    await until(() => owner.leadership.kind === 'led');
    expect(promotedServers()).toEqual([unknown.name]);
  });
});

describe('a planned change of primary', () => {
  const transaction = { number: 1, isReadOnly: false };

  // Guards against LOST: the former primary acknowledged commits that the chosen successor did not have.
  it('passes on no commit of an open transaction after the choice of the successor', async () => {
    const caller = openCaller();
    await caller.run('write', 'WRITE x 1', { ...transaction, isFirst: true });
    fake.promoteOutcomes.push('try-later', 'try-later', 'accepted');
    void changePrimary(owner, 'the primary is leaving', true);
    await until(() => fake.promotions.length > 0);
    const outcome = await caller.run('commit', 'COMMIT', { ...transaction, isFirst: false });
    expect(outcome.kind).toBe('aborted');
    expect(primary.orders).not.toContainEqual(expect.objectContaining({ text: 'COMMIT' }));
    await until(() => owner.leadership.kind === 'led');
  });

  // Guards against LOST: a commit that was running during the choice was acknowledged after it.
  it('fences a primary that still runs a commit, and passes on none that the successor lacks', async () => {
    const caller = openCaller();
    await caller.run('write', 'WRITE x 1', { ...transaction, isFirst: true });
    primary.statementMs = 900;
    primary.position = at(41);
    const commit = caller.run('commit', 'COMMIT', { ...transaction, isFirst: false });
    const change = changePrimary(owner, 'the primary is leaving', true);
    expect(await commit).toMatchObject({ kind: 'unknown' });
    await change;
    expect(primary.orders).toContainEqual(expect.objectContaining({ kind: 'demote' }));
    expect(promotedServers()).toEqual([near.name]);
  });

  it('lets open transactions commit before the choice', async () => {
    const caller = openCaller();
    await caller.run('write', 'WRITE x 1', { ...transaction, isFirst: true });
    primary.statementMs = 60;
    const commit = caller.run('commit', 'COMMIT', { ...transaction, isFirst: false });
    const change = changePrimary(owner, 'the primary is leaving', true);
    expect(await commit).toMatchObject({ kind: 'done' });
    await change;
    expect(promotedServers()).toEqual([near.name]);
    expect(primary.orders).not.toContainEqual(expect.objectContaining({ kind: 'demote' }));
  });
});

describe('a leaving server with the longest log', () => {
  // Guards against DRAIN: statements that had waited for a primary went to one that was about to end.
  it('is promoted for its log, and replaced before any statement starts', async () => {
    const state = serverState(near);
    state.announcement = { ...state.announcement, isLeaving: true };
    near.position = at(50);
    far.position = at(45);
    primary.reachability = 'dark';
    const change = changePrimary(owner, 'the primary does not answer', false);
    const caller = openCaller();
    const write = caller.run('write', 'WRITE x 1', null);
    await change;
    expect(owner.leadership).toMatchObject({ kind: 'led', server: near.name });
    dispatch(owner);
    far.position = at(50);
    const next = changePrimary(owner, 'the primary is leaving', true);
    expect(await write).toMatchObject({ kind: 'done' });
    await next;
    expect(promotedServers()).toEqual([near.name, far.name]);
    expect(near.orders).not.toContainEqual(expect.objectContaining({ kind: 'run' }));
  });
});

describe('acknowledgements that arrive late', () => {
  // Guards against LOST: a commit of the last primary but one was passed on after the next change.
  it('are not passed on after two changes of primary', async () => {
    const caller = openCaller();
    const transaction = { number: 1, isReadOnly: false };
    await caller.run('write', 'WRITE x 1', { ...transaction, isFirst: true });
    primary.position = at(41);
    primary.statementMs = 1_800;
    const commit = caller.run('commit', 'COMMIT', { ...transaction, isFirst: false });
    await changePrimary(owner, 'the primary is leaving', true);
    serverState(near).position = near.position;
    const second = changePrimary(owner, 'the next one is leaving', true);
    expect(await commit).toMatchObject({ kind: 'unknown' });
    await second;
  });

  it('are passed on up to what each server holds whose promotion may still be carried out', async () => {
    near.position = at(41);
    far.position = at(45);
    primary.position = at(41);
    fake.promoteOutcomes.push('refused');
    const change = changePrimary(owner, 'the primary is leaving', true);
    await until(() => fake.promotions.length > 0);
    expect(owner.leadership).toMatchObject({ chosenPosition: at(45) });
    far.position = at(43);
    fake.promoteOutcomes.push('refused');
    await until(() => fake.promotions.length > 1);
    expect(owner.leadership).toMatchObject({ chosenPosition: at(43) });
    far.position = at(47);
    await change;
    expect(owner.leadership).toMatchObject({ kind: 'led', chosenPosition: at(43) });
  });
});

describe('a new owner that finds no primary', () => {
  /** Starts it when a replica of which nobody has heard would have returned. */
  function startOwnerAfterSilence(): void {
    owner = startStatementOwner(owner.group, 2, owner.environment);
    owner.lastLedMs = performance.now() - LOST_FOR_GOOD_MS;
  }

  beforeEach(async () => {
    acknowledgeAt(near, far, 50);
    const leaving = serverState(near);
    leaving.announcement = { ...leaving.announcement, isLeaving: true };
    Object.assign(fake.record, { primary: primary.name, term: 3, proposedTerm: 3 });
    await checkReplicas(owner);
    recordServerPlaces(owner);
    closeStatementOwner(owner);
    primary.reachability = 'dark';
  });

  // Guards against LOST: an unreachable replica was given up although the owner knew no acknowledged position.
  it('waits for an unreachable replica, also one that was leaving', async () => {
    near.reachability = 'dark';
    startOwnerAfterSilence();
    await delay(7_000);
    expect(promotedServers()).toEqual([]);
    near.reachability = 'up';
    await until(() => owner.leadership.kind === 'led');
    expect(promotedServers()).toEqual([near.name]);
  }, 15_000);

  it('waits for the primary if a replica has restarted since the record', async () => {
    near.position = { term: 0, offset: 0 };
    owner = startStatementOwner(owner.group, 2, owner.environment);
    const { announcement } = serverState(near);
    applyServerAnnouncement(owner, { ...announcement, bornMs: 2, sequence: 1 });
    await expectWaitForPrimary(5_000);
  }, 15_000);

  // Guards against LOST: the replicas were taken to have all commits, though the primary was promoted for those it alone had.
  it('waits for the primary if replicas are not known to have what it started with', async () => {
    Object.assign(fake.record, { term: 4, proposedTerm: 4 });
    owner = startStatementOwner(owner.group, 2, owner.environment);
    await expectWaitForPrimary(5_000);
  }, 15_000);

  // Guards against LOST: nobody knew of a replica that had joined right before, and all known ones were fenced.
  it('waits for the primary, since a replica may be unknown', async () => {
    owner = startStatementOwner(owner.group, 2, owner.environment);
    await expectWaitForPrimary(5_000);
  }, 15_000);

  // Guards against a wait for a server that has answered: the former owner was lost between the fence and the promotion.
  it('recognises the primary that the former owner has fenced', async () => {
    Object.assign(primary, { role: 'replica', heldTerm: 4, position: at(52) });
    owner = startStatementOwner(owner.group, 2, owner.environment);
    await delay(3_100);
    primary.reachability = 'up';
    await until(() => owner.leadership.kind === 'led');
    expect(promotedServers()).toEqual([primary.name]);
  }, 15_000);

  it('does not take a process for it that has started since the record', async () => {
    Object.assign(primary, { role: 'replica', heldTerm: 4, position: at(0) });
    primary.reachability = 'up';
    owner = startStatementOwner(owner.group, 2, owner.environment);
    const { announcement } = serverState(primary);
    applyServerAnnouncement(owner, { ...announcement, bornMs: 2, sequence: 1 });
    await delay(5_000);
    expect(promotedServers()).toEqual([]);
  }, 15_000);

  it('does not wait longer than a minute for replicas that nobody knows', async () => {
    owner = startStatementOwner(owner.group, 2, owner.environment);
    owner.lastLedMs = performance.now() - LOST_FOR_GOOD_MS + 4_000;
    await delay(3_500);
    expect(promotedServers()).toEqual([]);
    await until(() => owner.leadership.kind === 'led');
    expect(promotedServers()).toEqual([near.name]);
  }, 15_000);

  it('promotes the longest log once all replicas are fenced and no other may return', async () => {
    startOwnerAfterSilence();
    await delay(3_500);
    await until(() => owner.leadership.kind === 'led');
    expect(promotedServers()).toEqual([near.name]);
  }, 15_000);
});

interface TestCaller {
  readonly run: (
    access: StatementAccess,
    text: string,
    transaction: StatementRequest['transaction'],
  ) => Promise<StatementOutcome>;
}

let nextNumber = 1;

function openCaller(): TestCaller {
  const waiting = new Map<number, (outcome: StatementOutcome) => void>();
  const channel = {
    id: 'caller',
    answer: (number: number, outcome: StatementOutcome) => waiting.get(number)?.(outcome),
  };
  return {
    run: (access, text, transaction) => {
      const number = nextNumber;
      nextNumber += 1;
      const request: StatementRequest = {
        number,
        tag: `t${number}`,
        access,
        body: { kind: 'plain', text },
        transaction,
        customer: toCustomerName('one'),
        priority: 1,
        consistency: 'newest',
        maxReadAgeMs: 0,
        mark: null,
        values: {},
        homes: null,
        budgetMs: 4_000,
        startWithinMs: 2_000,
      };
      return new Promise((resolve) => {
        waiting.set(number, resolve);
        acceptStatement(owner, channel, request);
        dispatch(owner);
      });
    },
  };
}

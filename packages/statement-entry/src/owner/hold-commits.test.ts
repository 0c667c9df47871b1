import { type ServerName } from '@bramleykeel/core';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  addFakeReplica,
  createFakeGroup,
  type FakeGroup,
  type FakeServer,
} from '../test-support/fake-group.js';
import { runStatementAt, until } from '../test-support/run-statement.js';
import { applyServerAnnouncement, closeStatementOwner } from './owner-lifecycle.js';
import type { StatementOwner } from './owner-state.js';
import { recordServerPlaces } from './server-places.js';
import { takeOver } from './take-over.js';

const at = (offset: number) => ({ term: 3, offset });

let fake: FakeGroup;
let owner: StatementOwner;
let primary: FakeServer;
let replica: FakeServer;

beforeEach(async () => {
  fake = createFakeGroup(3);
  ({ owner } = fake);
  [primary, replica] = fake.servers as [FakeServer, FakeServer];
  await takeOver(owner);
  recordServerPlaces(owner);
  await delay(0);
  fake.commands.length = 0;
});

afterEach(() => {
  closeStatementOwner(owner);
});

/** Keeps control from answering until the returned call. */
function holdControl(): () => void {
  let release: () => void = () => undefined;
  fake.commandGate = new Promise<void>((resolve) => {
    release = resolve;
  });
  return () => {
    delete fake.commandGate;
    release();
  };
}

/** A replica joins and receives all commits at once, unlike the others. */
function joinReplica(): ServerName {
  const announcement = addFakeReplica(fake);
  applyServerAnnouncement(owner, announcement);
  return announcement.server;
}

function recordedNames(): ServerName[] {
  return (fake.record.places ?? []).map(({ server }) => server);
}

async function isAnsweredWithin(answer: Promise<unknown>, ms: number): Promise<boolean> {
  return Promise.race([answer.then(() => true), delay(ms, false)]);
}

describe('a commit', () => {
  it('is answered at once while all servers are on record', async () => {
    const release = holdControl();
    primary.position = at(50);
    expect(await runStatementAt(owner, 'write')).toMatchObject({ kind: 'done' });
    expect(fake.commands).toEqual([]);
    release();
  });

  // Guards against LOST: after the loss of all processes the next owner did not wait for a replica that had just joined.
  it.each(['single', 'transaction'] as const)(
    'is answered once a server that has joined is on record (%s)',
    async (kind) => {
      const release = holdControl();
      const joined = joinReplica();
      primary.position = at(50);
      const answer = kind === 'single' ? runStatementAt(owner, 'write') : runTransaction();
      expect(await isAnsweredWithin(answer, 200)).toBe(false);
      expect(recordedNames()).not.toContain(joined);
      release();
      expect(await answer).toMatchObject({ kind: 'done' });
      expect(recordedNames()).toContain(joined);
    },
  );

  it('is answered while control is silent once a replica on record has received it', async () => {
    const release = holdControl();
    joinReplica();
    primary.position = at(50);
    const answer = runStatementAt(owner, 'write');
    expect(await isAnsweredWithin(answer, 200)).toBe(false);
    replica.position = at(50);
    expect(await isAnsweredWithin(answer, 500)).toBe(true);
    release();
  });

  it('waits for two answers of control at most, at whatever pace servers join', async () => {
    const joining = setInterval(joinReplica, 3);
    try {
      for (let round = 0; round < 20; round += 1) {
        const proposalCount = fake.commands.length;
        primary.position = at(50 + round);
        fake.commandGate = delay(10);
        const answer = runStatementAt(owner, 'write');
        expect(await answer).toMatchObject({ kind: 'done' });
        expect(fake.commands.length - proposalCount).toBeLessThanOrEqual(3);
      }
    } finally {
      clearInterval(joining);
    }
  });

  it('is of unknown outcome if control does not answer until its deadline', async () => {
    const release = holdControl();
    joinReplica();
    primary.position = at(50);
    const answer = await runStatementAt(owner, 'write', { budgetMs: 300 });
    expect(answer.kind).toBe('unknown');
    release();
  });

  it('that is held occupies no slot of the server', async () => {
    const release = holdControl();
    joinReplica();
    primary.position = at(50);
    const writes = Array.from({ length: 5 }, () => runStatementAt(owner, 'write'));
    expect(await runStatementAt(owner, 'read', { consistency: 'newest' })).toMatchObject({
      kind: 'done',
    });
    expect(owner.heldCommits.size).toBe(5);
    release();
    for (const write of writes) expect(await write).toMatchObject({ kind: 'done' });
    expect(owner.running.size).toBe(0);
  });

  it('that is held when its owner closes is of unknown outcome', async () => {
    const release = holdControl();
    joinReplica();
    primary.position = at(50);
    const answer = runStatementAt(owner, 'write');
    await until(() => owner.heldCommits.size > 0);
    closeStatementOwner(owner);
    expect(await answer).toMatchObject({ kind: 'unknown' });
    release();
  });
});

async function runTransaction() {
  const transaction = { number: 1, isReadOnly: false };
  await runStatementAt(owner, 'write', { transaction: { ...transaction, isFirst: true } });
  return runStatementAt(owner, 'commit', { transaction: { ...transaction, isFirst: false } });
}

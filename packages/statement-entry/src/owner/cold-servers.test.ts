import { type StatementAccess, type StatementRequest } from '@bramleykeel/core';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { createReaderOffer } from '../near/reader-offer.js';
import { createFakeGroup, type FakeGroup, type FakeServer } from '../test-support/fake-group.js';
import { runStatementAt } from '../test-support/run-statement.js';
import { dispatch } from './dispatch.js';
import { applyServerAnnouncement, closeStatementOwner } from './owner-lifecycle.js';
import type { StatementOwner } from './owner-state.js';
import { coldAllowanceOf } from './placement.js';
import { takeOver } from './take-over.js';

let fake: FakeGroup;
let owner: StatementOwner;
let primary: FakeServer;
let near: FakeServer;
let timer: NodeJS.Timeout;

async function start(epoch: number, endedForMs = 0): Promise<void> {
  fake = createFakeGroup(2, epoch);
  ({ owner } = fake);
  fake.formerOwner = { epoch, heldForMs: 0, endedForMs, hasReleased: false };
  fake.coldRatePerSecond = 4;
  [primary, near] = fake.servers as [FakeServer, FakeServer];
  await takeOver(owner);
  for (const { orders } of fake.servers) orders.length = 0;
  timer = setInterval(() => {
    dispatch(owner);
  }, 10);
}

beforeEach(() => start(1));

afterEach(() => {
  clearInterval(timer);
  closeStatementOwner(owner);
});

function serverState({ name }: FakeServer) {
  const server = owner.servers.get(name);
  if (!server) throw new Error(`the owner does not know ${name}`);
  return server;
}

function announceCold(server: FakeServer, coldLeftMs: number): void {
  const { announcement } = serverState(server);
  const sequence = announcement.sequence + 1;
  applyServerAnnouncement(owner, { ...announcement, sequence, coldLeftMs });
}

const run = (access: StatementAccess, change: Partial<StatementRequest> = {}) =>
  runStatementAt(owner, access, { budgetMs: 6_000, startWithinMs: 5_000, ...change });

function requestsOf({ orders }: FakeServer): number {
  return orders.filter(({ kind }) => kind === 'run' || kind === 'begin').length;
}

describe('a cold server', () => {
  it('that is the primary gets no more than its rate in a second, also with open transactions', async () => {
    announceCold(primary, 10_000);
    const first = { transaction: { number: 9, isReadOnly: false, isFirst: true } };
    const next = { transaction: { number: 9, isReadOnly: false, isFirst: false } };
    expect(await run('write', first)).toMatchObject({ kind: 'done' });
    const writes = [run('write', next), ...Array.from({ length: 5 }, () => run('write'))];
    await delay(400);
    expect(requestsOf(primary)).toBe(4);
    await delay(800);
    expect(requestsOf(primary)).toBe(8);
    await Promise.all(writes);
  });

  it('gets no reads while another one has a free slot', async () => {
    announceCold(primary, 10_000);
    await Promise.all(Array.from({ length: 2 }, () => run('read')));
    expect(requestsOf(primary)).toBe(0);
    expect(requestsOf(near)).toBe(2);
  });

  it('serves the most urgent statements first', async () => {
    announceCold(primary, 10_000);
    await Promise.all(Array.from({ length: 4 }, () => run('write')));
    const order: number[] = [];
    const late = [2, 0, 1].map((priority) =>
      run('write', { priority }).then(() => order.push(priority)),
    );
    await Promise.all(late);
    expect(order).toEqual([0, 1, 2]);
  });

  it('is not offered to readers', () => {
    const request = { zone: 'zone-1', entryId: 'entry-2' };
    expect(createReaderOffer(owner, request)?.servers).toHaveLength(1);
    announceCold(near, 10_000);
    expect(createReaderOffer(owner, request)?.servers).toEqual([]);
    announceCold(near, 0);
    expect(createReaderOffer(owner, request)?.servers).toHaveLength(1);
  });

  it('is not limited once it is warm, or in a group without a rate', async () => {
    announceCold(primary, 50);
    await delay(60);
    expect(coldAllowanceOf(owner, serverState(primary))).toBe(Infinity);
    announceCold(primary, 10_000);
    fake.coldRatePerSecond = 0;
    expect(coldAllowanceOf(owner, serverState(primary))).toBe(Infinity);
  });

  // Guards against twice the rate within a second in which the group changes its owner.
  it.each([
    { endedForMs: 0, expected: 0 },
    { endedForMs: 1_000, expected: 4 },
  ])(
    'gets $expected requests from an owner whose predecessor ended $endedForMs ms ago',
    async ({ endedForMs, expected }) => {
      clearInterval(timer);
      closeStatementOwner(owner);
      await start(2, endedForMs);
      announceCold(primary, 10_000);
      expect(coldAllowanceOf(owner, serverState(primary))).toBe(expected);
    },
  );
});

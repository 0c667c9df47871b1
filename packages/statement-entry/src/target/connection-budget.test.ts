import type { Assignment } from '@bramleykeel/core';
import { describe, expect, it } from 'vitest';
import { createReaderOffer } from '../near/reader-offer.js';
import { createFakeGroup, type FakeGroup } from '../test-support/fake-group.js';
import { setPrimary } from '../owner/set-primary.js';
import type { ServerState } from '../owner/owner-state.js';
import { watchPrimary } from '../owner/watch-primary.js';
import { sendControlOrder } from './server-control.js';

/** Of 13 connections to each server of the fake group. */
const LIMITS = { alone: 7, aloneAfterFormer: 3, besideReader: 2 };

function serverOf(fake: FakeGroup, index: number): ServerState {
  const name = fake.servers[index]?.name;
  const server = name && fake.owner.servers.get(name);
  if (!server) throw new Error(`the group has no server ${index}`);
  return server;
}

function lead(fake: FakeGroup, index: number): void {
  const status = {
    role: 'primary',
    term: 3,
    position: { term: 3, offset: 40 },
    heldTerm: 0,
    connections: 0,
  } as const;
  setPrimary(fake.owner, { server: serverOf(fake, index), status }, 'reported by the server');
}

function startOwnerWithPrimary(epoch: number): FakeGroup {
  const fake = createFakeGroup(3, epoch);
  lead(fake, 0);
  return fake;
}

const limitOf = (fake: FakeGroup, index: number) =>
  fake.owner.pools.maxConnections(serverOf(fake, index));

describe('connections of an owner', () => {
  it('are few to replicas of regions that have a reader, and all but the reserve elsewhere', () => {
    const fake = startOwnerWithPrimary(1);
    fake.readers.set('zone-2', { entryId: 'reader' } as Assignment);
    expect([0, 1, 2].map((index) => limitOf(fake, index))).toEqual([
      LIMITS.alone,
      LIMITS.alone,
      LIMITS.besideReader,
    ]);
  });

  it('are those of the reserve until the former owner’s are certainly closed', () => {
    const fake = startOwnerWithPrimary(2);
    expect(limitOf(fake, 0)).toBe(LIMITS.aloneAfterFormer);
    fake.formerOwner = { ...fake.formerOwner, endedForMs: 3_300 };
    expect(limitOf(fake, 0)).toBe(LIMITS.alone);
  });

  it('are as many as the server has left beside those that a former owner still has open', async () => {
    const fake = startOwnerWithPrimary(2);
    const [primary] = fake.servers;
    if (!primary) throw new Error('the group has no servers');
    for (const [otherConnections, expected] of [
      [9, LIMITS.aloneAfterFormer],
      [5, 5],
      [0, LIMITS.alone],
    ] as const) {
      primary.otherConnections = otherConnections;
      await sendControlOrder(fake.owner, serverOf(fake, 0), { kind: 'status' });
      expect(limitOf(fake, 0)).toBe(expected);
    }
  });

  it('are few to a reader’s replica from its first question on, before control has announced it', () => {
    const fake = startOwnerWithPrimary(1);
    serverOf(fake, 2).connectionCount = 5;
    const request = { zone: 'zone-2', entryId: 'reader' };
    expect(createReaderOffer(fake.owner, request)?.servers).toEqual([]);
    expect(limitOf(fake, 2)).toBe(LIMITS.besideReader);
    serverOf(fake, 2).connectionCount = 2;
    expect(createReaderOffer(fake.owner, request)?.servers).toHaveLength(1);
  });

  it.each([
    { name: 'grow once the reader has closed its own', readerReleases: true, after: LIMITS.alone },
    { name: 'stay few while the reader is silent', readerReleases: false, after: 2 },
  ])('to a replica that is promoted $name', async ({ readerReleases, after }) => {
    const fake = startOwnerWithPrimary(1);
    fake.readers.set('zone-2', { entryId: 'reader' } as Assignment);
    fake.readerReleases = readerReleases;
    fake.owner.lastPromotionMs = performance.now();
    lead(fake, 2);
    expect(limitOf(fake, 2)).toBe(LIMITS.besideReader);
    watchPrimary(fake.owner);
    await new Promise((resolve) => setImmediate(resolve));
    expect(limitOf(fake, 2)).toBe(after);
  });
});

describe('offers to readers', () => {
  it('contain replicas in any zone of the reader’s region', () => {
    const fake = startOwnerWithPrimary(1);
    const regionOf = (zone: string) => (zone === 'zone-1' || zone === 'zone-1b' ? 'north' : zone);
    Object.assign(fake.owner.environment, { regionOf });
    const names = (zone: string) =>
      createReaderOffer(fake.owner, { zone, entryId: zone })?.servers.map(({ server }) => server);
    expect(names('zone-1b')).toEqual(['i-1']);
    expect(names('zone-2')).toEqual(['i-2']);
    expect(names('zone-0')).toEqual([]);
  });

  // Guards against owner and reader sending to the same replica because neither knows what the other runs there.
  it('contain the statements of the owner on each replica, and tell it those of the reader', () => {
    const fake = startOwnerWithPrimary(1);
    serverOf(fake, 1).runningCount = 2;
    const offer = createReaderOffer(fake.owner, {
      zone: 'zone-1',
      entryId: 'reader',
      readerRunning: [
        [serverOf(fake, 1).announcement.server, 3],
        [serverOf(fake, 2).announcement.server, 4],
      ],
    });
    expect(offer?.servers).toMatchObject([{ server: 'i-1', ownerRunning: 2 }]);
    expect(serverOf(fake, 1).load.others).toMatchObject({ running: 3 });
    // It is in another region.
    expect(serverOf(fake, 2).load.others).toBeUndefined();
  });

  it('are made to the region’s reader alone', () => {
    const fake = startOwnerWithPrimary(1);
    fake.readers.set('zone-1', { entryId: 'reader' } as Assignment);
    const offerTo = (entryId: string) => createReaderOffer(fake.owner, { zone: 'zone-1', entryId });
    expect(offerTo('other')).toBeUndefined();
    expect(offerTo('reader')?.servers).toHaveLength(1);
  });
});

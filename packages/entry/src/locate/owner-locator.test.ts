import {
  type StoredRecord,
  toEntryId,
  toGroupName,
  toIncarnation,
  toSessionId,
} from '@bramleykeel/core';
import { DEFAULT_LINK_TIMING, type LinkServer, listenForLinks } from '@bramleykeel/link';
import { findFreeAddress } from '@bramleykeel/test-support';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { createEntryLinks, type EntryLinks } from './owner-locator.js';
import type { OwnerPort } from './owner-port.js';

const SECRET = 'a-secret-for-these-tests';
const GROUP = toGroupName('bookings');
const ANSWERED = toSessionId('entry-1:1');
const RUNNING = toSessionId('entry-1:2');

describe('a port to an owner on another entry', () => {
  let server: LinkServer;
  let links: EntryLinks;
  let port: OwnerPort;
  const lost: OwnerPort[] = [];
  const records = new Map<string, StoredRecord>();

  function assign(epoch: number, linkAddress: string): void {
    const resource = `group/${GROUP}` as const;
    const holder = { entryId: toEntryId('entry-2'), incarnation: toIncarnation('i2') };
    const assignment = { resource, epoch, linkAddress, ...holder };
    records.set(resource, { record: { kind: 'assignment', assignment }, modifiedIndex: epoch });
  }

  beforeEach(async () => {
    lost.length = 0;
    const address = await findFreeAddress();
    const handlers = { onRequest: () => undefined, onNotify: () => undefined };
    server = await listenForLinks(address, { secret: SECRET, ...DEFAULT_LINK_TIMING }, handlers);
    assign(4, address);
    links = createEntryLinks({
      records,
      linkSecret: SECRET,
      ownIncarnation: () => toIncarnation('i1'),
      ownsLocally: () => false,
      sendLocally: () => undefined,
      askLocalFate: () => 'may-have-run',
      requestResource: () => undefined,
      reportSuspect: () => undefined,
      onPortLost: (each) => lost.push(each),
      onNotify: (_peer, _method, params) => {
        links.endOwner(...(params as Parameters<EntryLinks['endOwner']>));
      },
    });
    const found = await links.await(GROUP, 2_000);
    if (!found) throw new Error('the owner was not found');
    port = found;
  });

  afterEach(async () => {
    links.close();
    await server.close();
  });

  it.each([
    { name: 'what the owner never answered', session: ANSWERED, fate: 'not-started' },
    { name: 'what still runs there', session: RUNNING, fate: 'may-have-run' },
  ])('that has handed over and gone: $name', async ({ session, fate }) => {
    for (const peer of server.peers) peer.notify('owner/ended', [GROUP, 4, [RUNNING]]);
    await vi.waitFor(() => {
      expect(lost).toEqual([port]);
    });
    await server.close();
    expect(await links.askFate(port, { ownerEpoch: 4, session, number: 1 })).toBe(fate);
  });

  it('that has handed over is not used again; its successor is', async () => {
    for (const peer of server.peers) peer.notify('owner/ended', [GROUP, 4, []]);
    await vi.waitFor(() => {
      expect(lost).toEqual([port]);
    });
    expect(links.find(GROUP)).toBeUndefined();
    assign(5, [...records.values()].map(addressOf)[0] ?? '');
    expect((await links.await(GROUP, 2_000))?.epoch).toBe(5);
  });

  it('that was lost without a word may have run anything', async () => {
    await server.close();
    await vi.waitFor(() => {
      expect(lost).toEqual([port]);
    });
    const query = { ownerEpoch: 4, session: ANSWERED, number: 1 };
    expect(await links.askFate(port, query)).toBe('may-have-run');
  });
});

function addressOf({ record }: StoredRecord): string {
  return record.kind === 'assignment' ? record.assignment.linkAddress : '';
}

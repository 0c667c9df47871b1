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
const IDLE_SESSION = toSessionId('entry-1:1');
const RUNNING_SESSION = toSessionId('entry-1:2');

describe('links to an owner on another entry', () => {
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
      isLocalOwner: () => false,
      sendToLocalOwner: () => undefined,
      queryLocalRequestStatus: () => 'may-have-run',
      requestResource: () => undefined,
      reportSuspect: () => undefined,
      onPortLost: (each) => lost.push(each),
      onNotify: (_peer, _method, params) => {
        links.handleOwnerEnded(...(params as Parameters<EntryLinks['handleOwnerEnded']>));
      },
    });
    const found = await links.awaitOwner(GROUP, 2_000);
    if (!found) throw new Error('the owner was not found');
    port = found;
  });

  afterEach(async () => {
    links.close();
    await server.close();
  });

  it.each([
    {
      name: 'a request that the owner has not started',
      session: IDLE_SESSION,
      status: 'not-started',
    },
    { name: 'a request that was still running', session: RUNNING_SESSION, status: 'may-have-run' },
  ])(
    'report $status for $name when the owner handed over and stopped',
    async ({ session, status }) => {
      for (const peer of server.peers) peer.notify('owner/ended', [GROUP, 4, [RUNNING_SESSION]]);
      await vi.waitFor(() => {
        expect(lost).toEqual([port]);
      });
      await server.close();
      expect(await links.queryRequestStatus(port, { ownerEpoch: 4, session, number: 1 })).toBe(
        status,
      );
    },
  );

  it('locate the successor instead of an owner that has handed over', async () => {
    for (const peer of server.peers) peer.notify('owner/ended', [GROUP, 4, []]);
    await vi.waitFor(() => {
      expect(lost).toEqual([port]);
    });
    expect(links.findOwner(GROUP)).toBeUndefined();
    assign(5, [...records.values()].map(addressOf)[0] ?? '');
    expect((await links.awaitOwner(GROUP, 2_000))?.epoch).toBe(5);
  });

  it('report may-have-run when the owner was lost without a handover', async () => {
    await server.close();
    await vi.waitFor(() => {
      expect(lost).toEqual([port]);
    });
    const query = { ownerEpoch: 4, session: IDLE_SESSION, number: 1 };
    expect(await links.queryRequestStatus(port, query)).toBe('may-have-run');
  });
});

function addressOf({ record }: StoredRecord): string {
  return record.kind === 'assignment' ? record.assignment.linkAddress : '';
}

import {
  applyCommand,
  createControlState,
  type ServerAnnouncement,
  toEntryId,
  toGroupName,
  toIncarnation,
  toServerName,
} from '@bramleykeel/core';
import { DEFAULT_LINK_TIMING, type LinkServer, listenForLinks } from '@bramleykeel/link';
import { findFreeAddress } from '@bramleykeel/test-support';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, expect, it, vi } from 'vitest';
import { type AnnouncementRelay, createAnnouncementRelay } from './announcement-relay.js';
import type { ControlMember } from './control-member.js';

const LINK_SECRET = 'a-secret-for-these-tests';
const GROUP = toGroupName('ledger');
const announcement: ServerAnnouncement = {
  ...{ group: GROUP, server: toServerName('i-1'), address: '127.0.0.1:9', zone: 'a', slots: 2 },
  ...{ role: 'primary', isLeaving: false, bornMs: 1, sequence: 1 },
};

/** The entry that owns the group: whether it accepts servers, and what members have told it. */
interface Owner {
  acceptsServers: boolean;
  readonly received: (readonly [method: string, params: unknown])[];
}

const waitFor = (check: () => void) => vi.waitFor(check, { timeout: 10_000 });

let linkServer: LinkServer;
let owner: Owner;
let control: ReturnType<typeof createControlState>;
let linkAddress: string;
const relays: AnnouncementRelay[] = [];
const timers: NodeJS.Timeout[] = [];

beforeEach(async () => {
  owner = { acceptsServers: true, received: [] };
  linkAddress = await findFreeAddress();
  const options = { secret: LINK_SECRET, ...DEFAULT_LINK_TIMING };
  linkServer = await listenForLinks(linkAddress, options, {
    onRequest: (_peer, method, params) => {
      owner.received.push([method, params]);
      return owner.acceptsServers;
    },
    onNotify: () => undefined,
  });
  control = createControlState();
});

afterEach(async () => {
  for (const timer of timers.splice(0)) clearInterval(timer);
  for (const relay of relays.splice(0)) relay.close();
  await linkServer.close();
});

/** The relay of a member that has just started and has heard of one server. */
function startRelay(): AnnouncementRelay {
  const member = {
    app: { driver: { control: () => control } },
    notifyMembers: () => undefined,
    requestFromLeader: () => Promise.resolve(undefined),
  } as unknown as ControlMember;
  const relay = createAnnouncementRelay(
    () => member,
    () => true,
    LINK_SECRET,
    () => undefined,
  );
  relay.store(announcement);
  relays.push(relay);
  timers.push(setInterval(relay.refresh, 20));
  return relay;
}

function assignOwner(epoch: number): void {
  const assignment = {
    ...{ resource: `group/${GROUP}` as const, entryId: toEntryId('e-1'), linkAddress, epoch },
    ...{ incarnation: toIncarnation(`inc-${epoch}`), zone: 'a' },
  };
  applyCommand(control, epoch, { kind: 'owner/assign', assignment });
  owner.received.length = 0;
}

it('sends a new owner the servers that it knows, once', async () => {
  startRelay();
  assignOwner(1);
  await waitFor(() => {
    expect(owner.received).toHaveLength(1);
  });
  assignOwner(2);
  await waitFor(() => {
    expect(owner.received).toHaveLength(1);
  });
  await delay(600);
  expect(owner.received).toEqual([['server/announce', announcement]]);
});

it('sends them again until the owner has accepted them', async () => {
  startRelay();
  owner.acceptsServers = false;
  assignOwner(1);
  await waitFor(() => {
    expect(owner.received.length).toBeGreaterThan(1);
  });
  owner.acceptsServers = true;
  const count = owner.received.length;
  await waitFor(() => {
    expect(owner.received.length).toBeGreaterThan(count);
  });
  const acceptedCount = owner.received.length;
  await delay(600);
  expect(owner.received).toHaveLength(acceptedCount);
});

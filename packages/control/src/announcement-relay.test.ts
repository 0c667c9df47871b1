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
import { afterEach, beforeEach, expect, it, vi } from 'vitest';
import { type AnnouncementRelay, createAnnouncementRelay } from './announcement-relay.js';
import type { ControlMember } from './control-member.js';

const LINK_SECRET = 'a-secret-for-these-tests';
const GROUP = toGroupName('ledger');
const announcement: ServerAnnouncement = {
  ...{ group: GROUP, server: toServerName('i-1'), address: '127.0.0.1:9', zone: 'a', slots: 2 },
  ...{ role: 'primary', isLeaving: false, bornMs: 1, sequence: 1 },
};

/** The entry that owns the group: whether it knows all servers, and what members have told it. */
interface Owner {
  knowsAll: boolean;
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
const lines: string[] = [];

beforeEach(async () => {
  owner = { knowsAll: false, acceptsServers: true, received: [] };
  linkAddress = await findFreeAddress();
  const options = { secret: LINK_SECRET, ...DEFAULT_LINK_TIMING };
  linkServer = await listenForLinks(linkAddress, options, {
    onRequest: (_peer, method, params) => {
      owner.received.push([method, params]);
      if (method === 'server/announce') return owner.acceptsServers;
      const [, , isKnownThere] = params as readonly [unknown, unknown, boolean];
      owner.knowsAll ||= isKnownThere;
      return owner.knowsAll;
    },
    onNotify: () => undefined,
  });
  control = createControlState();
});

afterEach(async () => {
  for (const timer of timers.splice(0)) clearInterval(timer);
  for (const relay of relays.splice(0)) relay.close();
  lines.length = 0;
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
    (message) => lines.push(message),
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
  Object.assign(owner, { knowsAll: false });
  owner.received.length = 0;
}

/** Waits until the relay has taken the answer of the owner that it knows all servers. */
async function awaitKnowledge(): Promise<void> {
  await waitFor(() => {
    expect(lines).toContain(`all servers of group ${GROUP} are known here, by its owner`);
  });
}

/** Whether members said under this epoch that the servers they have sent are all. */
const saidThatAllAreKnown = (epoch: number) =>
  owner.received.flatMap(([method, params]) => {
    const [, of, isKnown] = method === 'group/membership' ? (params as unknown[]) : [];
    return of === epoch ? [isKnown] : [];
  });

it('tells a new owner that it has all servers if a former owner has said so', async () => {
  startRelay();
  assignOwner(1);
  await waitFor(() => {
    expect(saidThatAllAreKnown(1)).toContain(false);
  });
  owner.knowsAll = true;
  await awaitKnowledge();
  assignOwner(2);
  await waitFor(() => {
    expect(saidThatAllAreKnown(2)).toEqual([true]);
  });
  const methods = owner.received.map(([method]) => method);
  expect(methods.indexOf('server/announce')).toBeLessThan(methods.indexOf('group/membership'));
});

// Guards against LOST: after the loss of all processes the servers that a member has heard of since then count as all.
it('does not say so in a process that no owner has told, whoever it has served', async () => {
  startRelay();
  assignOwner(1);
  await waitFor(() => {
    expect(saidThatAllAreKnown(1).length).toBeGreaterThan(1);
  });
  assignOwner(2);
  await waitFor(() => {
    expect(saidThatAllAreKnown(2).length).toBeGreaterThan(1);
  });
  expect(saidThatAllAreKnown(2)).not.toContain(true);
});

it('says so only once the owner has accepted the servers', async () => {
  startRelay();
  assignOwner(1);
  owner.knowsAll = true;
  await awaitKnowledge();
  owner.acceptsServers = false;
  assignOwner(2);
  await waitFor(() => {
    expect(owner.received.length).toBeGreaterThan(1);
  });
  expect(saidThatAllAreKnown(2)).toEqual([]);
  owner.acceptsServers = true;
  await waitFor(() => {
    expect(saidThatAllAreKnown(2)).toEqual([true]);
  });
});

import { describe, expect, it } from 'vitest';
import { createNearOffer } from '../near/near-offer.js';
import { createFakeGroup, type FakeGroup } from '../test-support/fake-group.js';
import { setPrimary } from '../owner/take-over.js';
import type { ServerState } from '../owner/owner-state.js';

/** Connection limit of the fake group. */
const MAX_CONNECTIONS = 13;

function serverOf(fake: FakeGroup, index: number): ServerState {
  const name = fake.servers[index]?.name;
  const server = name && fake.owner.servers.get(name);
  if (!server) throw new Error(`the group has no server ${index}`);
  return server;
}

function startOwnerWithPrimary(epoch: number): FakeGroup {
  const fake = createFakeGroup(3, epoch);
  const status = {
    role: 'primary',
    term: 3,
    position: { term: 3, offset: 40 },
    heldTerm: 0,
  } as const;
  setPrimary(fake.owner, { server: serverOf(fake, 0), status }, 'reported by the server');
  return fake;
}

describe('connections of owners and near readers', () => {
  it.each([
    { name: 'the primary', index: 0 },
    { name: 'a replica without near readers', index: 1 },
    { name: 'a replica with near readers', index: 2 },
  ])('stay within the limit of $name beside a frozen former owner', ({ index }) => {
    const fake = startOwnerWithPrimary(2);
    const former = startOwnerWithPrimary(1);
    const offers = ['e-1', 'e-2', 'e-3', 'e-4'].map((entryId) => {
      const request = { zone: 'zone-2', entryId };
      createNearOffer(former.owner, request);
      return createNearOffer(fake.owner, request);
    });
    const server = serverOf(fake, index);
    const offered = offers
      .at(-1)
      ?.servers.some((each) => each.server === server.announcement.server);
    const nearReadersMax =
      offered === true ? (offers.at(-1)?.maxConnections ?? 0) * offers.length : 0;
    const currentOwnerMax = fake.owner.pools.maxConnections(server);
    const formerOwnerMax = former.owner.pools.maxConnections(serverOf(former, index));
    expect(currentOwnerMax).toBeGreaterThan(0);
    expect(currentOwnerMax + formerOwnerMax + nearReadersMax).toBeLessThanOrEqual(MAX_CONNECTIONS);
  });

  it('offer replicas to near readers in any zone of the same region', () => {
    const fake = startOwnerWithPrimary(1);
    const regionOf = (zone: string) => (zone === 'zone-1' || zone === 'zone-1b' ? 'north' : zone);
    Object.assign(fake.owner.environment, { regionOf });
    const names = (zone: string) =>
      createNearOffer(fake.owner, { zone, entryId: zone })?.servers.map(({ server }) => server);
    expect(names('zone-1b')).toEqual(['i-1']);
    expect(names('zone-1')).toEqual(['i-1']);
    expect(names('zone-2')).toEqual(['i-2']);
    expect(names('zone-0')).toEqual([]);
  });
});

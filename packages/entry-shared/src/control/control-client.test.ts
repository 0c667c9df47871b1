import { setTimeout as delay } from 'node:timers/promises';
import {
  DOCUMENT_KEY,
  type LeaseRenewal,
  type LeaseReply,
  type RecordsPush,
  type ShortLeaseReply,
  timingSchema,
} from '@bramleykeel/core';
import { DEFAULT_LINK_TIMING, listenForLinks } from '@bramleykeel/link';
import { findFreeAddress } from '@bramleykeel/test-support';
import { describe, expect, it, vi } from 'vitest';
import type { ControlClient } from './control-client-types.js';
import { startControlClient } from './control-client.js';

const SECRET = 'a-secret-for-these-tests';

describe('control client', () => {
  it('waits for a slow first reply instead of sending the renewal again', async () => {
    const address = await findFreeAddress();
    let isAnswered = false;
    let requestsBeforeAnswer = 0;
    const server = await listenForLinks(
      address,
      { secret: SECRET, ...DEFAULT_LINK_TIMING },
      {
        onRequest: async (_peer, method): Promise<LeaseReply> => {
          if (method === 'records/read') return unknownMethod();
          if (!isAnswered) requestsBeforeAnswer += 1;
          await delay(700);
          isAnswered = true;
          return {
            kind: 'renewed',
            leaseMs: 5_000,
            settingsLeaseMs: 5_000,
            memberAddresses: [address],
            sinceIndex: 0,
            deltas: [],
            appliedIndex: 9,
            settingsRevision: 0,
          };
        },
        onNotify: () => undefined,
      },
    );
    const client = startClient([address], {});
    await vi.waitFor(
      () => {
        expect(client.holdsLease()).toBe(true);
      },
      { timeout: 3_000 },
    );
    expect(requestsBeforeAnswer).toBe(1);
    client.close();
    await server.close();
  });

  it('repeats a renewal in short form, and sends it in full to a member that does not have it', async () => {
    const address = await findFreeAddress();
    const methods: string[] = [];
    const server = await listenForLinks(
      address,
      { secret: SECRET, ...DEFAULT_LINK_TIMING },
      {
        onRequest: (_peer, method): LeaseReply | ShortLeaseReply => {
          if (method === 'records/read') return unknownMethod();
          methods.push(method);
          const repeats = methods.filter((each) => each === 'lease/repeat').length;
          if (method === 'lease/repeat')
            return repeats === 3 ? { kind: 'full-renewal-needed' } : [1_050, 3_000];
          return {
            kind: 'renewed',
            leaseMs: 1_050,
            settingsLeaseMs: 3_000,
            memberAddresses: [address],
            acceptsRepeats: true,
            sinceIndex: 0,
            deltas: [],
            appliedIndex: 9,
            settingsRevision: 0,
          };
        },
        onNotify: () => undefined,
      },
    );
    const client = startClient([address], { renewEveryMs: 100 });
    await vi.waitFor(
      () => {
        expect(methods.length).toBeGreaterThan(6);
      },
      { timeout: 3_000 },
    );
    const [first, ...rest] = methods;
    expect(first).toBe('lease/renew');
    expect(rest.slice(0, 5)).toEqual([
      'lease/repeat',
      'lease/repeat',
      'lease/repeat',
      'lease/renew',
      'lease/repeat',
    ]);
    expect(client.holdsLease()).toBe(true);
    client.close();
    await server.close();
  });

  // Guards against a renewal that is sent again at once, as often as the member answers.
  it('pauses before it renews again at a member that always asks for the full form', async () => {
    const address = await findFreeAddress();
    let renewals = 0;
    const server = await listenForLinks(
      address,
      { secret: SECRET, ...DEFAULT_LINK_TIMING },
      {
        onRequest: (_peer, method): LeaseReply => {
          if (method === 'records/read') return unknownMethod();
          renewals += 1;
          return { kind: 'full-renewal-needed' };
        },
        onNotify: () => undefined,
      },
    );
    const client = startClient([address], { renewEveryMs: 100 });
    await vi.waitFor(() => {
      expect(renewals).toBeGreaterThan(1);
    });
    await delay(500);
    expect(renewals).toBeLessThan(30);
    client.close();
    await server.close();
  });

  // Guards against an entry without a lease: the answer of one member cannot be read.
  it('renews again after a reply that cannot be read', async () => {
    const address = await findFreeAddress();
    let renewals = 0;
    const server = await listenForLinks(
      address,
      { secret: SECRET, ...DEFAULT_LINK_TIMING },
      {
        onRequest: (_peer, method): unknown => {
          if (method === 'records/read') return unknownMethod();
          renewals += 1;
          if (renewals === 1) return { kind: 'unheard-of' };
          if (renewals === 2) return null;
          const leases = { leaseMs: 5_000, settingsLeaseMs: 5_000 };
          const records = { sinceIndex: 0, deltas: [], appliedIndex: 9, settingsRevision: 0 };
          return { kind: 'renewed', ...leases, ...records, memberAddresses: [address] };
        },
        onNotify: () => undefined,
      },
    );
    const client = startClient([address], { renewEveryMs: 100 });
    await vi.waitFor(
      () => {
        expect(client.holdsLease()).toBe(true);
      },
      { timeout: 3_000 },
    );
    expect(renewals).toBeGreaterThan(2);
    client.close();
    await server.close();
  });

  it('turns to a leader that one member names, without waiting for members that do not answer', async () => {
    const addresses = await Promise.all([findFreeAddress(), findFreeAddress(), findFreeAddress()]);
    const [, informed, leading] = addresses;
    const asked = new Set<string>();
    let electedAtMs = Number.POSITIVE_INFINITY;
    let renewalsOfLeader = 0;
    async function answer(address: string): Promise<LeaseReply> {
      if (electedAtMs === Number.POSITIVE_INFINITY) {
        asked.add(address);
        if (asked.size === addresses.length) electedAtMs = performance.now();
        return notLeader(null);
      }
      if (address === informed) return notLeader(leading);
      if (address === leading) renewalsOfLeader += 1;
      // The first renewal reaches the leader too early, and remains without an answer.
      if (renewalsOfLeader > 1 && address === leading) return renewed();
      return delay(5_000, notLeader(null), { ref: false });
    }
    const servers = await Promise.all(
      addresses.map((address) =>
        listenForLinks(
          address,
          { secret: SECRET, ...DEFAULT_LINK_TIMING },
          {
            onRequest: (_peer, method) =>
              method === 'records/read' ? unknownMethod() : answer(address),
            onNotify: () => undefined,
          },
        ),
      ),
    );
    const client = startClient(addresses, {});
    await vi.waitFor(
      () => {
        expect(client.holdsLease()).toBe(true);
      },
      { timeout: 3_000, interval: 10 },
    );
    expect(performance.now() - electedAtMs).toBeLessThan(400);
    client.close();
    await Promise.all(servers.map((server) => server.close()));
  });
});

/** Pattern: thundering herd. After a loss of all instances, all entries need all records at the same moment. */
describe('the first copy of the records', () => {
  const document = { version: 4, body: new Uint8Array([1]) };
  const copyOfMember: RecordsPush = {
    ...records(),
    settingsRevision: 3,
    deltas: [
      { key: DOCUMENT_KEY, stored: { record: { kind: 'document', document }, modifiedIndex: 5 } },
    ],
  };

  it('comes from a member, so that the leader only sends what that member did not have yet', async () => {
    const address = await findFreeAddress();
    const renewals: LeaseRenewal[] = [];
    const freshAtRenewal: boolean[] = [];
    /** A copy from a member that was cut off is not in force before the leader has confirmed it. */
    let recordsBeforeReply: number | undefined;
    const server = await listenForLinks(
      address,
      { secret: SECRET, ...DEFAULT_LINK_TIMING },
      {
        onRequest: async (_peer, method, params): Promise<unknown> => {
          if (method === 'records/read') return delay(150, copyOfMember);
          const renewal = params as LeaseRenewal;
          renewals.push(renewal);
          if (renewal.knownIndex === 9) recordsBeforeReply = client.records.size;
          freshAtRenewal.push(client.hasFreshSettings());
          if (renewal.omitsRecords === true) return { kind: 'registered', leaseMs: 1_000 };
          return { ...renewed(), ...records(), sinceIndex: renewal.knownIndex, appliedIndex: 11 };
        },
        onNotify: () => undefined,
      },
    );
    const client = startClient([address], { renewEveryMs: 40 });
    await vi.waitFor(() => {
      expect(client.holdsLease()).toBe(true);
    });
    expect(client.hasFreshSettings()).toBe(false);
    await vi.waitFor(() => {
      expect(renewals.some(({ knownIndex }) => knownIndex === 9)).toBe(true);
    });
    expect(recordsBeforeReply).toBe(0);
    await vi.waitFor(() => {
      expect(client.hasFreshSettings()).toBe(true);
    });
    const withRecords = renewals.filter(({ omitsRecords }) => omitsRecords !== true);
    expect(renewals[0]).toMatchObject({ knownIndex: 0, omitsRecords: true });
    expect(withRecords[0]).toMatchObject({ knownIndex: 9, documentIndex: 5, settingsRevision: 3 });
    expect(client.records.size).toBe(1);
    expect(freshAtRenewal.slice(0, renewals.indexOf(withRecords[0] ?? fail()) + 1)).not.toContain(
      true,
    );
    client.close();
    await server.close();
  });

  it('comes from the leader if the member has none', async () => {
    const address = await findFreeAddress();
    const server = await listenForLinks(
      address,
      { secret: SECRET, ...DEFAULT_LINK_TIMING },
      {
        onRequest: (_peer, method, params): unknown => {
          if (method === 'records/read') return null;
          const { omitsRecords } = params as LeaseRenewal;
          return omitsRecords === true ? { kind: 'registered', leaseMs: 1_000 } : renewed();
        },
        onNotify: () => undefined,
      },
    );
    const client = startClient([address], { renewEveryMs: 40 });
    await vi.waitFor(() => {
      expect(client.hasFreshSettings()).toBe(true);
    });
    client.close();
    await server.close();
  });
});

function startClient(
  addresses: readonly string[],
  timing: { readonly renewEveryMs?: number },
): ControlClient {
  return startControlClient(
    {
      entryId: 'entry-1',
      zone: 'a',
      linkAddress: '127.0.0.1:1',
      linkSecret: SECRET,
      memberAddresses: () => addresses,
      timing: timingSchema.parse(timing),
    },
    () => undefined,
    {
      onRecords: () => undefined,
      onStatusRequest: () => undefined,
      onLeaseEnded: () => undefined,
    },
  );
}

/** The answer of members of earlier versions, which send no first copies. */
function unknownMethod(): never {
  throw new Error('unknown method');
}

function fail(): never {
  throw new Error('expected a renewal with records');
}

function records(): RecordsPush {
  return { sinceIndex: 0, deltas: [], appliedIndex: 9, settingsRevision: 0 };
}

function notLeader(leaderAddress: string | null): LeaseReply {
  return { kind: 'not-leader', leaderId: null, leaderAddress };
}

function renewed(): LeaseReply {
  return {
    kind: 'renewed',
    leaseMs: 1_050,
    settingsLeaseMs: 3_000,
    sinceIndex: 0,
    deltas: [],
    appliedIndex: 9,
    settingsRevision: 0,
  };
}

import {
  applyCommand,
  assignmentOf,
  type ControlCommand,
  type ControlState,
  createControlState,
  createDocumentCache,
  type LeaseRenewal,
  toEntryId,
  toIncarnation,
} from '@bramleykeel/core';
import { encodeFrame, type LinkPeer, unpackValue } from '@bramleykeel/link';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { LogDriver } from '../log-driver.js';
import { createRecordsSource, recordsUpdateFor } from './packed-records.js';
import {
  createLeaderService,
  endEntry,
  handleRoundConfirmed,
  type LeaderService,
  queueRenewal,
  queueRepeatedRenewal,
  releaseResource,
  requestResource,
} from './leader-service.js';

const timing = {
  leaseMs: 1_050,
  driftMarginMs: 80,
  settingsLeaseMs: 3_000,
  renewEveryMs: 380,
  heartbeatMs: 100,
  electionTimeoutMinMs: 320,
  electionTimeoutMaxMs: 850,
};

function createService(homesOf?: LeaderService['homesOf']) {
  const control: ControlState = createControlState();
  const steps: string[] = [];
  const driver = {
    raft: {
      formerLeaderUntilMs: 0,
      currentTerm: 1,
      entries: [],
      snapshot: { index: 0, term: 0, membership: {} },
    },
    control: () => control,
    step: ({ kind }: { readonly kind: string }) => steps.push(kind),
    proposeAll: (commands: readonly ControlCommand[]) => {
      for (const command of commands) {
        control.appliedIndex += 1;
        applyCommand(control, control.appliedIndex, command);
      }
      return Promise.resolve(commands.map(() => ({ kind: 'done' })));
    },
  } as unknown as LogDriver;
  return {
    service: createLeaderService(
      driver,
      timing,
      () => undefined,
      () => undefined,
      homesOf,
    ),
    steps,
  };
}

function renewal(number: number): LeaseRenewal {
  return {
    entryId: toEntryId(`entry-${number}`),
    incarnation: toIncarnation(`incarnation-${number}`),
    linkAddress: `127.0.0.1:${7_000 + number}`,
    zone: 'ub-a',
    isStopping: false,
    knownIndex: 0,
    settingsRevision: 0,
  };
}

const peer = {} as LinkPeer;

describe('renewals of entries that start together', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('are confirmed by one round within 15 ms, not with the next heartbeat', async () => {
    const { service, steps } = createService();
    for (let number = 0; number < 200; number += 1)
      void queueRenewal(service, peer, renewal(number));
    await vi.advanceTimersByTimeAsync(15);
    expect(steps).toEqual(['start-round']);
  });

  it('wait for the heartbeat once the entries hold leases', async () => {
    const { service, steps } = createService();
    const first = queueRenewal(service, peer, renewal(1));
    await vi.advanceTimersByTimeAsync(20);
    handleRoundConfirmed(service, performance.now());
    expect(await first).toMatchObject({ kind: 'renewed' });
    void queueRenewal(service, peer, renewal(1));
    await vi.advanceTimersByTimeAsync(90);
    expect(steps).toEqual(['start-round']);
  });
});

describe('repeated renewals', () => {
  const bytesOf = (value: unknown) => encodeFrame([3, 1_000, value]).length;

  async function renewOnce(service: ReturnType<typeof createService>['service']) {
    const reply = queueRenewal(service, peer, renewal(1));
    handleRoundConfirmed(service, performance.now());
    return reply;
  }

  it('are answered in less than 20 bytes while nothing changes', async () => {
    const { service } = createService();
    expect(await renewOnce(service)).toMatchObject({ kind: 'renewed', acceptsRepeats: true });
    const repeated = queueRepeatedRenewal(service, peer, [0, null, 0]);
    handleRoundConfirmed(service, performance.now());
    const reply = await repeated;
    expect(reply).toEqual([timing.leaseMs, timing.settingsLeaseMs]);
    expect(bytesOf(reply)).toBeLessThan(20);
    expect(encodeFrame([2, 1_000, 'lease/repeat', [900, 850, 40]]).length).toBeLessThan(35);
  });

  it('renew the lease of the same incarnation', async () => {
    const { service } = createService();
    await renewOnce(service);
    service.leases.leases.clear();
    const repeated = queueRepeatedRenewal(service, peer, [0, null, 0]);
    handleRoundConfirmed(service, performance.now());
    await repeated;
    expect([...service.leases.leases.keys()]).toEqual(['incarnation-1']);
  });

  it('bring new records as full replies do', async () => {
    const { service } = createService();
    await renewOnce(service);
    const control = service.driver.control();
    control.appliedIndex = 7;
    const repeated = queueRepeatedRenewal(service, peer, [0, null, 0]);
    handleRoundConfirmed(service, performance.now());
    expect(await repeated).toMatchObject({ kind: 'renewed', appliedIndex: 7 });
  });

  it('need a full renewal at a member that has none, as after a change of leader', async () => {
    const { service } = createService();
    const reply = await queueRepeatedRenewal(service, peer, [0, null, 0]);
    expect(reply).toEqual({ kind: 'full-renewal-needed' });
  });

  it('are refused for an incarnation that has ended', async () => {
    const { service } = createService();
    await renewOnce(service);
    service.leases.ended.set(toIncarnation('incarnation-1'), 0);
    const repeated = queueRepeatedRenewal(service, peer, [0, null, 0]);
    handleRoundConfirmed(service, performance.now());
    expect(await repeated).toEqual({ kind: 'ended' });
  });
});

describe('a group', () => {
  const resource = 'group/ledger';
  const holderOf = (service: ReturnType<typeof createService>['service']) =>
    assignmentOf(service.driver.control(), resource)?.incarnation;

  /** Two wide and two narrow entries. */
  async function createEntries() {
    const { service } = createService();
    const replies = [1, 2, 3, 4].map((number) =>
      queueRenewal(service, peer, { ...renewal(number), linkMbps: number <= 2 ? 100 : 2 }),
    );
    handleRoundConfirmed(service, performance.now());
    await Promise.all(replies);
    return service;
  }

  it('goes to a wide entry once it has outgrown a narrow one, and stays on wide ones', async () => {
    const service = await createEntries();
    await requestResource(service, { resource });
    expect(holderOf(service)).toBe('incarnation-3');
    const release = { resource, epoch: 1, incarnation: toIncarnation('incarnation-3') } as const;
    await releaseResource(service, { ...release, isHeavy: true });
    expect(holderOf(service)).toBe('incarnation-1');
    // Later leaders learn it from the assignment.
    service.heavyGroups.clear();
    endEntry(service, toIncarnation('incarnation-1'), 'test');
    await vi.waitFor(() => {
      expect(holderOf(service)).toBe('incarnation-2');
    });
  });

  it('that is heavy from the start goes to a wide entry at once', async () => {
    const service = await createEntries();
    await requestResource(service, { resource, isHeavy: true });
    expect(holderOf(service)).toBe('incarnation-1');
  });
});

describe('a group with home regions', () => {
  it('is owned in one of them, and the assignment names the zone of its owner', async () => {
    const { service } = createService((resource) =>
      resource === 'group/ledger' ? ['erdenet'] : undefined,
    );
    const replies = ['ub-a', 'erdenet'].map((zone, index) =>
      queueRenewal(service, peer, { ...renewal(index), zone }),
    );
    handleRoundConfirmed(service, performance.now());
    await Promise.all(replies);
    const zoneOf = (resource: 'group/ledger' | 'group/other') =>
      assignmentOf(service.driver.control(), resource)?.zone;
    await requestResource(service, { resource: 'group/ledger', zone: 'ub-a' });
    await requestResource(service, { resource: 'group/other', zone: 'ub-a' });
    expect(zoneOf('group/ledger')).toBe('erdenet');
    expect(zoneOf('group/other')).toBe('ub-a');
  });
});

describe('renewals of entries that read their first copy from a member', () => {
  it('grant the lease without records and without confirming settings', async () => {
    const { service } = createService();
    const reply = queueRenewal(service, peer, { ...renewal(1), omitsRecords: true });
    handleRoundConfirmed(service, performance.now());
    expect(await reply).toEqual({ kind: 'registered', leaseMs: timing.leaseMs });
    expect(service.subscribers.size).toBe(0);
    expect([...service.leases.leases.keys()]).toEqual(['incarnation-1']);
  });
});

describe('records for entries that start together', () => {
  const known = { knownIndex: 0, documentIndex: undefined };

  function createSource() {
    const control = createControlState();
    for (let number = 0; number < 140; number += 1) assign(control, number);
    return { control, source: createRecordsSource(createDocumentCache(control), () => control) };
  }

  function assign(control: ControlState, number: number): void {
    const holder = toIncarnation(`incarnation-${number % 6}`);
    const assignment = {
      resource: `customer/c${number}`,
      epoch: 1,
      entryId: toEntryId(`entry-${number % 6}`),
      incarnation: holder,
      linkAddress: `127.0.0.1:${7_000 + (number % 6)}`,
    } as const;
    control.appliedIndex += 1;
    applyCommand(control, control.appliedIndex, { kind: 'owner/assign', assignment });
  }

  it('are encoded once for all that know the same, and again after a change', () => {
    const { control, source } = createSource();
    const first = recordsUpdateFor(source, known);
    expect(recordsUpdateFor(source, known).packed).toBe(first.packed);
    assign(control, 140);
    expect(recordsUpdateFor(source, known).packed).not.toBe(first.packed);
    expect(recordsUpdateFor(source, { ...known, knownIndex: 141 }).isEmpty).toBe(true);
  });

  it('decode to the same records, packed or plain', () => {
    const { packed, plain } = recordsUpdateFor(createSource().source, known);
    if (!('packed' in packed)) throw new Error('records are not packed');
    expect(unpackValue(packed.packed)).toEqual(plain);
  });
});

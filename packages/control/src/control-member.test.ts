import { createControlState, type ServerName, toGroupName, toMemberId } from '@bramleykeel/core';
import { createCounters } from '@bramleykeel/link';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { createAnnouncementRelay } from './announcement-relay.js';
import { type ControlMember, startControlMember } from './control-member.js';
import { initialDiskId, initializeFolder } from './storage/control-storage.js';

const selfId = toMemberId('member-1');
const LINK_SECRET = 'a secret of the tests';

describe('a control member that leads', () => {
  let folder: string;
  let member: ControlMember;
  let lines: string[];

  beforeEach(async () => {
    folder = mkdtempSync(join(tmpdir(), 'bramleykeel-member-'));
    lines = [];
    const address = '127.0.0.1:0';
    const record = { address, adminAddress: address, diskId: initialDiskId(selfId) };
    initializeFolder(folder, selfId, { [selfId]: { ...record, isVoter: true } });
    member = await startControlMember({
      selfId,
      linkAddress: address,
      adminAddress: address,
      dataFolder: folder,
      linkSecret: LINK_SECRET,
      timing: {
        leaseMs: 1_050,
        driftMarginMs: 80,
        settingsLeaseMs: 3_000,
        renewEveryMs: 380,
        heartbeatMs: 30,
        electionTimeoutMinMs: 60,
        electionTimeoutMaxMs: 120,
      },
      snapshotEveryEntries: 100,
      bootstrapTokenSha256Hex: '',
      addressHints: () => [],
      allowsNewMembers: false,
      maxVoters: 1,
      isEligible: true,
      log: (message) => lines.push(message),
      counters: createCounters('control', undefined),
    });
    await vi.waitFor(() => {
      expect(member.app.leader()).toBeDefined();
    }, 5_000);
  });

  afterEach(async () => {
    await member.stop();
    rmSync(folder, { recursive: true });
  });

  // Guards against Fault: a request of the leader's own process that was invalid left a rejection unhandled.
  it.each([
    ['resource/request', { resource: 'elsewhere/x', zone: 'a' }],
    ['resource/request', { resource: 'group/x', zone: 'z'.repeat(101) }],
    ['no/such-method', {}],
  ])('rejects an invalid %s of its own process without an error', async (method, params) => {
    expect(await member.requestFromLeader(method, params, 100)).toBeUndefined();
    expect(lines).toContain('request of this process rejected');
  });

  it('accepts names of groups that hold any character', async () => {
    const params = { resource: 'group/no\nsuch', zone: 'a' };
    expect(await member.requestFromLeader('resource/request', params, 100)).toBe(false);
  });
});

describe('announcements of servers', () => {
  const announcement = {
    ...{ server: 'i-1' as ServerName, address: '127.0.0.1:9', zone: 'a', slots: 2 },
    ...{ role: 'primary' as const, isLeaving: false, bornMs: 1, sequence: 1 },
  };

  it('request an owner for groups that operators have configured, and for no others', async () => {
    const requested: unknown[] = [];
    const control = createControlState();
    const member = {
      app: { driver: { control: () => control } },
      notifyMembers: () => undefined,
      requestFromLeader: (_method: string, params: unknown) => {
        requested.push(params);
        return Promise.resolve(undefined);
      },
    } as unknown as ControlMember;
    const relay = createAnnouncementRelay(
      () => member,
      (group) => group === 'ledger',
      LINK_SECRET,
      () => undefined,
    );
    for (const group of ['ledger', 'elsewhere'].map(toGroupName))
      await relay.announce({ ...announcement, group, server: `i-${group}` as ServerName });
    expect(requested).not.toEqual([]);
    for (const params of requested) expect(params).toMatchObject({ resource: 'group/ledger' });
    relay.close();
  });
});

import {
  createAcknowledgedPositions,
  type GroupName,
  type Resource,
  type ServerAnnouncement,
  type ServerName,
  toGroupName,
} from '@bramleykeel/core';
import type { ControlClient } from '@bramleykeel/entry-shared';
import type { LinkError } from '@bramleykeel/link';
import { type Either, Left, Right } from 'purify-ts';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { createFakeGroup } from '../test-support/fake-group.js';
import type { Job, StatementOwner } from './owner-state.js';
import {
  closeAllStatementOwners,
  createStatementOwnerRegistry,
  deliverServerAnnouncement,
  handOverBusiestGroup,
  handOverStatementOwners,
  reconcileStatementOwners,
  type StatementOwnerRegistry,
} from './owner-registry.js';

const group: GroupName = toGroupName('ledger');
const resource: Resource = `group/${group}`;

function announcement(server: string): ServerAnnouncement {
  return {
    ...{ group, server: server as ServerName, address: `10.0.0.1:${server.length}`, zone: 'a' },
    ...{ slots: 2, role: 'replica', isLeaving: false, bornMs: 1, sequence: 1 },
  };
}

describe('owners of an entry', () => {
  let registry: StatementOwnerRegistry;
  let assigned: { epoch: number; incarnation: string; isHeavy?: boolean };
  let ended: StatementOwner[];
  let runningAtEnd: readonly Job[];
  let calls: string[];
  let answerCall: (params: unknown) => Either<LinkError, unknown>;

  beforeEach(() => {
    assigned = { epoch: 4, incarnation: 'here' };
    ended = [];
    calls = [];
    answerCall = () => Right(undefined);
    const { environment } = createFakeGroup(3).owner;
    const control = {
      get records() {
        const assignment = { resource, entryId: 'e', linkAddress: 'a:1', ...assigned };
        return new Map([[resource, { record: { kind: 'assignment', assignment } }]]);
      },
      incarnation: () => 'here',
      formerHolder: () => undefined,
      heldEpoch: () => (assigned.incarnation === 'here' ? assigned.epoch : undefined),
      call: (method: string, params: unknown) => {
        calls.push(method);
        return Promise.resolve(answerCall(params));
      },
    } as unknown as ControlClient;
    registry = createStatementOwnerRegistry({
      ...environment,
      control,
      settings: () => undefined,
      releaseFromReader: () => Promise.resolve(true),
      onOwnerEnded: (owner, running) => {
        ended.push(owner);
        runningAtEnd = running;
      },
    });
    reconcileStatementOwners(registry);
  });

  afterEach(() => {
    closeAllStatementOwners(registry);
  });

  it('start with an assignment and end when the group is assigned elsewhere', () => {
    expect(registry.owners.get(group)?.epoch).toBe(4);
    assigned = { epoch: 5, incarnation: 'elsewhere' };
    reconcileStatementOwners(registry);
    expect(registry.owners.size).toBe(0);
    expect(ended.map(({ epoch }) => epoch)).toEqual([4]);
  });

  it('know nothing of the servers that they had under an earlier epoch, which may have left since', () => {
    const known = () => [...(registry.owners.get(group)?.servers.keys() ?? [])];
    expect(deliverServerAnnouncement(registry, announcement('i-1'))).toBe(true);
    expect(known()).toEqual(['i-1']);
    assigned = { epoch: 5, incarnation: 'elsewhere' };
    reconcileStatementOwners(registry);
    assigned = { epoch: 6, incarnation: 'here' };
    reconcileStatementOwners(registry);
    expect(known()).toEqual([]);
  });

  it('start with what was announced to this entry shortly before their assignment was known here', () => {
    vi.useFakeTimers({ toFake: ['performance'] });
    const known = () => [...(registry.owners.get(group)?.servers.keys() ?? [])];
    assigned = { epoch: 5, incarnation: 'elsewhere' };
    reconcileStatementOwners(registry);
    expect(deliverServerAnnouncement(registry, announcement('i-1'))).toBe(false);
    vi.advanceTimersByTime(5_100);
    expect(deliverServerAnnouncement(registry, announcement('i-2'))).toBe(false);
    assigned = { epoch: 6, incarnation: 'here' };
    reconcileStatementOwners(registry);
    expect(known()).toEqual(['i-2']);
    vi.useRealTimers();
  });

  it('do not start again under an epoch that was handed over', async () => {
    await handOverStatementOwners(registry, 50);
    expect(calls).toEqual(['resource/release']);
    reconcileStatementOwners(registry);
    expect(registry.owners.size).toBe(0);
    assigned = { epoch: 6, incarnation: 'here' };
    reconcileStatementOwners(registry);
    expect(registry.owners.get(group)?.epoch).toBe(6);
  });

  it('restart under the same epoch when a lost lease is renewed, without a call of onOwnerEnded', () => {
    closeAllStatementOwners(registry);
    expect(ended).toEqual([]);
    reconcileStatementOwners(registry);
    expect(registry.owners.get(group)?.epoch).toBe(4);
  });

  it('know what was acknowledged before under the same epoch, and under no other', () => {
    const position = { term: 3, offset: 90 };
    const first = registry.owners.get(group);
    if (!first) throw new Error('the group has no owner');
    first.acknowledgedPositions = createAcknowledgedPositions(position, 0);
    closeAllStatementOwners(registry);
    reconcileStatementOwners(registry);
    expect(registry.owners.get(group)?.acknowledgedBefore).toEqual(position);
    closeAllStatementOwners(registry);
    assigned = { epoch: 5, incarnation: 'here' };
    reconcileStatementOwners(registry);
    expect(registry.owners.get(group)?.acknowledgedBefore).toBeUndefined();
  });

  // Guards against a write that runs twice: entries send statements again that are not named as running at the end.
  it('name statements at the end of their epoch that run since before the lease was lost', () => {
    const job = { request: { number: 7 } } as Job;
    const other = { request: { number: 8 } } as Job;
    registry.owners.get(group)?.running.add(job);
    closeAllStatementOwners(registry);
    reconcileStatementOwners(registry);
    registry.owners.get(group)?.running.add(other);
    assigned = { epoch: 5, incarnation: 'elsewhere' };
    reconcileStatementOwners(registry);
    expect(runningAtEnd).toEqual([other, job]);
    assigned = { epoch: 6, incarnation: 'here' };
    reconcileStatementOwners(registry);
    assigned = { epoch: 7, incarnation: 'elsewhere' };
    reconcileStatementOwners(registry);
    expect(runningAtEnd).toEqual([]);
  });

  it('keep a group that control has given them although it is heavy', async () => {
    assigned = { ...assigned, isHeavy: true };
    await handOverBusiestGroup(registry, 50);
    expect(registry.owners.get(group)?.epoch).toBe(4);
    expect(calls).not.toContain('resource/release');
  });

  it('end when their group has outgrown the instance, which control is told until it knows', async () => {
    const releases: unknown[] = [];
    answerCall = (params) => {
      releases.push(params);
      if (releases.length < 3) return Left({ kind: 'timeout' });
      assigned = { epoch: 5, incarnation: 'elsewhere' };
      return Right(true);
    };
    await handOverBusiestGroup(registry, 50);
    expect(registry.owners.size).toBe(0);
    expect(releases).toEqual(
      Array(3).fill({ resource, epoch: 4, incarnation: 'here', isHeavy: true }),
    );
    assigned = { epoch: 4, incarnation: 'here' };
    reconcileStatementOwners(registry);
    expect(registry.owners.size).toBe(0);
  });
});

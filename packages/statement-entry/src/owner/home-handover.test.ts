import { type Assignment, type Resource, toGroupName } from '@bramleykeel/core';
import type { ControlClient } from '@bramleykeel/entry-shared';
import { Right } from 'purify-ts';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { createFakeGroup } from '../test-support/fake-group.js';
import { handOverMisplacedGroups } from './home-handover.js';
import {
  closeAllStatementOwners,
  createStatementOwnerRegistry,
  reconcileStatementOwners,
  type StatementOwnerRegistry,
} from './owner-registry.js';

const group = toGroupName('ledger');
const resource: Resource = `group/${group}`;

/** An entry in region `zone-0` that owns a group; another entry holds a reader in `zone-1`. */
function createRegistry(released: unknown[]): StatementOwnerRegistry {
  const { environment } = createFakeGroup(3).owner;
  let epoch = 4;
  const held = (name: Resource, incarnation: string, zone: string) => {
    const assignment = {
      resource: name,
      epoch,
      entryId: 'e',
      incarnation,
      linkAddress: 'a:1',
      zone,
    };
    return [
      name,
      { record: { kind: 'assignment', assignment: assignment as unknown as Assignment } },
    ];
  };
  const control = {
    get records() {
      return new Map([
        held(resource, epoch === 4 ? 'here' : 'elsewhere', 'zone-0'),
        held('reader/ledger@zone-1', 'elsewhere', 'zone-1'),
      ] as [string, unknown][]);
    },
    incarnation: () => 'here',
    formerHolder: () => undefined,
    heldEpoch: () => epoch,
    call: (_method: string, params: unknown) => {
      released.push(params);
      epoch += 1;
      return Promise.resolve(Right(true));
    },
  } as unknown as ControlClient;
  const registry = createStatementOwnerRegistry({
    ...environment,
    control,
    settings: () => undefined,
    releaseFromReader: () => Promise.resolve(true),
    onOwnerEnded: () => undefined,
  });
  reconcileStatementOwners(registry);
  return registry;
}

describe('a group whose routes have home regions', () => {
  let registry: StatementOwnerRegistry;
  let released: unknown[];

  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['performance', 'setTimeout', 'setInterval', 'clearInterval'] });
    released = [];
    registry = createRegistry(released);
  });

  afterEach(() => {
    closeAllStatementOwners(registry);
    vi.useRealTimers();
  });

  it.each([
    { name: 'is handed over into a home', homes: ['zone-1'], ownedMs: 10_000, isReleased: true },
    // Guards against a group that moves to and fro between entries that are all outside.
    {
      name: 'stays if no entry there is known',
      homes: ['zone-9'],
      ownedMs: 10_000,
      isReleased: false,
    },
    { name: 'stays for 10 s', homes: ['zone-1'], ownedMs: 9_000, isReleased: false },
    { name: 'stays in a home', homes: ['zone-0', 'zone-1'], ownedMs: 10_000, isReleased: false },
    { name: 'stays without homes', homes: undefined, ownedMs: 10_000, isReleased: false },
  ])('$name', async ({ homes, ownedMs, isReleased }) => {
    const owner = registry.owners.get(group);
    if (!owner) throw new Error('the entry does not own the group');
    Object.assign(owner.environment, { homeRegions: () => homes });
    await vi.advanceTimersByTimeAsync(ownedMs);
    handOverMisplacedGroups(registry);
    await vi.advanceTimersByTimeAsync(500);
    expect(released.length > 0).toBe(isReleased);
    expect(registry.owners.has(group)).toBe(!isReleased);
  });
});

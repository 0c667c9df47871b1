import {
  type Announcement,
  type ControlCommand,
  entrySettingsSchema,
  type GroupRecord,
  groupSchema,
  toGroupName,
  toIncarnation,
  toServerName,
} from '@bramleykeel/core';
import { createCounters } from '@bramleykeel/link';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { closeGroupOwner, handleAnnouncement, startGroupOwner } from './group-owner.js';
import type { GroupOwner } from './owner-state.js';

const GROUP = toGroupName('g');
const [A, B, C] = ['a', 'b', 'c'].map(toServerName) as [ServerName, ServerName, ServerName];
type ServerName = ReturnType<typeof toServerName>;

let owner: GroupOwner;
let record: GroupRecord;
let proposed: ControlCommand[];
let sequence = 0;

function createEnvironment() {
  const settings = entrySettingsSchema.parse({
    entry: {
      ...{ id: 'e1', zone: 'z', callerAddress: '127.0.0.1:3', linkAddress: '127.0.0.1:4' },
      announceAddress: '127.0.0.1:5',
    },
    members: [{ id: 'm', linkAddress: '127.0.0.1:1', adminAddress: '127.0.0.1:2' }],
    link: { secret: '0123456789abcdef' },
  });
  return {
    ...{ settings, counters: createCounters('test', undefined), log: () => undefined },
    ...{ holdsLease: () => true, groupRecord: () => record },
    groupSetting: () => groupSchema.parse({}),
    evacuatedZones: () => new Set<string>(),
    propose: (command: ControlCommand) => {
      proposed.push(command);
      return Promise.resolve({ kind: 'done' as const });
    },
  };
}

beforeEach(() => {
  record = { group: GROUP, servers: [A], primary: A, term: 1, proposedTerm: 1 };
  proposed = [];
  owner = startGroupOwner(GROUP, 7, createEnvironment());
});

afterEach(() => {
  closeGroupOwner(owner);
});

function announce(server: ServerName, offset: number): void {
  sequence += 1;
  const announcement: Announcement = {
    ...{ group: GROUP, server, incarnation: toIncarnation(`i-${server}`), sequence },
    ...{ address: '127.0.0.1:9', commandUrl: 'http://127.0.0.1:1', zone: 'a', term: 1 },
    ...{ role: server === A ? 'primary' : 'replica', slots: 1, connections: 10 },
    ...{ isLeaving: false, position: { term: 1, offset } },
  };
  handleAnnouncement(owner, announcement);
}

const observed = () =>
  proposed.flatMap((command) => (command.kind === 'group/observe' ? [command.server] : []));

// Guards against lost commits: two new servers were a quorum without the writes that the first one had acknowledged alone.
it('proposes a third member only once the second one has what the first one had acknowledged alone', () => {
  announce(A, 10);
  owner.baseMark = { term: 1, offset: 10 };
  announce(B, 0);
  expect(observed()).toEqual([B]);
  record = { ...record, servers: [A, B] };
  announce(C, 0);
  expect(observed()).toEqual([B]);
  announce(B, 9);
  announce(C, 9);
  expect(observed()).toEqual([B]);
  announce(B, 10);
  announce(C, 10);
  expect(observed()).toEqual([B, C]);
  expect(proposed.at(-1)).toMatchObject({ from: { ownerEpoch: 7, memberCount: 2 } });
});

it('proposes no third member before the position of the primary is known', () => {
  record = { ...record, servers: [A, B] };
  announce(A, 10);
  announce(B, 10);
  announce(C, 10);
  expect(observed()).toEqual([]);
  owner.baseMark = { term: 1, offset: 10 };
  announce(C, 10);
  expect(observed()).toEqual([C]);
});

it('proposes all servers that announce themselves before there is a primary', () => {
  record = { group: GROUP, servers: [A, B], primary: undefined, term: 0, proposedTerm: 0 };
  announce(C, 0);
  expect(observed()).toEqual([C]);
});

import { describe, expect, it } from 'vitest';
import type { CustomerSetting } from '../settings/paths.js';
import {
  toEntryId,
  toGroupName,
  toIncarnation,
  toOperationId,
  toServerName,
} from '../types/ids.js';
import {
  applyCommand,
  BOOTSTRAP_OPERATOR,
  type ControlState,
  createControlState,
} from './control-state.js';
import { exportControlState, importControlState } from './snapshot.js';
import type { ControlCommand, SettingChange } from './types.js';
import { assignmentOf, customerSetting, groupRecordOf, recordsSince } from './views.js';
import type { ServerPlace } from '../statements/types.js';

const RATE: CustomerSetting = { ratePerSecond: 100, burst: 50, readAgeAllowanceMs: null };
const GROUP = toGroupName('bookings');

function applyOf(
  operationId: string,
  baseRevision: number | null,
  changes: readonly SettingChange[],
  operator = BOOTSTRAP_OPERATOR,
  wallClockMs = 1_000,
): ControlCommand {
  const id = toOperationId(operationId);
  return { kind: 'settings/apply', operationId: id, operator, baseRevision, changes, wallClockMs };
}

function stateWithCustomer(): ControlState {
  const state = createControlState();
  applyCommand(state, 1, applyOf('first', 0, [{ path: 'customers/acme', value: RATE }]));
  return state;
}

function assign(epoch: number, entry: string): ControlCommand {
  const assignment = {
    resource: 'group/bookings' as const,
    epoch,
    entryId: toEntryId(entry),
    incarnation: toIncarnation(`${entry}-1`),
    linkAddress: '127.0.0.1:1',
  };
  return { kind: 'owner/assign', assignment };
}

describe('settings', () => {
  it('accepts one of two changes with the same base revision and returns the conflict to the other', () => {
    const state = stateWithCustomer();
    const slower = { ...RATE, ratePerSecond: 10 };
    const faster = { ...RATE, ratePerSecond: 300 };
    const won = applyCommand(
      state,
      2,
      applyOf('left', 1, [{ path: 'customers/acme', value: slower }]),
    );
    const lost = applyCommand(
      state,
      3,
      applyOf('right', 1, [{ path: 'customers/acme', value: faster }]),
    );
    expect(won).toEqual({ kind: 'accepted', revision: 2 });
    expect(lost).toEqual({
      kind: 'conflict',
      revision: 2,
      current: [{ path: 'customers/acme', value: slower }],
    });
    expect(customerSetting(state, 'acme')).toEqual(slower);
  });

  it('returns the original result for a retry, also after other changes and from a snapshot', () => {
    const state = stateWithCustomer();
    const change = applyOf('resent', 1, [
      { path: 'customers/acme', value: { ...RATE, burst: 19 } },
    ]);
    const first = applyCommand(state, 2, change);
    applyCommand(state, 3, applyOf('between', 2, [{ path: 'customers/acme', value: RATE }]));
    const restored = importControlState(structuredClone(exportControlState(state)));
    for (const each of [state, restored]) {
      expect(applyCommand(each, 4, change)).toEqual(first);
      expect(customerSetting(each, 'acme')).toEqual(RATE);
    }
  });

  it('rejects an operation id that was used for another change', () => {
    const state = stateWithCustomer();
    const result = applyCommand(
      state,
      2,
      applyOf('first', 1, [{ path: 'customers/b', value: RATE }]),
    );
    expect(result.kind).toBe('rejected');
  });

  it('evicts results after 30 days and not before', () => {
    const state = stateWithCustomer();
    const day = 24 * 60 * 60 * 1_000;
    const again = (wallClockMs: number) =>
      applyCommand(
        state,
        9,
        applyOf(
          'first',
          0,
          [{ path: 'customers/acme', value: RATE }],
          BOOTSTRAP_OPERATOR,
          wallClockMs,
        ),
      );
    expect(again(1_000 + 29 * day)).toEqual({ kind: 'accepted', revision: 1 });
    expect(again(1_000 + 31 * day).kind).toBe('conflict');
  });

  const REJECTED_CHANGES: readonly [string, SettingChange, string][] = [
    ['an unknown path', { path: 'custmers/a', value: RATE }, 'did you mean customers'],
    [
      'a rate of zero',
      { path: 'customers/a', value: { ...RATE, ratePerSecond: 0 } },
      'ratePerSecond',
    ],
    [
      'a burst too small for the rate',
      { path: 'customers/a', value: { ...RATE, burst: 10 } },
      'burst: expected',
    ],
    [
      'a key of an unknown customer',
      { path: 'keys/nobody/k', value: { sha256Hex: 'a'.repeat(64) } },
      'nobody',
    ],
    ['a hash that is too short', { path: 'keys/acme/k', value: { sha256Hex: 'ab' } }, '64'],
    [
      'removal of a path without a value',
      { path: 'customers/none', value: null },
      'nothing stands',
    ],
  ];
  it.each(REJECTED_CHANGES)(
    'rejects %s with path and reason, and changes nothing',
    (_name, change, reason) => {
      const state = stateWithCustomer();
      const good = { path: 'customers/good', value: RATE };
      const result = applyCommand(state, 2, applyOf('bad', 1, [good, change]));
      expect(result).toMatchObject({ kind: 'rejected', path: change.path });
      expect(result.kind === 'rejected' && result.reason).toContain(reason);
      expect(customerSetting(state, 'good')).toBeUndefined();
      expect(state.settingsRevision).toBe(1);
    },
  );

  it('removes a customer only together with its keys', () => {
    const state = stateWithCustomer();
    const key = { path: 'keys/acme/k', value: { sha256Hex: 'a'.repeat(64) } };
    applyCommand(state, 2, applyOf('k', 1, [key]));
    const removal = { path: 'customers/acme', value: null };
    const alone = applyCommand(state, 3, applyOf('r1', 2, [removal]));
    expect(alone).toMatchObject({ kind: 'rejected', path: 'customers/acme' });
    const both = applyCommand(state, 4, applyOf('r2', 2, [removal, { ...key, value: null }]));
    expect(both.kind).toBe('accepted');
  });

  it('allows an operator to change only its own subtrees', () => {
    const state = stateWithCustomer();
    const operator = { tokenSha256Hex: 'a'.repeat(64), subtrees: ['customers/acme', 'keys/acme'] };
    applyCommand(state, 2, applyOf('op', 1, [{ path: 'operators/ann', value: operator }]));
    const own = [{ path: 'customers/acme', value: { ...RATE, burst: 25 } }];
    const foreign = [{ path: 'customers/acme2', value: RATE }];
    expect(applyCommand(state, 3, applyOf('x1', 2, own, 'ann')).kind).toBe('accepted');
    expect(applyCommand(state, 4, applyOf('x2', 3, foreign, 'ann')).kind).toBe('rejected');
    expect(applyCommand(state, 5, applyOf('x3', 3, own, 'nobody')).kind).toBe('rejected');
  });
});

describe('assignments and groups', () => {
  it('accepts an assignment only with the next epoch', () => {
    const state = createControlState();
    expect(applyCommand(state, 1, assign(1, 'e1')).kind).toBe('done');
    expect(applyCommand(state, 2, assign(1, 'e2')).kind).toBe('superseded');
    expect(applyCommand(state, 3, assign(2, 'e2')).kind).toBe('done');
    expect(assignmentOf(state, 'group/bookings')?.entryId).toBe('e2');
  });

  it('accepts one primary per term, and only from the owner of the current epoch', () => {
    const state = createControlState();
    applyCommand(state, 1, assign(1, 'e1'));
    const commit = (index: number, ownerEpoch: number, term: number, server: string) =>
      applyCommand(state, index, {
        kind: 'primary/commit',
        group: GROUP,
        ownerEpoch,
        term,
        server: toServerName(server),
      }).kind;
    const propose = (index: number, ownerEpoch: number, term: number) =>
      applyCommand(state, index, { kind: 'primary/propose', group: GROUP, ownerEpoch, term }).kind;
    expect(commit(2, 1, 1, 's1')).toBe('done');
    expect(commit(3, 1, 1, 's2')).toBe('superseded');
    expect(propose(4, 9, 2)).toBe('superseded');
    expect(propose(5, 1, 2)).toBe('done');
    expect(propose(6, 1, 2)).toBe('superseded');
    expect(commit(7, 1, 1, 's1')).toBe('superseded');
    expect(commit(8, 1, 2, 's2')).toBe('done');
    expect(groupRecordOf(state, GROUP)).toMatchObject({ primary: 's2', term: 2, proposedTerm: 2 });
  });

  it('lists records changed since an index, including removals but not operators', () => {
    const state = stateWithCustomer();
    const operator = { tokenSha256Hex: 'a'.repeat(64), subtrees: [] };
    applyCommand(state, 2, applyOf('o', 1, [{ path: 'operators/ann', value: operator }]));
    applyCommand(state, 3, applyOf('r', 2, [{ path: 'customers/acme', value: null }]));
    expect(recordsSince(state, 1).map(({ key, stored }) => [key, stored.record.kind])).toEqual([
      ['settings/customers/acme', 'removed'],
    ]);
  });
});

describe('server places', () => {
  it.each([
    { name: 'the current owner', ownerEpoch: 1, expected: 1 },
    { name: 'an owner with an outdated epoch', ownerEpoch: 0, expected: 0 },
  ])('are stored if sent by $name: $expected', ({ ownerEpoch, expected }) => {
    const state = createControlState();
    applyCommand(state, 1, assign(1, 'e1'));
    const server = toServerName('i-1');
    const place: ServerPlace = { server, address: '10.0.0.1:1', zone: 'a', slots: 2 };
    const places = [place];
    applyCommand(state, 2, { kind: 'group/places', group: GROUP, ownerEpoch, places });
    const restored = importControlState(exportControlState(state));
    expect(groupRecordOf(restored, GROUP).places ?? []).toHaveLength(expected);
  });

  const placeOf = (name: string): ServerPlace => {
    return { server: toServerName(name), address: '10.0.0.1:1', zone: 'a', slots: 2 };
  };
  const namesOf = (state: ControlState) =>
    groupRecordOf(state, GROUP).places?.map(({ server }) => server);

  // Guards against LOST: a record that arrived late took a server that had joined off the record.
  it('are not undone by an older command of the same owner that arrives late', () => {
    const state = createControlState();
    applyCommand(state, 1, assign(1, 'e1'));
    const store = (index: number, sequence: number, names: string[]) =>
      applyCommand(state, index, {
        ...{ kind: 'group/places', group: GROUP, ownerEpoch: 1 },
        ...{ places: names.map(placeOf), sequence },
      }).kind;
    expect(store(2, 2, ['i-1', 'i-2'])).toBe('done');
    expect(store(3, 1, ['i-1'])).toBe('superseded');
    expect(namesOf(state)).toEqual(['i-1', 'i-2']);
    expect(store(4, 3, ['i-1'])).toBe('done');
    expect(namesOf(state)).toEqual(['i-1']);
    applyCommand(state, 5, assign(2, 'e2'));
    const next = { kind: 'group/places', group: GROUP, ownerEpoch: 2, sequence: 1 } as const;
    expect(applyCommand(state, 6, { ...next, places: [] }).kind).toBe('done');
  });

  it('include the successor from the moment at which its term is proposed', () => {
    const state = createControlState();
    applyCommand(state, 1, assign(1, 'e1'));
    const propose = (index: number, term: number, name: string, sequence: number) =>
      applyCommand(state, index, {
        ...{ kind: 'primary/propose', group: GROUP, ownerEpoch: 1, term },
        successor: { place: placeOf(name), sequence },
      }).kind;
    expect(propose(2, 1, 'i-1', 1)).toBe('done');
    expect(propose(3, 2, 'i-2', 3)).toBe('done');
    expect(propose(4, 3, 'i-1', 4)).toBe('done');
    expect(namesOf(state)?.sort()).toEqual(['i-1', 'i-2']);
    const late = { kind: 'group/places', group: GROUP, ownerEpoch: 1, sequence: 2 } as const;
    expect(applyCommand(state, 5, { ...late, places: [] }).kind).toBe('superseded');
  });
});

describe('members of a group', () => {
  // Guards against lost commits: two servers joined at once, although each would have had to wait for the other.
  it('are added by an owner one at a time', () => {
    const state = createControlState();
    applyCommand(state, 1, assign(1, 'e1'));
    const observe = (index: number, name: string, ownerEpoch: number, memberCount: number) =>
      applyCommand(state, index, {
        ...{ kind: 'group/observe', group: GROUP, server: toServerName(name) },
        from: { ownerEpoch, memberCount },
      }).kind;
    expect(observe(2, 'a', 1, 0)).toBe('done');
    expect(observe(3, 'b', 1, 1)).toBe('done');
    expect(observe(4, 'c', 1, 1)).toBe('superseded');
    expect(observe(5, 'c', 0, 2)).toBe('superseded');
    expect(observe(6, 'a', 0, 0)).toBe('done');
    expect(observe(7, 'c', 1, 2)).toBe('done');
    expect(groupRecordOf(state, GROUP).servers).toEqual(['a', 'b', 'c']);
  });
});

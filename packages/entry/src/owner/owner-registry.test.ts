import { toGroupName, toSessionId } from '@bramleykeel/core';
import { describe, expect, it } from 'vitest';
import { answerRequestStatusQuery, type OwnerRegistry } from './owner-registry.js';
import type { GroupOwner } from './owner-state.js';

const GROUP = toGroupName('g');
const SESSION = toSessionId('e1:1');

function createOwner(epoch: number, lastSentNumber: number | undefined): GroupOwner {
  const lastSentRequests = new Map(
    lastSentNumber === undefined ? [] : [[SESSION, { number: lastSentNumber, atMs: 0 }]],
  );
  return {
    group: GROUP,
    epoch,
    lastSentRequests,
    revokedSessions: new Map(),
    sessions: new Map(),
  } as unknown as GroupOwner;
}

describe('answerRequestStatusQuery', () => {
  const CASES: readonly [string, GroupOwner | undefined, readonly GroupOwner[], string][] = [
    ['the current owner, not started', createOwner(3, undefined), [], 'not-started'],
    ['the current owner, started', createOwner(3, 5), [], 'may-have-run'],
    ['an owner that has handed over, not started', undefined, [createOwner(3, 4)], 'not-started'],
    ['an owner that has handed over, started', undefined, [createOwner(3, 5)], 'may-have-run'],
    ['an owner of a later epoch only', createOwner(5, undefined), [], 'may-have-run'],
    [
      'a later owner beside the closed owner of the queried epoch',
      createOwner(5, undefined),
      [createOwner(3, 5)],
      'may-have-run',
    ],
    ['no owner', undefined, [], 'may-have-run'],
  ];
  it.each(CASES)('%s', (_name, current, closed, expected) => {
    const registry = {
      owners: new Map(current ? [[GROUP, current]] : []),
      closedOwners: new Set(closed),
    } as unknown as OwnerRegistry;
    const query = { ownerEpoch: 3, session: SESSION, number: 5 };
    expect(answerRequestStatusQuery(registry, GROUP, query)).toBe(expected);
  });
});

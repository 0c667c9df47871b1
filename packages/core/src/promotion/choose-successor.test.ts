import { describe, expect, it } from 'vitest';
import type { ServerName } from '../types/ids.js';
import {
  chooseSuccessor,
  type FencedServer,
  mayAcknowledge,
  type ReceivedAcknowledgement,
  type SuccessorContext,
} from './choose-successor.js';

const name = (text: string) => text as ServerName;
const at = (offset: number, term = 2) => ({ term, offset });

function fenced(server: string, offset: number, change: Partial<FencedServer> = {}): FencedServer {
  return {
    server: name(server),
    position: at(offset),
    isLeaving: false,
    wasPrimary: false,
    placement: 'suitable',
    ...change,
  };
}

const base: SuccessorContext = {
  fenced: [],
  unfenced: [],
  mayPrimaryReturn: true,
  hasUncoveredCommits: false,
  mayHaveUnknownReplicas: false,
  acknowledged: at(10),
  isPlanned: false,
};

interface Case {
  readonly name: string;
  readonly context: Partial<SuccessorContext>;
  readonly expected: string;
}

function check({ context, expected }: Case): void {
  const choice = chooseSuccessor({ ...base, ...context });
  const text = choice.kind === 'promote' ? `${choice.server} ${choice.ground}` : choice.reason;
  expect(text).toBe(expected);
}

const wasPrimary = { wasPrimary: true };
const isLeaving = { isLeaving: true };
const isEvacuated = { placement: 'evacuated' as const };
const isOutsideHomes = { placement: 'outside-homes' as const };

describe('chooseSuccessor', () => {
  describe('of an owner that knows the acknowledged position', () => {
    it.each<Case>([
      {
        name: 'takes the longer log',
        context: { fenced: [fenced('a', 10), fenced('b', 12)] },
        expected: 'b reaches-acknowledged',
      },
      {
        name: 'takes the replica that is not leaving among equal logs',
        context: { fenced: [fenced('a', 12, isLeaving), fenced('b', 12)] },
        expected: 'b reaches-acknowledged',
      },
      {
        name: 'takes the lowest name among equal logs',
        context: { fenced: [fenced('b', 12), fenced('a', 12)] },
        expected: 'a reaches-acknowledged',
      },
      {
        name: 'prefers a longer log to a replica that is not leaving',
        context: { fenced: [fenced('a', 12, isLeaving), fenced('b', 11)] },
        expected: 'a reaches-acknowledged',
      },
      {
        name: 'does not wait for an unreachable replica, because it passes on nothing further',
        context: { fenced: [fenced('a', 12)], unfenced: [name('b')] },
        expected: 'a reaches-acknowledged',
      },
      {
        name: 'waits for an unreachable replica that may have the missing commits',
        context: { fenced: [fenced('a', 9)], unfenced: [name('b')] },
        expected: 'behind-acknowledged',
      },
      {
        name: 'waits for it as well if the primary is known to have ended',
        context: { fenced: [fenced('a', 9)], unfenced: [name('b')], mayPrimaryReturn: false },
        expected: 'behind-acknowledged',
      },
      {
        name: 'takes the longest log of all replicas: a newer position was the end of the primary’s log',
        context: { fenced: [fenced('a', 9), fenced('b', 8)] },
        expected: 'a longest-of-all',
      },
      {
        name: 'waits for the primary if a replica that has left may have the missing commits',
        context: { fenced: [fenced('a', 9)], hasUncoveredCommits: true },
        expected: 'behind-acknowledged',
      },
      // Guards against LOST: the owner's own acknowledgement shows that a replica is missing, of which it has not heard.
      {
        name: 'waits if no known log reaches it and a replica may be unknown',
        context: { fenced: [fenced('a', 9), fenced('b', 8)], mayHaveUnknownReplicas: true },
        expected: 'replica-may-be-unknown',
      },
      {
        name: 'does not wait for unknown replicas if a log reaches it',
        context: { fenced: [fenced('a', 10)], mayHaveUnknownReplicas: true },
        expected: 'a reaches-acknowledged',
      },
      {
        name: 'does not wait for commits that nobody can have any more',
        context: { fenced: [fenced('a', 9)], hasUncoveredCommits: true, mayPrimaryReturn: false },
        expected: 'a others-are-lost',
      },
    ])('$name: $expected', check);
  });

  describe('of a new owner that found no primary', () => {
    const acknowledged = undefined;

    it.each<Case>([
      {
        name: 'waits for an unreachable replica however long the reachable log is',
        context: { acknowledged, fenced: [fenced('a', 99)], unfenced: [name('b')] },
        expected: 'replica-may-acknowledge',
      },
      {
        name: 'takes the longest log once all replicas are fenced',
        context: { acknowledged, fenced: [fenced('a', 9), fenced('b', 8)] },
        expected: 'a longest-of-all',
      },
      {
        name: 'waits for the primary if a replica is known to have restarted without its log',
        context: { acknowledged, fenced: [fenced('a', 9)], hasUncoveredCommits: true },
        expected: 'behind-acknowledged',
      },
      {
        name: 'takes the former primary, which has returned, before a shorter log',
        context: {
          acknowledged,
          fenced: [fenced('a', 9), fenced('p', 12, wasPrimary)],
          unfenced: [name('b')],
        },
        expected: 'p is-former-primary',
      },
      {
        name: 'takes a replica with all that the former primary has',
        context: {
          acknowledged,
          fenced: [fenced('a', 12), fenced('p', 12, wasPrimary)],
          unfenced: [name('b')],
        },
        expected: 'a reaches-former-primary',
      },
      {
        name: 'takes the longest log of all replicas before the former primary, which may not reach them',
        context: { acknowledged, fenced: [fenced('a', 9), fenced('p', 12, wasPrimary)] },
        expected: 'a longest-of-all',
      },
      {
        name: 'waits while a replica may be unknown',
        context: { acknowledged, fenced: [fenced('a', 9)], mayHaveUnknownReplicas: true },
        expected: 'replica-may-be-unknown',
      },
      {
        name: 'takes the former primary, which has returned, while a replica may be unknown',
        context: {
          acknowledged,
          fenced: [fenced('a', 9), fenced('p', 12, wasPrimary)],
          mayHaveUnknownReplicas: true,
        },
        expected: 'p is-former-primary',
      },
      { name: 'waits if no server answers', context: { acknowledged }, expected: 'no-candidate' },
    ])('$name: $expected', check);
  });

  describe('after the primary gave up its role', () => {
    it.each<Case>([
      {
        name: 'takes a replica with all acknowledged commits',
        context: {
          fenced: [fenced('a', 10), fenced('p', 12, wasPrimary)],
          unfenced: [name('b')],
        },
        expected: 'a reaches-acknowledged',
      },
      {
        name: 'takes the former primary if only that has them',
        context: { fenced: [fenced('a', 9), fenced('p', 12, wasPrimary)], unfenced: [name('b')] },
        expected: 'p is-former-primary',
      },
      {
        name: 'takes the former primary if a replica that has left may have had more',
        context: {
          fenced: [fenced('a', 9), fenced('p', 12, wasPrimary)],
          hasUncoveredCommits: true,
        },
        expected: 'p is-former-primary',
      },
    ])('$name: $expected', check);
  });

  describe('among servers whose zones do not all suit the primary', () => {
    it.each<Case>([
      {
        name: 'prefers a suitable zone to a longer log if both reach the acknowledged position',
        context: { fenced: [fenced('a', 12, isEvacuated), fenced('b', 11)] },
        expected: 'b reaches-acknowledged',
      },
      {
        name: 'prefers a zone outside the homes to an evacuated one',
        context: { fenced: [fenced('a', 12, isEvacuated), fenced('b', 11, isOutsideHomes)] },
        expected: 'b reaches-acknowledged',
      },
      {
        name: 'takes the safe log, also in an evacuated zone',
        context: { fenced: [fenced('a', 12, isEvacuated), fenced('b', 9)] },
        expected: 'a reaches-acknowledged',
      },
      // Guards against a second change of primary, after the next owner has chosen by name among equal logs.
      {
        name: 'prefers a suitable zone among equally long logs if the acknowledged position is unknown',
        context: {
          acknowledged: undefined,
          fenced: [fenced('a', 12, isEvacuated), fenced('b', 12)],
        },
        expected: 'b longest-of-all',
      },
      // Guards against LOST: a suitable server was taken for the longest of all although another log is longer.
      {
        name: 'takes the longest log of all if the acknowledged position is unknown',
        context: {
          acknowledged: undefined,
          fenced: [fenced('a', 12, isEvacuated), fenced('b', 9)],
        },
        expected: 'a longest-of-all',
      },
      {
        name: 'takes the longest log of all if no server reaches the acknowledged position',
        context: { fenced: [fenced('a', 9, isOutsideHomes), fenced('b', 8)] },
        expected: 'a longest-of-all',
      },
      {
        name: 'waits for an unreachable replica rather than for a zone',
        context: { fenced: [fenced('b', 9)], unfenced: [name('a')] },
        expected: 'behind-acknowledged',
      },
      {
        name: 'takes a replica with all that the former primary has, in a suitable zone',
        context: {
          acknowledged: undefined,
          fenced: [fenced('a', 12, isEvacuated), fenced('b', 12), fenced('p', 12, wasPrimary)],
          unfenced: [name('c')],
        },
        expected: 'b reaches-former-primary',
      },
    ])('$name: $expected', check);
  });

  describe('in a planned change', () => {
    const isPlanned = true;

    it.each<Case>([
      {
        name: 'waits until a replica has caught up, because the primary still acknowledges commits',
        context: { isPlanned, fenced: [fenced('a', 9)] },
        expected: 'behind-acknowledged',
      },
      {
        name: 'takes a replica that has caught up',
        context: { isPlanned, fenced: [fenced('a', 10)] },
        expected: 'a reaches-acknowledged',
      },
      {
        name: 'waits for a replica that stays',
        context: { isPlanned, fenced: [] },
        expected: 'no-candidate',
      },
    ])('$name: $expected', check);
  });
});

describe('mayAcknowledge', () => {
  const received: ReceivedAcknowledgement = {
    holdsLease: true,
    isFromPrimary: true,
    position: at(11),
    successorPosition: undefined,
  };
  const former = { isFromPrimary: false };

  it.each<[string, Partial<ReceivedAcknowledgement>, boolean]>([
    ['the primary’s commits', {}, true],
    ['no commit after the lease has ended', { holdsLease: false }, false],
    [
      'the former primary’s commit that the successor has',
      { ...former, successorPosition: at(11) },
      true,
    ],
    ['no commit that the chosen successor lacks', { ...former, successorPosition: at(10) }, false],
    ['no commit of a server that another owner has replaced', former, false],
    [
      'no commit without a position after the choice',
      { ...former, position: null, successorPosition: at(99) },
      false,
    ],
  ])('passes on %s', (_name, change, expected) => {
    expect(mayAcknowledge({ ...received, ...change })).toBe(expected);
  });
});

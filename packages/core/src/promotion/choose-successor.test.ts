import { describe, expect, it } from 'vitest';
import type { ServerName } from '../types/ids.js';
import { chooseSuccessor, type FencedServer, type SuccessorContext } from './choose-successor.js';

const name = (text: string) => text as ServerName;

function fenced(server: string, offset: number, change: Partial<FencedServer> = {}): FencedServer {
  const position = { term: 2, offset };
  return { server: name(server), position, isLeaving: false, wasPrimary: false, ...change };
}

const base: SuccessorContext = {
  fenced: [],
  unfenced: [],
  acknowledged: { term: 2, offset: 10 },
  unfencedSilentMs: 0,
  hasStoppedWrites: false,
};

describe('chooseSuccessor', () => {
  it.each<{ name: string; context: Partial<SuccessorContext>; expected: string }>([
    {
      name: 'both replicas fenced: the longer log',
      context: { fenced: [fenced('a', 10), fenced('b', 12)] },
      expected: 'b',
    },
    {
      name: 'equal logs: the replica that is not leaving',
      context: { fenced: [fenced('a', 12, { isLeaving: true }), fenced('b', 12)] },
      expected: 'b',
    },
    {
      name: 'equal logs: the lowest name',
      context: { fenced: [fenced('b', 12), fenced('a', 12)] },
      expected: 'a',
    },
    {
      name: 'a longer log is preferred to a replica that is not leaving',
      context: { fenced: [fenced('a', 12, { isLeaving: true }), fenced('b', 11)] },
      expected: 'a',
    },
    {
      name: 'one replica might still acknowledge',
      context: { fenced: [fenced('a', 12)], unfenced: [name('b')] },
      expected: 'replica-may-acknowledge',
    },
    {
      name: 'the unfenced replica has been silent for the timeout',
      context: { fenced: [fenced('a', 12)], unfenced: [name('b')], unfencedSilentMs: 3_000 },
      expected: 'a',
    },
    {
      name: 'the unfenced replica is silent, but the other lacks an acknowledged commit',
      context: { fenced: [fenced('a', 9)], unfenced: [name('b')], unfencedSilentMs: 9_000 },
      expected: 'behind-acknowledged',
    },
    {
      name: 'the primary gave up its role: nothing more is acknowledged',
      context: {
        fenced: [fenced('a', 10), fenced('p', 12, { wasPrimary: true })],
        unfenced: [name('b')],
      },
      expected: 'a',
    },
    {
      name: 'only the former primary has every acknowledged commit',
      context: {
        fenced: [fenced('a', 9), fenced('p', 12, { wasPrimary: true })],
        unfenced: [name('b')],
      },
      expected: 'p',
    },
    {
      name: 'all replicas fenced behind the end of the log that the primary had reported',
      context: { fenced: [fenced('a', 9), fenced('b', 8)] },
      expected: 'a',
    },
    {
      name: 'a planned change waits until a replica has caught up',
      context: { fenced: [fenced('a', 9)], hasStoppedWrites: true },
      expected: 'behind-acknowledged',
    },
    {
      name: 'a planned change with a replica that has caught up',
      context: { fenced: [fenced('a', 10)], hasStoppedWrites: true },
      expected: 'a',
    },
    { name: 'no server answers', context: {}, expected: 'no-candidate' },
  ])('$name: $expected', ({ context, expected }) => {
    const choice = chooseSuccessor({ ...base, ...context });
    expect(choice.kind === 'promote' ? choice.server : choice.reason).toBe(expected);
  });
});

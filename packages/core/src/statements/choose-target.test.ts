import { describe, expect, it } from 'vitest';
import type { ServerName } from '../types/ids.js';
import { chooseTarget, type TargetNeed, type TargetView } from './choose-target.js';

const owed = { term: 1, offset: 50 };

function view(server: string, change: Partial<TargetView> = {}): TargetView {
  return {
    server: server as ServerName,
    isPrimary: false,
    isLeaving: false,
    isUsable: true,
    isNear: false,
    freeSlots: 2,
    position: owed,
    laggingUntilMs: 0,
    ...change,
  };
}

const read: TargetNeed = { mustBePrimary: false, owed, owedSinceMs: 0, mayGuess: true };
const write: TargetNeed = { ...read, mustBePrimary: true };
const primary = view('p', { isPrimary: true });
const behind = { term: 1, offset: 49 };

describe('the server for a statement', () => {
  it.each([
    {
      name: 'a write goes to the primary',
      servers: [view('r'), primary],
      need: write,
      expected: 'p',
    },
    {
      name: 'a write waits while the primary is full',
      servers: [view('r'), view('p', { isPrimary: true, freeSlots: 0 })],
      need: write,
      expected: undefined,
    },
    {
      name: 'a write waits while there is no primary',
      servers: [view('r')],
      need: write,
      expected: undefined,
    },
    {
      name: 'a write waits while the primary is unusable',
      servers: [view('p', { isPrimary: true, isUsable: false })],
      need: write,
      expected: undefined,
    },
    {
      name: 'a read goes to the primary with slots to spare',
      servers: [view('r'), primary],
      need: read,
      expected: 'p',
    },
    {
      name: 'a read leaves the last slot to writes',
      servers: [view('r'), view('p', { isPrimary: true, freeSlots: 1 })],
      need: read,
      expected: 'r',
    },
    {
      name: 'a read takes the last slot when no replica can',
      servers: [view('r', { freeSlots: 0 }), view('p', { isPrimary: true, freeSlots: 1 })],
      need: read,
      expected: 'p',
    },
    {
      name: 'a read goes to a replica without a primary',
      servers: [view('r')],
      need: read,
      expected: 'r',
    },
    {
      name: 'a replica nearby is preferred',
      servers: [view('a', { freeSlots: 5 }), view('b', { isNear: true })],
      need: read,
      expected: 'b',
    },
    {
      name: 'a leaving replica gets nothing',
      servers: [view('r', { isLeaving: true })],
      need: read,
      expected: undefined,
    },
    {
      name: 'a replica behind the owed position gets nothing new',
      servers: [view('r', { position: behind })],
      need: { ...read, owedSinceMs: 990 },
      expected: undefined,
    },
    {
      name: 'a replica probably has what is older',
      servers: [view('r', { position: behind })],
      need: { ...read, owedSinceMs: 800 },
      expected: 'r',
    },
    {
      name: 'a replica that refused lately is not asked to guess',
      servers: [view('r', { position: behind, laggingUntilMs: 2_000 })],
      need: read,
      expected: undefined,
    },
    {
      name: 'a statement that was refused once is not guessed for',
      servers: [view('r', { position: behind })],
      need: { ...read, mayGuess: false },
      expected: undefined,
    },
  ])('$name', ({ servers, need, expected }) => {
    expect(chooseTarget(servers, need, 1_000)).toBe(expected);
  });
});

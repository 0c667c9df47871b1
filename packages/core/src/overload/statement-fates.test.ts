import { describe, expect, it } from 'vitest';
import {
  createStatementFates,
  fateKeyOf,
  isPromisedNotToStart,
  promiseNotStarted,
  recordStarted,
} from './statement-fates.js';

describe('fates of statements', () => {
  it('name those that have not started, which are then dropped', () => {
    const fates = createStatementFates(0);
    recordStarted(fates, fateKeyOf(7, 'a'), 10);
    const keys = [fateKeyOf(7, 'a'), fateKeyOf(7, 'b'), fateKeyOf(8, 'a')];
    expect(promiseNotStarted(fates, keys, 20)).toEqual(['7 b', '8 a']);
    expect(keys.map((key) => isPromisedNotToStart(fates, key))).toEqual([false, true, true]);
  });

  // Guards against a started statement that is forgotten while its entry may still ask.
  it('are remembered for 5 s, over which an entry asks and a delayed statement could still arrive', () => {
    const fates = createStatementFates(0);
    recordStarted(fates, 'x', 4_990);
    recordStarted(fates, 'y', 5_010);
    expect(promiseNotStarted(fates, ['x', 'z'], 9_990)).toEqual(['z']);
    recordStarted(fates, 'w', 10_020);
    expect(isPromisedNotToStart(fates, 'z')).toBe(true);
    expect(promiseNotStarted(fates, ['x', 'y'], 10_030)).toEqual(['x']);
  });
});

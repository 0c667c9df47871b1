import { describe, expect, it } from 'vitest';
import {
  assignCustomer,
  type BudgetAccount,
  type BudgetHolder,
  type ByteBudget,
  chooseToClose,
  createByteBudget,
  createHolder,
  enforceBudget,
  mustPause,
  mustRefuse,
  releaseHolder,
  setHeld,
} from './byte-budget.js';

interface Row {
  readonly customer: string | undefined;
  readonly account: BudgetAccount;
  readonly bytes: number;
}

function hold(rows: readonly Row[], limitBytes = 1_000) {
  const budget: ByteBudget = createByteBudget(limitBytes);
  const closed: number[] = [];
  const holders = rows.map(({ customer, account, bytes }, index): BudgetHolder => {
    const holder = createHolder(() => closed.push(index));
    if (customer !== undefined) assignCustomer(budget, holder, customer);
    setHeld(budget, holder, account, bytes, index);
    return holder;
  });
  return { budget, holders, closed };
}

const row = (customer: string | undefined, bytes: number, account: BudgetAccount = 'input') => {
  return { customer, account, bytes };
};

describe('byte budget', () => {
  it.each<[string, Row[], number | undefined, string | undefined]>([
    ['nothing while it is kept', [row('a', 600), row('b', 400)], undefined, undefined],
    ['the largest holder', [row('a', 300), row('a', 701)], 1, 'budget-exceeded'],
    ['the oldest of equal ones', [row('a', 501), row('a', 501)], 0, 'budget-exceeded'],
    [
      'one of the customer that holds most, though another has the largest holder',
      [row('a', 400), row('b', 350), row('b', 351)],
      2,
      'budget-exceeded',
    ],
    [
      'a caller that is not known, above the share of those',
      [row('a', 400), row(undefined, 60), row(undefined, 66)],
      2,
      'unknown-callers-share-exceeded',
    ],
  ])('closes %s', (_name, rows, index, reason) => {
    const { budget, holders } = hold(rows);
    const choice = chooseToClose(budget);
    expect(choice?.holder).toBe(index === undefined ? undefined : holders[index]);
    expect(choice?.reason).toBe(reason);
  });

  it('closes only until it is kept', () => {
    const { budget, closed } = hold([row('a', 500), row('a', 400), row('b', 300)]);
    enforceBudget(budget);
    expect(closed).toEqual([0]);
    expect(budget.totalBytes).toBe(700);
  });

  // Guards against a wait for ever: only further input frees what a holder of unfinished input holds.
  it.each<[string, BudgetAccount, number, boolean]>([
    ['unfinished input', 'input', 800, false],
    ['queued requests', 'queued', 800, true],
    ['unsent answers', 'unsent', 800, true],
    ['little', 'queued', 10, false],
  ])('under pressure, pauses a holder of %s: %s, %d bytes', (_name, account, bytes, isPaused) => {
    const { budget, holders } = hold([row('a', bytes, account), row('b', 900 - bytes, 'input')]);
    const [holder] = holders;
    expect(holder && mustPause(budget, holder)).toBe(isPaused);
  });

  it.each([
    [700, false],
    [900, true],
  ])('refuses new requests of the largest holder at %d bytes: %s', (bytes, isRefused) => {
    const { budget, holders } = hold([row('a', bytes - 10, 'queued'), row('b', 10, 'queued')]);
    expect(holders.map((holder) => mustRefuse(budget, holder))).toEqual([isRefused, false]);
  });

  it('keeps no trace of holders that hold nothing or are closed', () => {
    const { budget, holders } = hold([row('a', 10), row(undefined, 20)]);
    for (const [index, holder] of holders.entries()) {
      if (index === 0) setHeld(budget, holder, 'input', 0, 5);
      else releaseHolder(budget, holder);
    }
    expect(budget.totalBytes).toBe(0);
    expect(budget.holders.size).toBe(0);
    expect(budget.bytesByCustomer.size).toBe(0);
  });
});

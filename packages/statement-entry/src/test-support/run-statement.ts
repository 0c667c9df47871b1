/** Sends statements to the owner of a fake group, for tests of the owner. */
import {
  type StatementAccess,
  type StatementOutcome,
  type StatementRequest,
  toCustomerName,
} from '@bramleykeel/core';
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'vitest';
import { dispatch } from '../owner/dispatch.js';
import { acceptStatement } from '../owner/owner-app.js';
import type { StatementOwner } from '../owner/owner-state.js';

/** Customer of statements that name no other one. */
export const TEST_CUSTOMER = toCustomerName('one');

const UNTIL_TIMEOUT_MS = 3_000;

let nextNumber = 1;

/** Has an owner run a statement, and resolves with its outcome. */
export function runStatementAt(
  owner: StatementOwner,
  access: StatementAccess,
  change: Partial<StatementRequest> = {},
): Promise<StatementOutcome> {
  const number = nextNumber;
  nextNumber += 1;
  const request: StatementRequest = {
    number,
    tag: `t${number}`,
    access,
    body: { kind: 'plain', text: access },
    transaction: null,
    customer: TEST_CUSTOMER,
    priority: 1,
    consistency: 'bounded-age',
    maxReadAgeMs: 1_500,
    mark: null,
    values: {},
    homes: null,
    budgetMs: 4_000,
    startWithinMs: 2_000,
    ...change,
  };
  return new Promise((resolve) => {
    const answer = (_number: number, outcome: StatementOutcome) => {
      resolve(outcome);
    };
    acceptStatement(owner, { id: 'caller', answer }, request);
    dispatch(owner);
  });
}

/** Expects that a statement is refused as not run without a wait. */
export async function expectRefusalAtOnce(
  outcome: Promise<StatementOutcome>,
  reason: 'no-primary' | 'no-home-server',
): Promise<void> {
  const startedAtMs = performance.now();
  expect(await outcome).toMatchObject({ kind: 'not-run', reason });
  expect(performance.now() - startedAtMs).toBeLessThan(100);
}

/** Waits for a condition, which has to be met within 3 s. */
export async function until(condition: () => boolean): Promise<void> {
  const untilMs = performance.now() + UNTIL_TIMEOUT_MS;
  while (!condition() && performance.now() < untilMs) await delay(5);
  expect(condition()).toBe(true);
}

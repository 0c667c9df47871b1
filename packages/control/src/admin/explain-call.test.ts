import { type ControlState, toCustomerName } from '@bramleykeel/core';
import type { LinkPeer } from '@bramleykeel/link';
import { Left, Right } from 'purify-ts';
import { describe, expect, it } from 'vitest';
import type { LeaderService } from '../leader/leader-service.js';
import { answerExplainCall } from './explain-call.js';

const customer = toCustomerName('tuulgan');
const limit = { ratePerSecond: 100, burst: 50, readAgeAllowanceMs: 700 };
const request = { database: 'bookings', customer, access: 'read', mark: null, maxAgeMs: null };
const choice = { outcome: { kind: 'no-primary' }, servers: [] };

const recordsOf = (hasOwner: boolean) => {
  const records: [string, object][] = [
    ['settings/customers/tuulgan', { kind: 'setting', path: 'customers/tuulgan', value: limit }],
    ['groups/bookings', { kind: 'group', record: { group: 'bookings', servers: [], term: 0 } }],
    ['settings/keys/tuulgan/k', { kind: 'setting', path: 'keys/tuulgan/k', value: 'the-key' }],
  ];
  const assignment = { resource: 'group/bookings', entryId: 'e1', incarnation: 'i1', epoch: 3 };
  if (hasOwner) records.push(['group/bookings', { kind: 'assignment', assignment }]);
  return new Map(records.map(([key, record]) => [key, { record, modifiedIndex: 1 }]));
};

/** A leader whose only entry answers with `answers` by method, or not at all. */
function createService(hasOwner: boolean, answers: Readonly<Record<string, unknown>> | undefined) {
  const asked: { method: string; params: unknown }[] = [];
  const peer = {
    request: (method: string, params: unknown) => {
      asked.push({ method, params });
      return Promise.resolve(answers ? Right(answers[method]) : Left('no answer'));
    },
  } as unknown as LinkPeer;
  const control = { records: recordsOf(hasOwner) } as unknown as ControlState;
  const service = {
    driver: { control: () => control },
    subscribers: new Map([[peer, { incarnation: 'i1' }]]),
  } as unknown as LeaderService;
  return { service, asked };
}

describe('answerExplainCall', () => {
  it.each([
    { change: { database: 'nowhere' }, message: 'no database is named nowhere' },
    { change: { customer: 'nobody' }, message: 'no customer is named nobody' },
  ])('says that $message', async ({ change, message }) => {
    const { service } = createService(true, {});
    const answer = await answerExplainCall(service, { ...request, ...change });
    expect(answer).toEqual({ kind: 'error', code: 'not-found', message });
  });

  it('says that no entry owns the database', async () => {
    const answer = await answerExplainCall(createService(false, {}).service, request);
    expect(answer).toMatchObject({ kind: 'error', message: 'no entry owns bookings now' });
  });

  // Guards against an entry of an earlier version, which rejects the method.
  it('says that the owner does not answer', async () => {
    const answer = await answerExplainCall(createService(true, undefined).service, request);
    const message = 'the owner of bookings, e1, does not answer for epoch 3';
    expect(answer).toMatchObject({ kind: 'error', message });
  });

  it('asks the owner under its epoch with the customer’s allowed age, and returns no key', async () => {
    const { service, asked } = createService(true, { 'explain/choice': choice });
    const answer = await answerExplainCall(service, request);
    expect(asked).toMatchObject([
      { method: 'explain/choice', params: { epoch: 3, readAgeAllowanceMs: 700 } },
    ]);
    const rate = { ratePerSecond: 100, burst: 50, home: null };
    expect(answer).toMatchObject({ kind: 'ok', result: { choice, rate } });
    expect(JSON.stringify(answer)).not.toContain('the-key');
  });

  it('refuses a malformed request', async () => {
    const answer = await answerExplainCall(createService(true, {}).service, { database: 7 });
    expect(answer).toMatchObject({ kind: 'error', code: 'bad-request' });
  });
});

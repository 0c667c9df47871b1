import { type LoadFailure, toCustomerName, toGroupName } from '@bramleykeel/core';
import { describe, expect, it } from 'vitest';
import { createServerState, type PooledConnection } from '../owner/owner-state.js';
import type { TargetAnswer } from '../types/target-port.js';
import { sendMeasured } from './measured-order.js';

function createPooled(answer: TargetAnswer): PooledConnection {
  const customer = toCustomerName('tuulgan');
  const announcement = {
    group: toGroupName('ledger'),
    server: 'i-1' as PooledConnection['server']['announcement']['server'],
    address: '127.0.0.1:1',
    zone: 'zone-a',
    slots: 2,
    role: 'replica',
    isLeaving: false,
    bornMs: 1,
    sequence: 1,
  } as const;
  return {
    connection: {
      customer,
      send: () => Promise.resolve(answer),
      isOpen: () => true,
      close: () => undefined,
    },
    server: createServerState(announcement, 0),
    openedAtMs: 0,
    values: {},
    valuesKey: '',
    prepared: new Set(),
    lastUsedMs: 0,
    isDiscarded: false,
  };
}

async function measure(answer: TargetAnswer) {
  const pooled = createPooled(answer);
  await sendMeasured(
    pooled,
    { kind: 'run', tag: 't', isWrite: false, after: null, text: 'READ x' },
    'read',
    100,
  );
  return pooled.server.load;
}

describe('sendMeasured', () => {
  it('records the service time of an answer', async () => {
    const load = await measure({
      kind: 'done',
      rows: [],
      signature: 's',
      state: 'idle',
      position: null,
    });
    expect(load.service.get('read')?.sampleCount).toBe(1);
    expect(load.unanswered.get('read')?.count).toBe(0);
    expect(load.failures.size).toBe(0);
  });

  // Guards against load that leaks with each kind of answer, and against a broken server that looks fast.
  it.each<{ answer: TargetAnswer; failure: LoadFailure | undefined }>([
    { answer: { kind: 'failed', text: 'no', state: 'idle' }, failure: 'error' },
    { answer: { kind: 'timed-out', state: 'idle' }, failure: 'timeout' },
    { answer: { kind: 'unknown', state: 'idle' }, failure: 'timeout' },
    { answer: { kind: 'overdue' }, failure: 'mute' },
    { answer: { kind: 'lost' }, failure: 'reset' },
    { answer: { kind: 'refused', code: 'busy', state: 'idle' }, failure: undefined },
  ])('records $answer.kind as $failure and no service time', async ({ answer, failure }) => {
    const load = await measure(answer);
    expect([...load.failures.keys()]).toEqual(failure === undefined ? [] : [failure]);
    expect(load.unanswered.get('read')?.count).toBe(0);
    expect(load.service.size).toBe(0);
  });
});

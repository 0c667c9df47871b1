import { type ServerName, toCustomerName, toGroupName } from '@bramleykeel/core';
import { expect, it } from 'vitest';
import { createServerState } from '../owner/owner-state.js';
import type { TargetAnswer, TargetConnection } from '../types/target-port.js';
import { createReadAttempt } from './read-attempt.js';
import { type ReplicaPlace, runOnReplica } from './run-on-replica.js';

// Guards against MIXED: the answer that is still to come is taken for that of the next read.
it('reuses no connection whose answer was cut off', async () => {
  const answer: TargetAnswer = { kind: 'unknown', state: 'idle' };
  let isOpen = true;
  const connection: TargetConnection = {
    customer: toCustomerName('tuulgan'),
    isOpen: () => isOpen,
    close: () => {
      isOpen = false;
    },
    send: () => Promise.resolve(answer),
  };
  const group = toGroupName('ledger');
  const server = createServerState(
    {
      ...{ group, server: 'i-1' as ServerName, address: '127.0.0.1:1', zone: 'a', slots: 2 },
      ...{ role: 'replica', isLeaving: false, bornMs: 1, sequence: 1 },
    },
    performance.now(),
  );
  const place: ReplicaPlace = {
    pools: {
      group,
      counters: {
        count: () => undefined,
        gauge: () => undefined,
        timing: () => undefined,
        totals: () => ({}),
        close: () => undefined,
      },
      maxConnections: () => 5,
      openTarget: () => Promise.resolve({ kind: 'open', connection, position: null }),
    },
    brokenAtMs: new Map(),
    isEvacuated: () => false,
  };
  await runOnReplica(place, server, {
    draft: {
      ...{ tag: 't', access: 'read', body: { kind: 'plain', text: 'READ x' }, transaction: null },
      ...{ customer: connection.customer, priority: 1, consistency: 'bounded-age' },
      ...{ maxReadAgeMs: 1_500, mark: null, values: {}, homes: null },
    },
    isHomeNow: () => true,
    after: { term: 1, offset: 1 },
    deadlineMs: performance.now() + 1_000,
    attempt: createReadAttempt(),
  });
  expect(server.idle).toEqual([]);
  expect(isOpen).toBe(false);
});

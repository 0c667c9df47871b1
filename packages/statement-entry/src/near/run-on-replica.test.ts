import { type ServerName, toCustomerName, toGroupName } from '@bramleykeel/core';
import { describe, expect, it } from 'vitest';
import { createServerState, type ServerState } from '../owner/owner-state.js';
import type { TargetAnswer, TargetConnection } from '../types/target-port.js';
import { createReadAttempt } from './read-attempt.js';
import { type ReplicaPlace, runOnReplica } from './run-on-replica.js';

const group = toGroupName('ledger');
const customer = toCustomerName('tuulgan');

function createReplica() {
  return createServerState(
    {
      ...{ group, server: 'i-1' as ServerName, address: '127.0.0.1:1', zone: 'a', slots: 2 },
      ...{ role: 'replica', isLeaving: false, bornMs: 1, sequence: 1 },
    },
    performance.now(),
  );
}

/** Runs a read on a connection that gives one answer to each order; returns whether the connection is open after it. */
async function readFrom(
  server: ServerState,
  answer: TargetAnswer,
  values: Readonly<Record<string, string>> = {},
) {
  let isOpen = true;
  const connection: TargetConnection = {
    customer,
    isOpen: () => isOpen,
    close: () => {
      isOpen = false;
    },
    send: () => Promise.resolve(answer),
  };
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
  const outcome = await runOnReplica(place, server, {
    draft: {
      ...{ tag: 't', access: 'read', body: { kind: 'plain', text: 'READ x' }, transaction: null },
      ...{ customer, priority: 1, consistency: 'bounded-age' },
      ...{ maxReadAgeMs: 1_500, mark: null, values, homes: null },
    },
    isHomeNow: () => true,
    after: { term: 1, offset: 1 },
    deadlineMs: performance.now() + 1_000,
    attempt: createReadAttempt(),
  });
  return { outcome, isOpen, broken: [...place.brokenAtMs.keys()] };
}

// Guards against MIXED: the answer that is still to come is taken for that of the next read.
it('reuses no connection whose answer was cut off', async () => {
  const server = createReplica();
  const { isOpen } = await readFrom(server, { kind: 'unknown', state: 'idle' });
  expect(server.idle).toEqual([]);
  expect(isOpen).toBe(false);
});

describe('a replica that answers the setup of a read', () => {
  // Guards against one session's value that ends all reads at a replica.
  it.each<TargetAnswer>([
    { kind: 'foreign' },
    { kind: 'refused', code: 'busy', state: 'idle' },
    { kind: 'refused', code: 'malformed', state: 'idle' },
    { kind: 'failed', text: 'no such value', state: 'idle' },
  ])('but does not carry it out is not taken for broken: $kind', async (answer) => {
    const server = createReplica();
    const read = await readFrom(server, answer, { unit: 'mm' });
    expect(read).toEqual({ outcome: undefined, isOpen: false, broken: [] });
    expect(server.failingSinceMs).toBeUndefined();
  });

  it.each<TargetAnswer>([{ kind: 'lost' }, { kind: 'overdue' }])(
    'with $kind is taken for broken',
    async (answer) => {
      const server = createReplica();
      const { broken } = await readFrom(server, answer, { unit: 'mm' });
      expect(broken).toEqual([server]);
    },
  );
});

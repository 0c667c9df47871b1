import { PassThrough } from 'node:stream';
import {
  type Intent,
  type Refusal,
  refuse,
  toCustomerName,
  toGroupName,
  toSessionId,
  type ToOwnerMessage,
  ZERO_POSITION,
} from '@bramleykeel/core';
import { createCounters } from '@bramleykeel/link';
import { buildQuery } from '@bramleykeel/postgres-wire';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { OwnerPort } from '../locate/owner-port.js';
import { handleOwnerMessage, handlePortLost, sendChunk } from './caller-request.js';
import type { CallerSession } from './caller-state.js';
import type { BuiltChunk } from './chunk-builder.js';

const GROUP = toGroupName('g');
const FAILOVER_WAIT_MS = 150;
/** More attempts than any limit allows; the session is closed then, so that a test without a limit ends. */
const MAX_ATTEMPTS = 500;

type Start = Extract<ToOwnerMessage, { kind: 'request/start' }>;

describe('a request whose owner is lost', () => {
  let session: CallerSession;
  let output: string;
  let attempts: number;
  let hasOwner: boolean;
  let logged: Record<string, unknown>[];
  /** What becomes of a request at its owner; returns whether it was sent. */
  let onStart: (port: OwnerPort, start: Start) => boolean;

  function createPort(): OwnerPort {
    const port: OwnerPort = {
      ...{ group: GROUP, epoch: 7, isLocal: false, isOpen: () => true },
      send: (message) => {
        if (message.kind !== 'request/start') return true;
        attempts += 1;
        if (attempts >= MAX_ATTEMPTS) session.isClosed = true;
        return onStart(port, message);
      },
    };
    return port;
  }

  beforeEach(() => {
    output = '';
    attempts = 0;
    hasOwner = true;
    logged = [];
    const socket = new PassThrough();
    socket.on('data', (bytes: Buffer) => (output += bytes.toString('latin1')));
    const environment = {
      ...{ counters: createCounters('test', undefined), failoverWaitMs: FAILOVER_WAIT_MS },
      log: (message: string, fields: Record<string, unknown>) =>
        logged.push({ message, ...fields }),
      locator: {
        findOwner: () => (hasOwner ? createPort() : undefined),
        awaitOwner: () => Promise.resolve(undefined),
        queryRequestStatus: () => Promise.resolve('not-started'),
      },
      ...{ readAgeAllowanceMs: () => null, closesAfterAnswers: () => false },
    };
    session = {
      ...{ id: toSessionId('e1:1'), group: GROUP, customer: toCustomerName('acme') },
      ...{ environment, socket, settings: new Map(), mark: null, status: 'idle', inbox: [] },
      ...{ nextRequestNumber: 1, continueInput: () => undefined, isClosed: false },
    } as unknown as CallerSession;
  });

  afterEach(() => {
    session.isClosed = true;
  });

  function send(intent: Intent): Promise<void> {
    const chunk = { messages: buildQuery('x'), statements: [], expected: [], isFinal: true };
    const mayCommit = intent === 'write';
    const built = { chunk: { ...chunk, mayCommit }, intent, settingEffect: null };
    return sendChunk(session, built as unknown as BuiltChunk);
  }

  function loseOwner(port: OwnerPort): boolean {
    setImmediate(() => {
      handlePortLost(session, port);
    });
    return true;
  }

  function refuseAt(refusal: Refusal, { number }: Start): boolean {
    setImmediate(() => {
      handleOwnerMessage(session, {
        ...{ kind: 'request/end', session: session.id, number, status: 'idle' },
        ...{ mark: ZERO_POSITION, refusal, isFromReplica: false },
      });
    });
    return true;
  }

  // Guards against a read at which one owner after another ends.
  it('runs at most three times if it is a read', async () => {
    onStart = loseOwner;
    await send('read');
    await vi.waitFor(() => {
      expect(output).toContain('08007');
    });
    await delay(50);
    expect(attempts).toBe(3);
    expect(output).toContain('owner-lost-after-start');
    expect(logged).toMatchObject(
      [1, 2, 3].map((count) => ({ ownerEpoch: 7, unansweredRuns: count, isRetried: count < 3 })),
    );
  });

  it('has an unknown outcome if the next owner refuses the read', async () => {
    onStart = (port, start) =>
      attempts === 1 ? loseOwner(port) : refuseAt(refuse('queue-timeout'), start);
    await send('read');
    await vi.waitFor(() => {
      expect(output).toContain('08007');
    });
    expect(attempts).toBe(2);
    expect(output).not.toContain('not run');
  });

  it('has an unknown outcome if the read finds no other owner', async () => {
    onStart = (port) => {
      hasOwner = false;
      return loseOwner(port);
    };
    await send('read');
    await vi.waitFor(() => {
      expect(output).toContain('08007');
    });
    expect(output).not.toContain('no-owner');
  });

  // Guards against a loop that never yields: the link is open, and the request is longer than a frame may be.
  it.each(['read', 'write'] as const)(
    'is sent again after a pause, and refused in time, if the link does not take the %s',
    async (intent) => {
      onStart = () => false;
      await send(intent);
      await vi.waitFor(() => {
        expect(output).toContain('57P03');
      });
      expect(output).toContain('no-owner');
      expect(attempts).toBeGreaterThan(1);
      expect(attempts).toBeLessThan(20);
    },
  );
});

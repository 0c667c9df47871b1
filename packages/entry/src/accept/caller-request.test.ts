import { PassThrough } from 'node:stream';
import {
  type Intent,
  toCustomerName,
  toGroupName,
  toSessionId,
  type ToOwnerMessage,
} from '@bramleykeel/core';
import { createCounters } from '@bramleykeel/link';
import { buildQuery } from '@bramleykeel/postgres-wire';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { OwnerPort } from '../locate/owner-port.js';
import { sendChunk } from './caller-request.js';
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
    const socket = new PassThrough();
    socket.on('data', (bytes: Buffer) => (output += bytes.toString('latin1')));
    const environment = {
      ...{ counters: createCounters('test', undefined), failoverWaitMs: FAILOVER_WAIT_MS },
      log: () => undefined,
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

import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';
import { describe, expect, it } from 'vitest';
import { createByteBudget } from '@bramleykeel/core';
import { readBoundedBody } from './body-budget.js';

function createBodies(limitBytes: number) {
  const dropped: number[] = [];
  const collector = {
    countReceived: () => undefined,
    countDropped: (bytes: number) => {
      if (bytes > 0) dropped.push(bytes);
    },
  };
  const bodies = {
    budget: createByteBudget(limitBytes),
    collector,
    counters: { count: () => undefined },
  };
  return { bodies, dropped };
}

/** A request whose closed socket is not reported while the test runs, as during the reads of other sockets. */
function createRequest() {
  let isDestroyed = false;
  const stream = new Readable({ read: () => undefined });
  const socket = {
    destroy: () => {
      isDestroyed = true;
    },
  };
  const request = Object.assign(stream, { headers: {}, socket }) as unknown as IncomingMessage;
  return { request, isDestroyed: () => isDestroyed };
}

const nextTurn = () => new Promise((resolve) => setImmediate(resolve));

describe('bodies of requests', () => {
  // Guards against full collections for heartbeats, which arrive often.
  it.each([
    [2, []],
    [64 * 1_024, [128 * 1_024]],
  ])(
    'of %d bytes are returned as text, and count as dropped if they are large',
    async (bytes, counted) => {
      const { bodies, dropped } = createBodies(100_000);
      const { request } = createRequest();
      const body = readBoundedBody(bodies, request, 100_000);
      request.push('a'.repeat(bytes / 2));
      request.push('b'.repeat(bytes / 2));
      request.push(null);
      expect(await body).toBe('a'.repeat(bytes / 2) + 'b'.repeat(bytes / 2));
      expect(dropped).toEqual(counted);
      expect(bodies.budget.totalBytes).toBe(0);
    },
  );

  // Guards against bodies of closed requests that stay in memory until all sockets were read.
  it('are dropped as soon as their request is closed, though the request has not ended', async () => {
    const { bodies, dropped } = createBodies(100);
    const { request, isDestroyed } = createRequest();
    const body = readBoundedBody(bodies, request, 1_000);
    request.push('x'.repeat(60));
    await nextTurn();
    request.push('x'.repeat(60));
    await nextTurn();
    expect(isDestroyed()).toBe(true);
    expect(dropped).toEqual([120]);
    request.push(null);
    expect(await body).toBeUndefined();
    expect(bodies.budget.totalBytes).toBe(0);
  });

  it('are not returned above their limit', async () => {
    const { bodies } = createBodies(100);
    const { request } = createRequest();
    const body = readBoundedBody(bodies, request, 10);
    request.push('x'.repeat(11));
    expect(await body).toBeUndefined();
    expect(bodies.budget.totalBytes).toBe(0);
  });
});

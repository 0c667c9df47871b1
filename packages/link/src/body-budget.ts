/** Reads the bodies of HTTP requests within one budget for all requests of a server. */
import type { IncomingMessage } from 'node:http';
import {
  type ByteBudget,
  createByteBudget,
  createHolder,
  enforceBudget,
  releaseHolder,
  setHeld,
} from '@bramleykeel/core';
import { type BufferCollector, createBufferCollector } from './buffer-collector.js';
import type { Counters } from './counters.js';

export interface BodyBudget {
  readonly budget: ByteBudget;
  readonly collector: BufferCollector;
  readonly counters: Pick<Counters, 'count'>;
}

/** All clients of HTTP are of one kind here; the largest body is given up first. */
const CUSTOMER = 'http';

export function createBodyBudget(
  budgetBytes: number,
  counters: Pick<Counters, 'count'>,
): BodyBudget {
  return { budget: createByteBudget(budgetBytes), collector: createBufferCollector(), counters };
}

/**
 * Reads a body as UTF-8. While the budget is used up, the connection with the largest body is closed.
 *
 * @returns `undefined` if the body is longer than `maxBytes`
 * @example
 * const body = await readBoundedBody(bodies, request, 16_384);
 */
export async function readBoundedBody(
  { budget, collector, counters }: BodyBudget,
  request: IncomingMessage,
  maxBytes: number,
): Promise<string | undefined> {
  const announcedBytes = Number(request.headers['content-length'] ?? 0);
  if (announcedBytes > maxBytes) return undefined;
  const chunks: Buffer[] = [];
  let length = 0;
  const holder = createHolder((reason) => {
    counters.count(`limit.body-${reason}`);
    request.socket.destroy();
  });
  holder.customer = CUSTOMER;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      length += chunk.length;
      collector.countReceived(chunk.length);
      if (length > maxBytes) return undefined;
      chunks.push(chunk);
      setHeld(budget, holder, 'input', length, performance.now());
      enforceBudget(budget);
    }
    const body = Buffer.concat(chunks);
    chunks.length = 0;
    return body.toString('utf8');
  } finally {
    releaseHolder(budget, holder);
    chunks.length = 0;
    // The chunks, their copy and its text.
    collector.countDropped(length * 2);
  }
}

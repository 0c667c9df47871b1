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

/** What was received of a body that is not complete yet. */
interface HeldBody {
  readonly chunks: Buffer[];
  bytes: number;
  /** Whether the connection was closed to keep the budget. */
  isClosed: boolean;
}

/** Shorter bodies that were read whole, such as heartbeats, are young still and do not cause full collections. */
const MIN_DROPPED_BYTES = 64 * 1024;

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
 * @returns `undefined` if the body is longer than `maxBytes`, or its connection was closed
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
  const held: HeldBody = { chunks: [], bytes: 0, isClosed: false };
  const drop = () => {
    held.chunks.length = 0;
    collector.countDropped(held.bytes);
    held.bytes = 0;
  };
  const holder = createHolder((reason) => {
    counters.count(`limit.body-${reason}`);
    held.isClosed = true;
    request.socket.destroy();
    // The request ends only after all other sockets were read in this turn of the event loop.
    drop();
  });
  holder.customer = CUSTOMER;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      collector.countReceived(chunk.length);
      if (held.isClosed || held.bytes + chunk.length > maxBytes) return undefined;
      held.chunks.push(chunk);
      held.bytes += chunk.length;
      setHeld(budget, holder, 'input', held.bytes, performance.now());
      enforceBudget(budget);
    }
    if (held.isClosed) return undefined;
    const text = Buffer.concat(held.chunks).toString('utf8');
    held.chunks.length = 0;
    // The chunks and their copy.
    if (held.bytes >= MIN_DROPPED_BYTES) collector.countDropped(held.bytes * 2);
    held.bytes = 0;
    return text;
  } finally {
    releaseHolder(budget, holder);
    drop();
  }
}

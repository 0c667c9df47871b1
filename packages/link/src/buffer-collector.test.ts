import { describe, expect, it } from 'vitest';
import { createBufferCollector } from './buffer-collector.js';

const MIB = 1024 * 1024;
const BACKGROUND_FREE_LIMIT_MS = 2_000;

const sleeper = new Int32Array(new SharedArrayBuffer(4));

/**
 * Waits until V8, which frees buffers in the background after a collection, holds less than `bytes`. Blocks the thread and
 * creates no buffer, as V8 may collect young objects whenever one is created. Returns the bytes of buffers at the end.
 */
function awaitBackgroundFree(bytes: number): number {
  const endMs = performance.now() + BACKGROUND_FREE_LIMIT_MS;
  let heldBytes = process.memoryUsage().arrayBuffers;
  while (heldBytes >= bytes && performance.now() < endMs) {
    Atomics.wait(sleeper, 0, 0, 5);
    heldBytes = process.memoryUsage().arrayBuffers;
  }
  return heldBytes;
}

function createObserved(readExternalBytes: () => number) {
  const collections: string[] = [];
  const collect = (generation: string) => collections.push(generation);
  return { collector: createBufferCollector({ collect, readExternalBytes }), collections };
}

describe('buffer collector', () => {
  it('collects young objects after each 4 MiB received, and all after each 8 MiB dropped', () => {
    const { collector, collections } = createObserved(() => 0);
    for (let received = 0; received < 10; received += 1) collector.countReceived(MIB);
    expect(collections).toEqual(['young', 'young']);
    for (let dropped = 0; dropped < 10; dropped += 1) collector.countDropped(MIB);
    expect(collections).toEqual(['young', 'young', 'all']);
  });

  // Guards against memory of requests that had to wait, which no collection of young objects frees.
  it('collects all once memory outside the heap has grown by 8 MiB since its lowest', () => {
    const readings = [30, 10, 17, 18, 18, 25, 9, 17].map((mib) => mib * MIB);
    const { collector, collections } = createObserved(() => readings.shift() ?? 0);
    for (let received = 0; received < 6; received += 1) collector.countReceived(4 * MIB);
    // 30 at the start; 10 and 17; 18, after which it is still 18; 25 and 9, which is the lowest now; 17.
    const grown = ['young', 'all'];
    expect(collections).toEqual(['young', 'young', ...grown, 'young', 'young', ...grown]);
  });

  // Guards against buffers that stay in memory after the connection that had sent them is closed.
  it('frees buffers that nobody holds', () => {
    const collector = createBufferCollector();
    const hold = () => Buffer.alloc(32 * MIB, 1).length;
    const beforeBytes = process.memoryUsage().arrayBuffers;
    collector.countDropped(hold());
    expect(awaitBackgroundFree(beforeBytes + MIB)).toBeLessThan(beforeBytes + MIB);
  });

  // Guards against a collection of young objects in place of a full one, which V8 does for options it does not know.
  it('frees dropped buffers that were held during collections of young objects', () => {
    const collector = createBufferCollector();
    const held = Array.from({ length: 32 }, () => Buffer.alloc(MIB, 1));
    const heldBytes = process.memoryUsage().arrayBuffers;
    for (let received = 0; received < 16; received += 1) collector.countReceived(MIB);
    held.length = 0;
    collector.countDropped(32 * MIB);
    // V8 frees the buffers in the background; the next collection waits until it has.
    collector.countReceived(4 * MIB);
    expect(process.memoryUsage().arrayBuffers).toBeLessThan(heldBytes - 24 * MIB);
  });
});

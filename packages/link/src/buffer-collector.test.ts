import { describe, expect, it } from 'vitest';
import { createBufferCollector } from './buffer-collector.js';

const MIB = 1024 * 1024;

describe('buffer collector', () => {
  it('collects young objects after each 4 MiB received, and all after each 8 MiB dropped', () => {
    const collections: (string | undefined)[] = [];
    const collector = createBufferCollector((options) => collections.push(options?.type));
    for (let received = 0; received < 10; received += 1) collector.countReceived(MIB);
    expect(collections).toEqual(['minor', 'minor']);
    for (let dropped = 0; dropped < 10; dropped += 1) collector.countDropped(MIB);
    expect(collections).toEqual(['minor', 'minor', 'major']);
  });

  // Guards against buffers that stay in memory after the connection that had sent them is closed.
  it('frees buffers that nobody holds', () => {
    const collector = createBufferCollector();
    const hold = () => Buffer.alloc(32 * MIB, 1).length;
    const beforeBytes = process.memoryUsage().arrayBuffers;
    collector.countDropped(hold());
    expect(process.memoryUsage().arrayBuffers - beforeBytes).toBeLessThan(32 * MIB);
  });
});

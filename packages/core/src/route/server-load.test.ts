import { describe, expect, it } from 'vitest';
import {
  createServerLoad,
  recordFailed,
  recordOthers,
  recordSent,
  recordServed,
} from './server-load.js';

describe('server load', () => {
  const alone = { elapsedMs: 20, occupied: 1, slots: 4 };

  it('smooths the service time of each kind of access, with its age', () => {
    const load = createServerLoad();
    for (const [index, elapsedMs] of [10, 20, 30].entries())
      recordServed(load, 'read', { ...alone, elapsedMs }, index);
    recordServed(load, 'write', alone, 7);
    expect(load.service.get('read')).toMatchObject({ meanMs: 20, sampleCount: 3, atMs: 2 });
    expect(load.service.get('write')).toMatchObject({ meanMs: 20, sampleCount: 1, atMs: 7 });
  });

  // Guards against a busy server that looks slow and is avoided until it looks fast again.
  it('measures what a statement takes alone, not its wait for a slot', () => {
    const load = createServerLoad();
    recordServed(load, 'read', { elapsedMs: 40, occupied: 8, slots: 4 }, 0);
    expect(load.service.get('read')?.meanMs).toBe(20);
  });

  it('follows a server that becomes slower within some tens of answers', () => {
    const load = createServerLoad();
    for (let index = 0; index < 100; index += 1) recordServed(load, 'read', alone, index);
    for (let index = 0; index < 30; index += 1)
      recordServed(load, 'read', { ...alone, elapsedMs: 200 }, index);
    expect(load.service.get('read')?.meanMs).toBeGreaterThan(180);
  });

  it('counts unanswered statements and failures by kind', () => {
    const load = createServerLoad();
    for (let index = 0; index < 3; index += 1) recordSent(load, 'read', index);
    recordServed(load, 'read', alone, 3);
    recordFailed(load, 'read', 'mute', 4);
    expect(load.unanswered.get('read')).toEqual({ count: 1, atMs: 4 });
    expect(load.failures.get('mute')).toEqual({ count: 1, atMs: 4 });
    expect(load.service.get('read')?.sampleCount).toBe(1);
  });

  it('smooths the reports of others, and starts again after a pause', () => {
    const load = createServerLoad();
    for (const [index, running] of [4, 2, 3].entries()) recordOthers(load, running, index * 1_000);
    expect(load.others).toEqual({ running: 3, meanRunning: 3, messageCount: 3, atMs: 2_000 });
    recordOthers(load, 0, 9_000);
    expect(load.others).toMatchObject({ running: 0, meanRunning: 0, messageCount: 1 });
  });
});

import { describe, expect, it } from 'vitest';
import type { ServerAnnouncement } from '../statements/types.js';
import { busyTargets, type KnownWork } from './target-work.js';

function known(server: string, role: 'primary' | 'replica', work?: Partial<KnownWork>) {
  const announcement = { group: 'ledger', server, role } as ServerAnnouncement;
  const idle: KnownWork = { running: 0, transactions: 0, isPrimary: false, ageMs: 40.4 };
  return { announcement, announcedAgoMs: 900.2, work: work && { ...idle, ...work } };
}

describe('the servers of an evacuated zone that have work', () => {
  it('are the primary, those that run something, and those of which it is not known', () => {
    const targets = busyTargets([
      known('i-4', 'replica'),
      known('i-3', 'replica', {}),
      known('i-2', 'replica', { transactions: 2 }),
      known('i-1', 'replica', { running: 1 }),
      known('i-0', 'replica', { isPrimary: true }),
    ]);
    expect(targets).toEqual([
      { group: 'ledger', server: 'i-0', role: 'primary', running: 0, transactions: 0, ageMs: 40 },
      { group: 'ledger', server: 'i-1', role: 'replica', running: 1, transactions: 0, ageMs: 40 },
      { group: 'ledger', server: 'i-2', role: 'replica', running: 0, transactions: 2, ageMs: 40 },
      {
        ...{ group: 'ledger', server: 'i-4', role: 'replica' },
        ...{ running: null, transactions: null, ageMs: 900 },
      },
    ]);
  });
});

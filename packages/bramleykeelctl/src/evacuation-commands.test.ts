import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import {
  changeEvacuation,
  describeEvacuations,
  formatEvacuation,
  unreportedEntries,
} from './evacuation-commands.js';
import { formatStatus, type SystemStatus } from './format-status.js';

const server = (name: string, zone: string, running: number) => ({
  ...{ server: name, role: 'replica', term: 1, position: '1/1', zone, running },
  ...{ isLeaving: false, heardMsAgo: 10 },
});
const entry = (id: string) => ({
  ...{ entryId: id, incarnation: `${id}-1`, zone: 'zone-a', settingsRevision: 1 },
  isStopping: false,
});
const owners = [
  {
    ...{ group: 'bookings', epoch: 1, phase: 'steady', sessions: 0 },
    servers: [
      server('b-1', 'zone-a', 0),
      server('b-2', 'zone-a', 3),
      server('b-3', 'zone-a', 0),
      server('b-4', 'zone-b', 5),
    ],
  },
];
const status: SystemStatus = {
  control: { leader: 'c', term: 1, commitIndex: 1, members: [] },
  settingsRevision: 1,
  entries: [entry('e-1'), entry('e-2')],
  evacuations: [{ zone: 'zone-a', orderedAtMs: Date.UTC(2026, 11, 6, 8) }],
  groups: [
    { group: 'bookings', primary: 'b-1', term: 1, proposedTerm: 1, servers: ['b-1', 'b-2'] },
  ],
  assignments: [],
  reports: [
    { incarnation: 'e-1-1', report: { entryId: 'e-1', callers: 0, owners } },
    { incarnation: 'e-2-1', report: null },
  ],
};

describe('the list of evacuations', () => {
  const lines = [
    'evacuated: zone-a, ordered 2026-12-06T08:00:00.000Z',
    '  b-1: primary of bookings, 0 statements running, heard 10 ms ago',
    '  b-2: replica of bookings, 3 statements running, heard 10 ms ago',
  ];

  it('has the servers of the zone that run statements or are primary', () => {
    expect(describeEvacuations(status).flatMap(formatEvacuation)).toEqual(lines);
    expect(unreportedEntries(status)).toEqual(['e-2']);
  });

  it('is part of the status', () => {
    expect(formatStatus(status)).toContain(lines.join('\n'));
  });

  it('is empty for members that do not know evacuations', () => {
    const earlier: SystemStatus = { ...status, evacuations: undefined };
    expect(describeEvacuations(earlier)).toEqual([]);
  });
});

describe('an evacuation call', () => {
  let member: Server | undefined;

  afterEach(() => {
    member?.close();
  });

  /** Starts a member whose index rises by one before each of the first `conflicts` changes. */
  async function startMember(conflicts: number) {
    const calls: string[] = [];
    let index = 4;
    let remaining = conflicts;
    const listening = createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => {
        const text = Buffer.concat(chunks).toString();
        calls.push(`${request.url ?? ''} ${text}`);
        if (request.url === '/v1/evacuation/index') {
          response.end(JSON.stringify({ kind: 'found', index }));
          return;
        }
        if (remaining > 0) {
          remaining -= 1;
          index += 1;
        }
        const isConflict = (JSON.parse(text) as { expectedIndex: number }).expectedIndex !== index;
        response.statusCode = isConflict ? 409 : 200;
        response.end(JSON.stringify(isConflict ? { code: 'conflict', message: 'm' } : {}));
      });
    });
    member = listening;
    await new Promise<void>((resolve) => listening.listen(0, '127.0.0.1', resolve));
    const { port } = listening.address() as AddressInfo;
    return { calls, access: { addresses: [`127.0.0.1:${port}`], token: 't' } };
  }

  it('names the fresh index after a conflict', async () => {
    const { calls, access } = await startMember(1);
    expect((await changeEvacuation(access, 'zone-a', true)).kind).toBe('ok');
    expect(calls).toEqual([
      '/v1/evacuation/index {"zone":"zone-a"}',
      '/v1/evacuation/order {"zone":"zone-a","expectedIndex":4}',
      '/v1/evacuation/index {"zone":"zone-a"}',
      '/v1/evacuation/order {"zone":"zone-a","expectedIndex":5}',
    ]);
  });

  it('reports a conflict that does not end', async () => {
    const { calls, access } = await startMember(1_000);
    const outcome = await changeEvacuation(access, 'zone-a', false);
    expect(outcome).toMatchObject({ kind: 'refused', code: 'conflict' });
    expect(calls).toHaveLength(20);
  });
});

/** Guards against PostgreSQL callers that end an entry, fill its memory or take its descriptors. */
import {
  closeCrowd,
  connectCrowd,
  type Crowd,
  observeUsage,
  piecesOf,
  repeated,
  sendChunks,
  sendFromAll,
} from '@bramleykeel/dev-launcher';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  CUSTOMER,
  GROUP,
  startTestCluster,
  type TestCluster,
  waitFor,
  withClient,
} from '../test-cluster.js';

const MIB = 1024 * 1024;
/** Heap of the entry, in MB; production has 160. */
const HEAP_MB = 64;
/** Bound of resident memory: 250 MB less a heap of 160 MB is what production leaves for all else. */
const MAX_RESIDENT_MB = HEAP_MB + 250 - 160;
/** Descriptors that the entry of these tests may have open. */
const MAX_DESCRIPTORS = 600;
/** Time that a crowd stays after it has sent what it could, in milliseconds. */
const HOLD_MS = 500;
const LOGIN_WAIT_MS = 3_000;

/** Limits lowered for the tests, as TOML. */
const LIMITS_TOML = '[limits]\nmaxDescriptors = 600';

interface Kind {
  readonly name: string;
  readonly connections: number;
  readonly behave: (socket: Crowd[number], key: string) => Promise<void>;
}

function message(type: string, payload: Buffer): Buffer {
  const header = Buffer.alloc(5);
  header.write(type, 'latin1');
  header.writeInt32BE(payload.length + 4, 1);
  return Buffer.concat([header, payload]);
}

function query(bytes: number): Buffer {
  const start = 'SELECT count(*) FROM bookings -- ';
  return message(
    'Q',
    Buffer.from(`${start}${'x'.repeat(Math.max(0, bytes - start.length - 1))}\0`),
  );
}

function startupPacket(): Buffer {
  const parameters = Buffer.from(`user\0${CUSTOMER}\0database\0${GROUP}\0\0`);
  const header = Buffer.alloc(8);
  header.writeInt32BE(parameters.length + 8);
  header.writeInt32BE(196_608, 4);
  return Buffer.concat([header, parameters]);
}

/** Logs in and waits until the entry has answered, at most `LOGIN_WAIT_MS`. */
async function logIn(socket: Crowd[number], key: string): Promise<void> {
  let received = Buffer.alloc(0);
  const collect = (chunk: Buffer) => {
    received = Buffer.concat([received, chunk]);
  };
  socket.on('data', collect);
  await sendChunks(socket, [startupPacket(), message('p', Buffer.from(`${key}\0`))]);
  const readyForQuery = Buffer.from([0x5a, 0, 0, 0, 5, 0x49]);
  const deadlineMs = performance.now() + LOGIN_WAIT_MS;
  while (!received.includes(readyForQuery) && !socket.destroyed && performance.now() < deadlineMs)
    await delay(10);
  socket.off('data', collect);
  socket.resume();
}

const KINDS: readonly Kind[] = [
  {
    name: 'send many messages of 4 MB at once',
    connections: 24,
    behave: async (socket, key) => {
      await logIn(socket, key);
      await sendChunks(socket, repeated(query(4 * MIB), 4));
    },
  },
  {
    name: 'send messages of 1 MB in small fragments',
    connections: 24,
    behave: async (socket, key) => {
      socket.setNoDelay(true);
      await logIn(socket, key);
      await sendChunks(socket, piecesOf(query(MIB), 1_000));
    },
  },
  {
    name: 'send messages far over the limit',
    connections: 24,
    behave: async (socket, key) => {
      await logIn(socket, key);
      const header = Buffer.from([0x51, 0x40, 0, 0, 0]);
      await sendChunks(socket, [header, ...repeated(Buffer.alloc(64 * 1_024, 'x'), 256)]);
    },
  },
  {
    name: 'pipeline requests without reading',
    connections: 8,
    behave: async (socket, key) => {
      await logIn(socket, key);
      socket.pause();
      await sendChunks(socket, repeated(query(1_024), 30_000));
    },
  },
  {
    name: 'send slowly',
    connections: 100,
    behave: async (socket, key) => {
      await logIn(socket, key);
      await sendChunks(socket, [query(4 * MIB).subarray(0, 2 * MIB)]);
      for (let sent = 0; sent < 10; sent += 1) {
        await sendChunks(socket, ['x']);
        await delay(100);
      }
    },
  },
  {
    name: 'stop half-way',
    connections: 100,
    behave: async (socket, key) => {
      await logIn(socket, key);
      await sendChunks(socket, [query(4 * MIB).subarray(0, 3 * MIB)]);
    },
  },
  {
    name: 'stop half-way through messages before they have given their key',
    connections: 100,
    behave: async (socket) => {
      const password = message('p', Buffer.alloc(4 * MIB, 'x')).subarray(0, 3 * MIB);
      await sendChunks(socket, [startupPacket(), password]);
    },
  },
  {
    name: 'connect and stay silent',
    connections: 800,
    behave: () => Promise.resolve(),
  },
];

describe('a PostgreSQL entry whose callers', () => {
  let testCluster: TestCluster;
  let crowd: Crowd = [];

  beforeEach(async () => {
    testCluster = await startTestCluster({
      controlCount: 1,
      entryCount: 1,
      serversPerGroup: 1,
      daemonNodeOptions: [`--max-old-space-size=${HEAP_MB}`, '--max-semi-space-size=4'],
      extraEntryToml: LIMITS_TOML,
    });
  });

  afterEach(async () => {
    closeCrowd(crowd);
    await testCluster.remove();
  });

  it.each(KINDS.map((kind) => [kind.name, kind] as const))(
    '%s stays within its bounds',
    async (_name, kind) => {
      const { cluster } = testCluster;
      const entry = cluster.processes.get('entry-1');
      if (!entry) throw new Error('expected an entry');
      const key = cluster.plan.keys.get(CUSTOMER) ?? '';
      const address = `127.0.0.1:${cluster.plan.entries[0]?.callerPort ?? 0}`;
      const seen = await observeUsage(entry, async () => {
        crowd = await connectCrowd(address, kind.connections);
        await sendFromAll(crowd, (socket) => kind.behave(socket, key));
        await delay(HOLD_MS);
      });
      expect(seen.hasEnded).toBe(false);
      expect(seen.residentMb).toBeLessThan(MAX_RESIDENT_MB);
      expect(seen.descriptors).toBeLessThan(MAX_DESCRIPTORS);
      await waitFor(
        'an answer to an ordinary query',
        () =>
          withClient(cluster, 0, (client) => client.query('SELECT count(*) FROM bookings')).then(
            () => true,
            () => false,
          ),
        30_000,
      );
    },
  );

  // Guards against limits that refuse a permitted message, however little the process holds.
  it('send one message of 4 MB after another are answered each time', async () => {
    const text = `SELECT count(*) FROM bookings -- ${'x'.repeat(4 * MIB - 64)}`;
    await withClient(testCluster.cluster, 0, async (client) => {
      for (let sent = 0; sent < 5; sent += 1) {
        const { rows } = await client.query<{ count: string }>(text);
        expect(rows).toHaveLength(1);
      }
    });
  });
});

/** Guards against clients of the PostgreSQL dialect's HTTP ports that fill memory or take descriptors, and begun messages. */
import type { ChildProcess } from 'node:child_process';
import {
  type Cluster,
  closeCrowd,
  connectCrowd,
  type Crowd,
  observeUsage,
  repeated,
  sendChunks,
  sendFromAll,
} from '@bramleykeel/dev-launcher';
import type { Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  fetchStatus,
  sqlStateOf,
  startTestCluster,
  type TestCluster,
  waitFor,
  withClient,
} from '../test-cluster.js';

const MIB = 1024 * 1024;
/** Heap of the processes, in MB; production has 160. */
const HEAP_MB = 64;
/** Bound of resident memory: 250 MB less a heap of 160 MB is what production leaves for all else. */
const MAX_RESIDENT_MB = HEAP_MB + 250 - 160;
/** Descriptors that the processes of these tests may have open beside the crowd's. */
const MAX_DESCRIPTORS = 200;
/** Time that a crowd stays after it has sent what it could, in milliseconds. */
const HOLD_MS = 500;
const MESSAGE_TIMEOUT_MS = 1_000;
const LIMITS_TOML = `[limits]\nmaxDescriptors = 600\nmessageTimeoutMs = ${MESSAGE_TIMEOUT_MS}`;

interface Kind {
  readonly name: string;
  readonly process: 'control-1' | 'entry-1';
  readonly address: (cluster: Cluster) => string;
  readonly connections: number;
  readonly maxDescriptors: number;
  readonly behave: (socket: Crowd[number]) => Promise<void>;
}

function head(method: string, path: string, bodyBytes: number): string {
  return `${method} ${path} HTTP/1.1\r\nHost: a\r\nContent-Length: ${bodyBytes}\r\n\r\n`;
}

const toOperators = {
  process: 'control-1',
  address: ({ plan }: Cluster) => plan.control[0]?.adminAddress ?? '',
} as const;
const toAnnouncements = {
  process: 'entry-1',
  address: ({ plan }: Cluster) => plan.entries[0]?.announceAddress ?? '',
} as const;

const KINDS: readonly Kind[] = [
  {
    name: 'stop half-way through calls of operators',
    ...toOperators,
    connections: 48,
    maxDescriptors: MAX_DESCRIPTORS,
    behave: async (socket) => {
      const pieces = repeated(Buffer.alloc(64 * 1_024, ' '), 56);
      await sendChunks(socket, [head('POST', '/v1/status/get', 4 * MIB), ...pieces]);
    },
  },
  {
    name: 'pipeline calls of operators without reading',
    ...toOperators,
    connections: 8,
    maxDescriptors: MAX_DESCRIPTORS,
    behave: async (socket) => {
      socket.pause();
      const call = `${head('POST', '/v1/status/get', 16 * 1_024)}${' '.repeat(16 * 1_024)}`;
      await sendChunks(socket, repeated(call, 1_000));
    },
  },
  {
    name: 'connect to the port for announcements and stay silent',
    ...toAnnouncements,
    connections: 400,
    maxDescriptors: MAX_DESCRIPTORS,
    behave: () => Promise.resolve(),
  },
  {
    name: 'stop half-way through announcements',
    ...toAnnouncements,
    connections: 400,
    maxDescriptors: MAX_DESCRIPTORS,
    behave: async (socket) => {
      await sendChunks(socket, [head('PUT', '/announce', 16 * 1_024), ' '.repeat(15 * 1_024)]);
    },
  },
];

describe('a PostgreSQL deployment whose clients', () => {
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
      const daemon: ChildProcess | undefined = cluster.processes.get(kind.process);
      if (!daemon) throw new Error(`expected ${kind.process}`);
      const seen = await observeUsage(daemon, async () => {
        crowd = await connectCrowd(kind.address(cluster), kind.connections);
        await sendFromAll(crowd, kind.behave);
        await delay(HOLD_MS);
      });
      expect(seen.hasEnded).toBe(false);
      expect(seen.residentMb).toBeLessThan(MAX_RESIDENT_MB);
      expect(seen.descriptors).toBeLessThan(kind.maxDescriptors);
      await waitFor('an answer to an operator', () =>
        fetchStatus(cluster).then(
          ({ groups }) => groups.length > 0,
          () => false,
        ),
      );
      await waitFor('an answer to an ordinary query', () =>
        withClient(cluster, 0, (client) => client.query('SELECT count(*) FROM bookings')).then(
          () => true,
          () => false,
        ),
      );
    },
  );

  // Guards against messages that are begun and never finished, which hold memory for as long as the caller likes.
  it('begin a message and do not finish it in time are closed, and told that it did not run', async () => {
    const { cluster } = testCluster;
    await withClient(cluster, 0, async (client) => {
      const codes: string[] = [];
      client.on('error', (error) => codes.push(sqlStateOf(error)));
      const { connection } = client as unknown as { connection: { stream: Socket } };
      const header = Buffer.from([0x51, 0, 0x10, 0, 0]);
      connection.stream.write(Buffer.concat([header, Buffer.alloc(300 * 1_024, 'x')]));
      await waitFor('the connection to be closed', () => connection.stream.destroyed);
      expect(codes).toContain('53400');
    });
    await withClient(cluster, 0, (client) => client.query('SELECT count(*) FROM bookings'));
  });
});

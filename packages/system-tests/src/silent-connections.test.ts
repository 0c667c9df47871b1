import type { Cluster } from '@bramleykeel/dev-launcher';
import { startTcpRelay, type TcpRelay } from '@bramleykeel/test-support';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import {
  connect,
  logOf,
  primaryOf,
  sqlStateOf,
  startTestCluster,
  type TestCluster,
  withClient,
} from './test-cluster.js';
import { closeLedger, startLedger } from './write-ledger.js';

let running: TestCluster;
let cluster: Cluster;
const relays = new Map<string, TcpRelay>();

beforeAll(async () => {
  running = await startTestCluster({ hasServerRelays: true }, async (plan) => {
    for (const { server, address, announcedAddress } of plan.servers) {
      relays.set(server, await startTcpRelay(announcedAddress, address));
    }
  });
  cluster = running.cluster;
});

afterAll(async () => {
  await running.remove();
  await Promise.all([...relays.values()].map((relay) => relay.close()));
});

describe('connections to targets that went silent while new ones work', () => {
  it('are found before an idle one is used again', async () => {
    const primary = await primaryOf(cluster);
    await withClient(cluster, 0, (client) =>
      client.query("INSERT INTO bookings VALUES ('a', 'a')"),
    );
    for (const relay of relays.values()) relay.silenceOpenConnections();
    await new Promise((resolve) => setTimeout(resolve, 2_200));
    await withClient(cluster, 0, async (client) => {
      await client.query("INSERT INTO bookings VALUES ('b', 'b')");
      const { rowCount } = await client.query("SELECT id FROM bookings WHERE id = 'b'");
      expect(rowCount).toBe(1);
    });
    expect(await primaryOf(cluster)).toBe(primary);
  });

  it('end a running write as unknown and a running read with its answer', async () => {
    const primary = await primaryOf(cluster);
    const [writer, reader] = await Promise.all([connect(cluster, 0), connect(cluster, 1)]);
    await writer.query('BEGIN');
    const slept = writer.query('SELECT pg_sleep(0.3)').then(() => 'answered', sqlStateOf);
    const read = reader.query('SELECT pg_sleep(0.3)').then(() => 'answered', sqlStateOf);
    await new Promise((resolve) => setTimeout(resolve, 100));
    for (const relay of relays.values()) relay.silenceOpenConnections();
    expect(await slept).toBe('57P03');
    expect(await read).toBe('answered');
    expect(await primaryOf(cluster)).toBe(primary);
    void writer.end().catch(() => undefined);
    await reader.end();
  });

  it('lose and double nothing while writes run, time and again', async () => {
    const ledger = startLedger(cluster, 4);
    for (let turn = 0; turn < 3; turn += 1) {
      await new Promise((resolve) => setTimeout(resolve, 700));
      for (const relay of relays.values()) relay.silenceOpenConnections();
    }
    await new Promise((resolve) => setTimeout(resolve, 2_500));
    const summary = await closeLedger(cluster, ledger);
    expect(summary).toMatchObject({ lost: [], doubled: [], falselyNotRun: [], staleReads: [] });
    expect(summary.acknowledged).toBeGreaterThan(0);
    expect((await logOf(cluster, await primaryOf(cluster))).length).toBeGreaterThan(0);
  });
});

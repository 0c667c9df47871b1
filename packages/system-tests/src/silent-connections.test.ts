import type { Cluster } from '@bramleykeel/dev-launcher';
import { startTcpRelay, type TcpRelay } from '@bramleykeel/test-support';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import {
  connect,
  fetchServerLog,
  findPrimary,
  sqlStateOf,
  startTestCluster,
  type TestCluster,
  withClient,
} from './test-cluster.js';
import { closeLedger, startLedger } from './write-ledger.js';

let testCluster: TestCluster;
let cluster: Cluster;
const relays = new Map<string, TcpRelay>();

beforeAll(async () => {
  testCluster = await startTestCluster({ hasServerRelays: true }, async (plan) => {
    for (const { server, address, announcedAddress } of plan.servers) {
      relays.set(server, await startTcpRelay(announcedAddress, address));
    }
  });
  cluster = testCluster.cluster;
});

afterAll(async () => {
  await testCluster.remove();
  await Promise.all([...relays.values()].map((relay) => relay.close()));
});

describe('open connections to servers that go silent while new connections work', () => {
  it('are detected before an idle one is reused', async () => {
    const primary = await findPrimary(cluster);
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
    expect(await findPrimary(cluster)).toBe(primary);
  });

  it('fail an open transaction with 57P03 and answer a running read', async () => {
    const primary = await findPrimary(cluster);
    const [writer, reader] = await Promise.all([connect(cluster, 0), connect(cluster, 1)]);
    await writer.query('BEGIN');
    const slept = writer.query('SELECT pg_sleep(0.3)').then(() => 'answered', sqlStateOf);
    const read = reader.query('SELECT pg_sleep(0.3)').then(() => 'answered', sqlStateOf);
    await new Promise((resolve) => setTimeout(resolve, 100));
    for (const relay of relays.values()) relay.silenceOpenConnections();
    expect(await slept).toBe('57P03');
    expect(await read).toBe('answered');
    expect(await findPrimary(cluster)).toBe(primary);
    void writer.end().catch(() => undefined);
    await reader.end();
  });

  it('cause no lost, doubled or wrongly reported write and no stale read, even repeatedly', async () => {
    const ledger = startLedger(cluster, 4);
    for (let round = 0; round < 3; round += 1) {
      await new Promise((resolve) => setTimeout(resolve, 700));
      for (const relay of relays.values()) relay.silenceOpenConnections();
    }
    await new Promise((resolve) => setTimeout(resolve, 2_500));
    const summary = await closeLedger(cluster, ledger);
    expect(summary).toMatchObject({ lost: [], doubled: [], falselyNotRun: [], staleReads: [] });
    expect(summary.acknowledged).toBeGreaterThan(0);
    expect((await fetchServerLog(cluster, await findPrimary(cluster))).length).toBeGreaterThan(0);
  });
});

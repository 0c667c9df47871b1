import { type Cluster } from '@bramleykeel/dev-launcher';
import { spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';
import {
  connect,
  delay,
  findPrimary,
  sqlStateOf,
  startTestCluster,
  type TestCluster,
  waitFor,
  withClient,
} from './test-cluster.js';

const CTL_SCRIPT = fileURLToPath(new URL('../../bramleykeelctl/dist/main.js', import.meta.url));
/** Time within which an acknowledged order has to be in force. */
const IN_FORCE_MS = 5_000;

interface Evacuation {
  readonly zone: string;
  readonly orderedAt: string;
  readonly servers: readonly { readonly server: string; readonly isPrimary: boolean }[];
}

let testCluster: TestCluster;
let cluster: Cluster;

beforeAll(async () => {
  testCluster = await startTestCluster();
  cluster = testCluster.cluster;
});

afterAll(() => testCluster.remove());

afterEach(async () => {
  for (const zone of ['zone-a', 'zone-b', 'zone-c']) await runCtl('evacuate', zone, '--withdraw');
  await waitFor('writes at every entry', async () => {
    const states = await Promise.all(cluster.plan.entries.map((_entry, index) => write(index)));
    return states.every((state) => state === 'done');
  });
});

/** Runs `bramleykeelctl` and returns what it prints. */
function runCtl(...args: readonly string[]): Promise<string> {
  const { plan } = cluster;
  const access = [
    ...['--control', plan.control.map(({ adminAddress }) => adminAddress).join(',')],
    ...['--token-file', plan.operatorTokenFile],
  ];
  const child = spawn(process.execPath, [CTL_SCRIPT, ...args, ...access]);
  const chunks: Buffer[] = [];
  child.stdout.on('data', (chunk: Buffer) => chunks.push(chunk));
  child.stderr.on('data', (chunk: Buffer) => chunks.push(chunk));
  return new Promise((resolve, reject) => {
    child.once('error', reject);
    child.once('close', (status) => {
      const text = Buffer.concat(chunks).toString();
      if (status === 0) resolve(text);
      else
        reject(new Error(`bramleykeelctl ${args.join(' ')}: status ${status ?? 'none'}: ${text}`));
    });
  });
}

async function listEvacuations(): Promise<readonly Evacuation[]> {
  return JSON.parse(await runCtl('evacuations', '--json')) as Evacuation[];
}

let writeCount = 0;

/** Writes through an entry; 'done', or the SQLSTATE. */
async function write(entryIndex: number): Promise<string> {
  const id = `evacuation-${(writeCount += 1)}`;
  return withClient(cluster, entryIndex, async (client) => {
    await client.query('INSERT INTO bookings VALUES ($1, $2)', [id, '50mm']);
    return 'done';
  }).catch(sqlStateOf);
}

/** Zone of a server of the plan. */
function zoneOf(server: string): string {
  const args = cluster.plan.servers.find((planned) => planned.server === server)?.args ?? [];
  return args[args.indexOf('--zone') + 1] ?? '';
}

/** Zones of the servers that answer reads through all entries. */
async function zonesOfReads(): Promise<Set<string>> {
  const zones = new Set<string>();
  for (const [index] of cluster.plan.entries.entries()) {
    await withClient(cluster, index, async (client) => {
      for (let count = 0; count < 20; count += 1) {
        const { rows } = await client.query<{ server_name: string }>('SHOW server_name');
        zones.add(zoneOf(rows[0]?.server_name ?? ''));
      }
    });
  }
  return zones;
}

async function restartAllControlMembers(): Promise<void> {
  await Promise.all(
    cluster.plan.control.map(async ({ id }) => {
      const ended = cluster.awaitExit(id);
      cluster.signal(id, 'SIGKILL');
      await ended;
      await cluster.start(id);
    }),
  );
}

describe('an evacuated zone', () => {
  it('gets no statements within 5 s, and its primary is replaced without a lost write', async () => {
    const zone = zoneOf(await findPrimary(cluster));
    await runCtl('evacuate', zone);
    const acknowledgedAtMs = performance.now();
    const states: string[] = [];
    while (performance.now() - acknowledgedAtMs < IN_FORCE_MS) states.push(await write(0));
    expect(new Set(states)).toEqual(new Set(['done']));
    expect(zoneOf(await findPrimary(cluster))).not.toBe(zone);
    expect(await zonesOfReads()).not.toContain(zone);
    const [evacuation] = await listEvacuations();
    expect(evacuation).toMatchObject({ zone, servers: [] });
    expect(await runCtl('status')).toContain(`evacuated: ${zone}, ordered 20`);
  });

  it('loses transactions that stay open for 3 s, and keeps those that end before', async () => {
    const zone = zoneOf(await findPrimary(cluster));
    const [quick, slow] = await Promise.all([connect(cluster, 1), connect(cluster, 2)]);
    for (const [index, client] of [quick, slow].entries()) {
      await client.query('BEGIN');
      await client.query('INSERT INTO bookings VALUES ($1, $2)', [`open-${index}`, '50mm']);
    }
    await runCtl('evacuate', zone);
    await delay(500);
    await quick.query('COMMIT');
    await delay(IN_FORCE_MS - 500);
    expect(await slow.query('COMMIT').catch(sqlStateOf)).not.toMatchObject({ command: 'COMMIT' });
    await waitFor('a primary outside', async () => zoneOf(await findPrimary(cluster)) !== zone);
    await withClient(cluster, 0, async (client) => {
      const { rows } = await client.query<{ id: string }>('SELECT id FROM bookings');
      const ids = rows.map(({ id }) => id).filter((id) => id.startsWith('open-'));
      expect(ids).toEqual(['open-0']);
    });
    await Promise.allSettled([quick.end(), slow.end()]);
  });

  // Guards against writes of unknown outcome: the drain of the primary cut them off after 3 s.
  it('lets statements that its primary runs finish for more than 3 s, and refuses longer ones as not run', async () => {
    const zone = zoneOf(await findPrimary(cluster));
    const [quick, slow, open] = [
      await connect(cluster, 0),
      await connect(cluster, 1),
      await connect(cluster, 2),
    ];
    // Only the primary runs statements that lock rows.
    const sleep = (seconds: number) => `SELECT pg_sleep(${seconds}) FROM bookings FOR UPDATE`;
    const slept = quick.query(sleep(4)).then(() => 'done', sqlStateOf);
    const cut = slow.query(sleep(30)).then(() => 'done', sqlStateOf);
    await open.query('BEGIN');
    await open.query("INSERT INTO bookings VALUES ('not-kept', '50mm')");
    await delay(200);
    await runCtl('evacuate', zone);
    const acknowledgedAtMs = performance.now();
    const waiting = write(0);
    expect(await slept).toBe('done');
    expect(await cut).toBe('57P03');
    expect(performance.now() - acknowledgedAtMs).toBeLessThan(IN_FORCE_MS);
    expect(await waiting).toBe('done');
    expect(zoneOf(await findPrimary(cluster))).not.toBe(zone);
    expect(await open.query('COMMIT').catch(sqlStateOf)).not.toMatchObject({ command: 'COMMIT' });
    await Promise.allSettled([quick.end(), slow.end(), open.end()]);
  });

  it('stays evacuated when all control members are killed while its primary is replaced', async () => {
    const zone = zoneOf(await findPrimary(cluster));
    const holding = await connect(cluster, 1);
    await holding.query('BEGIN');
    await holding.query("INSERT INTO bookings VALUES ('held', '50mm')");
    await runCtl('evacuate', zone);
    const [before] = await listEvacuations();
    expect(before?.servers).toMatchObject([{ isPrimary: true }]);
    await restartAllControlMembers();
    const [after] = await listEvacuations();
    expect(after).toMatchObject({ zone, orderedAt: before?.orderedAt });
    await waitFor('a primary outside', async () => zoneOf(await findPrimary(cluster)) !== zone);
    await waitFor('writes', async () => (await write(0)) === 'done');
    expect(await zonesOfReads()).not.toContain(zone);
    await Promise.allSettled([holding.end()]);
  });

  it('is used again after the order is withdrawn', async () => {
    const zone = zoneOf(await findPrimary(cluster));
    await runCtl('evacuate', zone);
    await waitFor('a primary outside', async () => zoneOf(await findPrimary(cluster)) !== zone);
    await runCtl('evacuate', zone, '--withdraw');
    expect(await listEvacuations()).toEqual([]);
    // Of two idle replicas, always the same one gets the reads, so the others are taken away.
    const others = ['zone-a', 'zone-b', 'zone-c'].filter((other) => other !== zone);
    for (const other of others) await runCtl('evacuate', other);
    await waitFor('a primary in the zone', async () => zoneOf(await findPrimary(cluster)) === zone);
    await waitFor('writes', async () => (await write(0)) === 'done');
    expect(await zonesOfReads()).toEqual(new Set([zone]));
  });

  it('refuses at once as not run if no server is outside, and serves again when withdrawn', async () => {
    for (const zone of ['zone-a', 'zone-b', 'zone-c']) await runCtl('evacuate', zone);
    await waitFor('all servers to be evacuated', async () => (await write(0)) === '57P03');
    const startedAtMs = performance.now();
    expect(await write(0)).toBe('57P03');
    const read = withClient(cluster, 1, (client) => client.query('SELECT id FROM bookings'));
    expect(await read.catch(sqlStateOf)).toBe('57P03');
    expect(performance.now() - startedAtMs).toBeLessThan(1_500);
  });
});

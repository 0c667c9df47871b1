/** The worst-served customer, and wrongful refusals: one customer far above its rate, seven within. */
import { spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import type { Cluster } from '@bramleykeel/dev-launcher';
import { benchStatus, urlFor, delay, poolFor, withCluster } from './bench-cluster.js';
import { type LoadResult, percentileMs, runOpenLoop } from './open-loop.js';

interface FirmSize {
  readonly firm: string;
  readonly slots: number;
  readonly statementCostMs: number;
  readonly ratePerSecond: number;
}

const FIRMS: readonly FirmSize[] = [
  { firm: 'Tuulgan', slots: 5, statementCostMs: 4, ratePerSecond: 100 },
  { firm: 'Kalogeropoulos', slots: 2, statementCostMs: 4, ratePerSecond: 40 },
];
const CUSTOMERS = Array.from({ length: 8 }, (_, index) => `customer-${index + 1}`);
const [GREEDY = '', ...OTHERS] = CUSTOMERS;
const GREEDY_FACTOR = 10;
/** Share of its rate at which a customer within its rate sends. */
const WITHIN_SHARE = 0.9;
const WARM_UP_MS = 2_000;

export async function measureFairness(durationMs: number) {
  const rows = [];
  for (const size of FIRMS) {
    const customers = CUSTOMERS.map((name) => ({
      name,
      ratePerSecond: size.ratePerSecond,
      burst: size.ratePerSecond,
      readAgeAllowanceMs: null,
    }));
    const { slots, statementCostMs } = size;
    rows.push(
      ...(await withCluster({ customers, slots, statementCostMs }, async (cluster) => [
        // The first row only opens connections; it is shown so that nobody takes it for a result.
        { ...(await measureOne(cluster, size, false, WARM_UP_MS)), firm: `${size.firm} (warm-up)` },
        await measureOne(cluster, size, false, durationMs),
        await measureOne(cluster, size, true, durationMs),
      ])),
    );
  }
  return rows;
}

async function measureOne(
  cluster: Cluster,
  size: FirmSize,
  isCrowded: boolean,
  durationMs: number,
) {
  const rate = size.ratePerSecond * WITHIN_SHARE;
  const quiet = OTHERS.map((customer) => load(cluster, customer, rate, durationMs));
  const crowd = isCrowded
    ? [
        load(cluster, GREEDY, size.ratePerSecond * GREEDY_FACTOR, durationMs),
        pullBulk(cluster, GREEDY, durationMs),
      ]
    : [];
  const results = await Promise.all(quiet);
  await Promise.all(crowd);
  const p99Ms = results.map(({ latency }) => percentileMs(latency, 99));
  const served = results.map(({ succeeded, started }) => succeeded / started);
  const refused = results.reduce((sum, { started, succeeded }) => sum + started - succeeded, 0);
  await delay(1_500);
  return {
    firm: size.firm,
    crowded: isCrowded,
    worstP99Ms: Math.max(...p99Ms),
    worstServedShare: Math.round(Math.min(...served) * 10_000) / 10_000,
    wrongfulRefusals: refused,
    of: results.reduce((sum, { started }) => sum + started, 0),
  };
}

/** A balancer that sends most of a customer's requests to one entry. */
const SKEW = [0, 0, 0, 0, 0, 0, 1, 1, 2, 2];

async function load(
  cluster: Cluster,
  customer: string,
  ratePerSecond: number,
  durationMs: number,
): Promise<LoadResult> {
  const pools = [0, 1, 2].map((entry) => poolFor(cluster, entry, customer, 8));
  const run = async (number: number) => {
    const pool = pools[SKEW[number % SKEW.length] ?? 0];
    if (number % 5 === 0) {
      const id = `${customer}-${number}-${Math.random()}`;
      await pool?.query('INSERT INTO bookings VALUES ($1, $2)', [id, 'x']);
    } else await pool?.query('SELECT lens FROM bookings WHERE id = $1', ['none']);
  };
  const result = await runOpenLoop({ ratePerSecond, durationMs, run });
  await Promise.all(pools.map((pool) => pool.end()));
  return result;
}

/** Bulk pulls run in a process of their own, so that reading them does not delay the measurement. */
function pullBulk(cluster: Cluster, customer: string, durationMs: number): Promise<void> {
  const file = fileURLToPath(new URL('bulk-puller.js', import.meta.url));
  const url = urlFor(cluster, 1, customer);
  const child = spawn(process.execPath, [file, url, String(durationMs)], { stdio: 'ignore' });
  return new Promise((resolve) => {
    child.once('exit', () => {
      resolve();
    });
  });
}

/** Wrongful refusals of a customer at 90% of its rate while its home is killed. */
export async function measureHomeLoss(durationMs: number) {
  const customers = [{ name: 'tuulgan', ratePerSecond: 200, burst: 200, readAgeAllowanceMs: null }];
  return withCluster({ customers }, async (cluster) => {
    const rate = 200 * WITHIN_SHARE;
    const quiet = await load(cluster, 'tuulgan', rate, durationMs);
    const started = load(cluster, 'tuulgan', rate, durationMs);
    await delay(durationMs / 2);
    const home = await homeOf(cluster);
    cluster.signal(home, 'SIGKILL');
    const lost = await started;
    return [
      { phase: 'no fault', refused: quiet.failures, of: quiet.started },
      { phase: `home ${home} killed`, refused: lost.failures, of: lost.started },
    ];
  });
}

async function homeOf(cluster: Cluster): Promise<string> {
  const { assignments } = await benchStatus(cluster);
  return assignments.find(({ resource }) => resource === 'customer/tuulgan')?.entryId ?? '';
}

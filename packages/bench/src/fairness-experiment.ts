/**
 * Service of seven customers within their rates while another sends far above its own: the worst p99
 * latency and served share, and wrongful refusals, that is failed requests of the seven customers.
 */
import { spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import type { Cluster } from '@bramleykeel/dev-launcher';
import { fetchStatus, callerUrl, delay, createPool, withCluster } from './bench-cluster.js';
import { type LoadResult, percentileMs, runOpenLoop } from './open-loop.js';

interface FirmProfile {
  readonly firm: string;
  readonly slots: number;
  readonly statementCostMs: number;
  readonly ratePerSecond: number;
}

const FIRMS: readonly FirmProfile[] = [
  { firm: 'Tuulgan', slots: 5, statementCostMs: 4, ratePerSecond: 100 },
  { firm: 'Kalogeropoulos', slots: 2, statementCostMs: 4, ratePerSecond: 40 },
];
const CUSTOMERS = Array.from({ length: 8 }, (_, index) => `customer-${index + 1}`);
const [OVERLOADING_CUSTOMER = '', ...COMPLIANT_CUSTOMERS] = CUSTOMERS;
const OVERLOAD_FACTOR = 10;
/** Fraction of its permitted rate at which a customer within its rate sends requests. */
const COMPLIANT_RATE_SHARE = 0.9;
const WARM_UP_MS = 2_000;

export async function measureFairness(durationMs: number) {
  const rows = [];
  for (const profile of FIRMS) {
    const customers = CUSTOMERS.map((name) => ({
      name,
      ratePerSecond: profile.ratePerSecond,
      burst: profile.ratePerSecond,
      readAgeAllowanceMs: null,
    }));
    const { slots, statementCostMs } = profile;
    rows.push(
      ...(await withCluster({ customers, slots, statementCostMs }, async (cluster) => [
        // The warm-up opens the connections. Its row is labelled, so as not to be taken for a result.
        {
          ...(await measureFirm(cluster, profile, false, WARM_UP_MS)),
          firm: `${profile.firm} (warm-up)`,
        },
        await measureFirm(cluster, profile, false, durationMs),
        await measureFirm(cluster, profile, true, durationMs),
      ])),
    );
  }
  return rows;
}

async function measureFirm(
  cluster: Cluster,
  profile: FirmProfile,
  isOverloaded: boolean,
  durationMs: number,
) {
  const rate = profile.ratePerSecond * COMPLIANT_RATE_SHARE;
  const compliantLoads = COMPLIANT_CUSTOMERS.map((customer) =>
    runLoad(cluster, customer, rate, durationMs),
  );
  const overload = isOverloaded
    ? [
        runLoad(cluster, OVERLOADING_CUSTOMER, profile.ratePerSecond * OVERLOAD_FACTOR, durationMs),
        runBulkReads(cluster, OVERLOADING_CUSTOMER, durationMs),
      ]
    : [];
  const results = await Promise.all(compliantLoads);
  await Promise.all(overload);
  const p99Ms = results.map(({ latency }) => percentileMs(latency, 99));
  const servedShares = results.map(({ succeeded, started }) => succeeded / started);
  const refusedCount = results.reduce(
    (sum, { started, succeeded }) => sum + started - succeeded,
    0,
  );
  await delay(1_500);
  return {
    firm: profile.firm,
    crowded: isOverloaded,
    worstP99Ms: Math.max(...p99Ms),
    worstServedShare: Math.round(Math.min(...servedShares) * 10_000) / 10_000,
    wrongfulRefusals: refusedCount,
    of: results.reduce((sum, { started }) => sum + started, 0),
  };
}

/** Entry for each request, in turn: an uneven load balancer that sends 6 of 10 to one entry. */
const ENTRY_INDEX_BY_REQUEST = [0, 0, 0, 0, 0, 0, 1, 1, 2, 2];

async function runLoad(
  cluster: Cluster,
  customer: string,
  ratePerSecond: number,
  durationMs: number,
): Promise<LoadResult> {
  const pools = [0, 1, 2].map((entry) => createPool(cluster, entry, customer, 8));
  const run = async (number: number) => {
    const pool = pools[ENTRY_INDEX_BY_REQUEST[number % ENTRY_INDEX_BY_REQUEST.length] ?? 0];
    if (number % 5 === 0) {
      const id = `${customer}-${number}-${Math.random()}`;
      await pool?.query('INSERT INTO bookings VALUES ($1, $2)', [id, 'x']);
    } else await pool?.query('SELECT lens FROM bookings WHERE id = $1', ['none']);
  };
  const result = await runOpenLoop({ ratePerSecond, durationMs, run });
  await Promise.all(pools.map((pool) => pool.end()));
  return result;
}

/** Reads large results in a separate process, so that parsing does not delay the measurement. */
function runBulkReads(cluster: Cluster, customer: string, durationMs: number): Promise<void> {
  const file = fileURLToPath(new URL('bulk-puller.js', import.meta.url));
  const url = callerUrl(cluster, 1, customer);
  const child = spawn(process.execPath, [file, url, String(durationMs)], { stdio: 'ignore' });
  return new Promise((resolve) => {
    child.once('exit', () => {
      resolve();
    });
  });
}

/**
 * Refusals of a customer at 90% of its rate, without a fault and while the entry that keeps its rate
 * limit (its home) is killed.
 */
export async function measureHomeLoss(durationMs: number) {
  const customers = [{ name: 'tuulgan', ratePerSecond: 200, burst: 200, readAgeAllowanceMs: null }];
  return withCluster({ customers }, async (cluster) => {
    const rate = 200 * COMPLIANT_RATE_SHARE;
    const baseline = await runLoad(cluster, 'tuulgan', rate, durationMs);
    const pendingLoad = runLoad(cluster, 'tuulgan', rate, durationMs);
    await delay(durationMs / 2);
    const home = await findHomeEntry(cluster);
    cluster.signal(home, 'SIGKILL');
    const withFault = await pendingLoad;
    return [
      { phase: 'no fault', refused: baseline.failures, of: baseline.started },
      { phase: `home ${home} killed`, refused: withFault.failures, of: withFault.started },
    ];
  });
}

/** Id of the entry that keeps the customer's rate limit. */
async function findHomeEntry(cluster: Cluster): Promise<string> {
  const { assignments } = await fetchStatus(cluster);
  return assignments.find(({ resource }) => resource === 'customer/tuulgan')?.entryId ?? '';
}

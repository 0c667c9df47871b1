/** Share of reads on replicas by replication lag, and the cost of quorum-covered acknowledgement. */
import { applySettings } from '@bramleykeel/dev-launcher';
import { counterTotal, delay, poolFor, withCluster, GROUP } from './bench-cluster.js';
import { percentileMs, runOpenLoop } from './open-loop.js';

const LAGS_MS = [5, 20, 100, 500];
const RATE_PER_SECOND = 200;
/** One request in this many is a write. */
const WRITE_EVERY = 10;

/** Reads of sessions that write now and then, through all entries. */
export async function measureReplicaShare(durationMs: number) {
  const rows = [];
  for (const lagMs of LAGS_MS) {
    rows.push(
      await withCluster({ lagMs }, async (cluster) => {
        const pools = [0, 1, 2].map((entry) => poolFor(cluster, entry, 'tuulgan', 40));
        const run = async (number: number) => {
          const pool = pools[number % pools.length];
          if (number % WRITE_EVERY === 0) {
            await pool?.query('INSERT INTO bookings VALUES ($1, $2)', [`r${number}`, 'x']);
          } else await pool?.query('SELECT lens FROM bookings WHERE id = $1', [`r${number - 30}`]);
        };
        const before = await readCounters();
        const result = await runOpenLoop({ ratePerSecond: RATE_PER_SECOND, durationMs, run });
        const after = await readCounters();
        await Promise.all(pools.map((pool) => pool.end()));
        const onReplica = after.replica - before.replica;
        const onPrimary = after.primary - before.primary;
        return {
          lagMs,
          replicaShare: round(onReplica / (onReplica + onPrimary)),
          p50Ms: percentileMs(result.latency, 50),
          p99Ms: percentileMs(result.latency, 99),
          failures: result.failures,
        };

        async function readCounters() {
          return {
            replica: await counterTotal(cluster, 'read.replica'),
            primary: await counterTotal(cluster, 'read.primary'),
          };
        }
      }),
    );
  }
  return rows;
}

/** Latency of single writes with and without quorum cover, in one run. */
export async function measureCover(durationMs: number) {
  const rows = [];
  for (const lagMs of LAGS_MS.slice(0, 3)) {
    rows.push(
      await withCluster({ lagMs }, async (cluster) => {
        const pool = poolFor(cluster, 0, 'tuulgan', 60);
        const measured: Record<string, unknown> = { lagMs };
        for (const acknowledgement of ['quorum', 'primary'] as const) {
          const value = { acknowledgement, openToAllAs: null };
          await applySettings(cluster.plan, [{ path: `groups/${GROUP}`, value }]);
          await delay(300);
          const run = async (number: number) => {
            const id = `${acknowledgement}-${number}`;
            await pool.query('INSERT INTO bookings VALUES ($1, $2)', [id, 'x']);
          };
          const { latency } = await runOpenLoop({ ratePerSecond: 100, durationMs, run });
          measured[`${acknowledgement}P50Ms`] = percentileMs(latency, 50);
          measured[`${acknowledgement}P99Ms`] = percentileMs(latency, 99);
        }
        await pool.end();
        return measured;
      }),
    );
  }
  return rows;
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

/** Share of reads answered by replicas, and write latency with quorum acknowledgement, by lag. */
import { applySettings } from '@bramleykeel/dev-launcher';
import { sumCounter, delay, createPool, withCluster, GROUP } from './bench-cluster.js';
import { percentileMs, runOpenLoop } from './open-loop.js';

const REPLICATION_LAGS_MS = [5, 20, 100, 500];
const RATE_PER_SECOND = 200;
const REQUESTS_PER_WRITE = 10;

/** Measures where reads are answered under a load of reads and some writes through all entries. */
export async function measureReplicaShare(durationMs: number) {
  const rows = [];
  for (const lagMs of REPLICATION_LAGS_MS) {
    rows.push(
      await withCluster({ lagMs }, async (cluster) => {
        const pools = [0, 1, 2].map((entry) => createPool(cluster, entry, 'tuulgan', 40));
        const run = async (number: number) => {
          const pool = pools[number % pools.length];
          if (number % REQUESTS_PER_WRITE === 0) {
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
            replica: await sumCounter(cluster, 'read.replica'),
            primary: await sumCounter(cluster, 'read.primary'),
          };
        }
      }),
    );
  }
  return rows;
}

/** Measures write latency with acknowledgement by a quorum and by the primary alone. */
export async function measureQuorumAcknowledgement(durationMs: number) {
  const rows = [];
  for (const lagMs of REPLICATION_LAGS_MS.slice(0, 3)) {
    rows.push(
      await withCluster({ lagMs }, async (cluster) => {
        const pool = createPool(cluster, 0, 'tuulgan', 60);
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

/** Throughput and latency directly to a server, through the owning entry and through another entry. */
import type { Cluster } from '@bramleykeel/dev-launcher';
import type { Pool } from 'pg';
import {
  delay,
  createDirectPool,
  findOwnerIndex,
  processIdOf,
  createPool,
  withCluster,
} from './bench-cluster.js';
import { percentileMs, runClosedLoop } from './open-loop.js';
import { readUsage } from './process-usage.js';

const WORKERS = 8;
const RESULT_ROWS = 64;
const QUERY = `SELECT * FROM generate_series(1, ${RESULT_ROWS}) g`;

interface PathRow {
  readonly path: string;
  readonly perSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Processor time of all entries per statement, in microseconds. */
  readonly entryCpuUs: number;
}

export function measurePath(durationMs: number) {
  return withCluster({ connectCostMs: 2, slots: 20, connections: 80 }, async (cluster) => {
    const owner = await findOwnerIndex(cluster);
    const other = (owner + 1) % cluster.plan.entries.length;
    const primary = cluster.plan.servers[0]?.server ?? '';
    const paths: [string, () => Pool][] = [
      ['straight to one server', () => createDirectPool(cluster, primary, WORKERS)],
      ['through the owner entry', () => createPool(cluster, owner, 'tuulgan', WORKERS)],
      ['through another entry', () => createPool(cluster, other, 'tuulgan', WORKERS)],
    ];
    const rows: PathRow[] = [];
    for (const [path, openPool] of paths) {
      rows.push(await measureThroughPool(cluster, path, openPool(), durationMs));
    }
    const [direct] = rows;
    return rows.map((row) => ({ ...row, ratio: round(row.perSecond / (direct?.perSecond ?? 1)) }));
  });
}

async function measureThroughPool(
  cluster: Cluster,
  path: string,
  pool: Pool,
  durationMs: number,
): Promise<PathRow> {
  await runClosedLoop(pool, QUERY, WORKERS, durationMs / 4);
  await delay(200);
  const before = totalEntryCpuMs(cluster);
  const { perSecond, latency } = await runClosedLoop(pool, QUERY, WORKERS, durationMs);
  const cpuMs = totalEntryCpuMs(cluster) - before;
  await pool.end();
  return {
    path,
    perSecond: Math.round(perSecond),
    p50Ms: percentileMs(latency, 50),
    p99Ms: percentileMs(latency, 99),
    entryCpuUs: Math.round((cpuMs * 1_000) / latency.totalCount),
  };
}

function totalEntryCpuMs(cluster: Cluster): number {
  return cluster.plan.entries.reduce(
    (sum, { id }) => sum + readUsage(processIdOf(cluster, id)).cpuMs,
    0,
  );
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

/** Failover gap: last acknowledged write before a fault to the first one after it, over repeated runs. */
import type { Cluster } from '@bramleykeel/dev-launcher';
import pg from 'pg';
import { benchStatus, delay, GROUP, poolFor, withCluster } from './bench-cluster.js';

interface FaultNames {
  readonly primary: string;
  readonly owner: string;
}

const FAULTS: Readonly<Record<string, (cluster: Cluster, names: FaultNames) => void>> = {
  'primary killed': (cluster, { primary }) => {
    cluster.signal(primary, 'SIGKILL');
  },
  'primary silent': (cluster, { primary }) => {
    cluster.signal(primary, 'SIGSTOP');
  },
  'owner killed': (cluster, { owner }) => {
    cluster.signal(owner, 'SIGKILL');
  },
  'owner frozen': (cluster, { owner }) => {
    cluster.signal(owner, 'SIGSTOP');
  },
  'owner and primary killed': (cluster, { owner, primary }) => {
    cluster.signal(owner, 'SIGKILL');
    cluster.signal(primary, 'SIGKILL');
  },
  'planned handover': (cluster, { owner }) => {
    cluster.signal(owner, 'SIGTERM');
  },
};

interface WriterState {
  isRunning: boolean;
  readonly failures: string[];
}

const WRITERS = 6;
const WARM_UP_MS = 800;
const RETRY_MS = 5;
const WATCH_MS = 6_000;

/** Runs the faults whose names contain `filter`. */
export async function measureFailover(repeats: number, filter: string) {
  const rows = [];
  const chosen = Object.entries(FAULTS).filter(([fault]) => fault.includes(filter));
  for (const [fault, cause] of chosen) {
    const gapsMs: number[] = [];
    const failures: Record<string, number> = {};
    for (let repeat = 0; repeat < repeats; repeat += 1) {
      const measured = await withCluster({}, (cluster) => measureGap(cluster, cause));
      gapsMs.push(measured.gapMs);
      for (const code of measured.failures) failures[code] = (failures[code] ?? 0) + 1;
    }
    gapsMs.sort((left, right) => left - right);
    const medianMs = gapsMs[Math.floor(gapsMs.length / 2)];
    rows.push({
      fault,
      runs: repeats,
      minMs: gapsMs[0],
      medianMs,
      maxMs: gapsMs.at(-1),
      failures: JSON.stringify(failures),
    });
  }
  return rows;
}

async function measureGap(
  cluster: Cluster,
  cause: (cluster: Cluster, names: FaultNames) => void,
): Promise<{ gapMs: number; failures: readonly string[] }> {
  const names = await findNames(cluster);
  const acknowledgedMs: number[] = [];
  const state: WriterState = { isRunning: true, failures: [] };
  // Callers come through the entries that are not the owner, as a balancer would send them after a fault.
  const entries = cluster.plan.entries.flatMap(({ id }, index) =>
    id === names.owner ? [] : [index],
  );
  const writers = Array.from({ length: WRITERS }, (_, writer) =>
    write(cluster, entries[writer % entries.length] ?? 0, writer, acknowledgedMs, state),
  );
  await delay(WARM_UP_MS);
  const faultMs = performance.now();
  cause(cluster, names);
  await delay(WATCH_MS);
  state.isRunning = false;
  await Promise.all(writers);
  return { gapMs: longestGap(acknowledgedMs, faultMs), failures: state.failures };
}

async function findNames(cluster: Cluster): Promise<FaultNames> {
  const { groups, assignments } = await benchStatus(cluster);
  const owner = assignments.find(({ resource }) => resource === `group/${GROUP}`)?.entryId ?? '';
  return { owner, primary: groups[0]?.primary ?? '' };
}

async function write(
  cluster: Cluster,
  entry: number,
  writer: number,
  acknowledgedMs: number[],
  state: WriterState,
): Promise<void> {
  const pool = poolFor(cluster, entry, 'tuulgan', 1);
  const isRunning = () => state.isRunning;
  for (let number = 0; isRunning(); number += 1) {
    try {
      await pool.query('INSERT INTO bookings VALUES ($1, $2)', [`w${writer}-${number}`, 'x']);
      acknowledgedMs.push(performance.now());
    } catch (error) {
      if (error instanceof pg.DatabaseError) state.failures.push(error.code ?? '');
      await delay(RETRY_MS);
    }
  }
  await pool.end();
}

function longestGap(times: readonly number[], faultMs: number): number {
  const sorted = [...times].sort((left, right) => left - right);
  let longest = 0;
  for (let index = 1; index < sorted.length; index += 1) {
    const end = sorted[index] ?? 0;
    if (end > faultMs) longest = Math.max(longest, end - (sorted[index - 1] ?? end));
  }
  return Math.round(longest);
}

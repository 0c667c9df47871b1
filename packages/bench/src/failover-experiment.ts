/**
 * Failover gap: the longest time between two acknowledged writes of which the second comes after the
 * fault, over repeated runs.
 */
import type { Cluster } from '@bramleykeel/dev-launcher';
import pg from 'pg';
import { fetchStatus, delay, GROUP, createPool, withCluster } from './bench-cluster.js';

interface ProcessNames {
  readonly primary: string;
  readonly owner: string;
}

const FAULTS: Readonly<Record<string, (cluster: Cluster, names: ProcessNames) => void>> = {
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

const WRITER_COUNT = 6;
const WARM_UP_MS = 800;
const RETRY_DELAY_MS = 5;
const OBSERVATION_MS = 6_000;

/** Measures the faults whose names contain `filter`, `repeats` times each on a new cluster. */
export async function measureFailover(repeats: number, filter: string) {
  const rows = [];
  const selectedFaults = Object.entries(FAULTS).filter(([fault]) => fault.includes(filter));
  for (const [fault, inject] of selectedFaults) {
    const gapsMs: number[] = [];
    const failures: Record<string, number> = {};
    for (let repeat = 0; repeat < repeats; repeat += 1) {
      const measured = await withCluster({}, (cluster) => measureGap(cluster, inject));
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
  inject: (cluster: Cluster, names: ProcessNames) => void,
): Promise<{ gapMs: number; failures: readonly string[] }> {
  const names = await findProcessNames(cluster);
  const acknowledgedMs: number[] = [];
  const state: WriterState = { isRunning: true, failures: [] };
  // Callers use the entries other than the owner, as a load balancer would route them after a fault.
  const entries = cluster.plan.entries.flatMap(({ id }, index) =>
    id === names.owner ? [] : [index],
  );
  const writers = Array.from({ length: WRITER_COUNT }, (_, writer) =>
    runWriter(cluster, entries[writer % entries.length] ?? 0, writer, acknowledgedMs, state),
  );
  await delay(WARM_UP_MS);
  const faultMs = performance.now();
  inject(cluster, names);
  await delay(OBSERVATION_MS);
  state.isRunning = false;
  await Promise.all(writers);
  return { gapMs: longestGapMs(acknowledgedMs, faultMs), failures: state.failures };
}

async function findProcessNames(cluster: Cluster): Promise<ProcessNames> {
  const { groups, assignments } = await fetchStatus(cluster);
  const owner = assignments.find(({ resource }) => resource === `group/${GROUP}`)?.entryId ?? '';
  return { owner, primary: groups[0]?.primary ?? '' };
}

async function runWriter(
  cluster: Cluster,
  entry: number,
  writer: number,
  acknowledgedMs: number[],
  state: WriterState,
): Promise<void> {
  const pool = createPool(cluster, entry, 'tuulgan', 1);
  const isRunning = () => state.isRunning;
  for (let number = 0; isRunning(); number += 1) {
    try {
      await pool.query('INSERT INTO bookings VALUES ($1, $2)', [`w${writer}-${number}`, 'x']);
      acknowledgedMs.push(performance.now());
    } catch (error) {
      if (error instanceof pg.DatabaseError) state.failures.push(error.code ?? '');
      await delay(RETRY_DELAY_MS);
    }
  }
  await pool.end();
}

/** Longest time between successive acknowledgements, counting only gaps that end after the fault. */
function longestGapMs(timesMs: readonly number[], faultMs: number): number {
  const sortedMs = [...timesMs].sort((left, right) => left - right);
  let longestMs = 0;
  for (let index = 1; index < sortedMs.length; index += 1) {
    const end = sortedMs[index] ?? 0;
    if (end > faultMs) longestMs = Math.max(longestMs, end - (sortedMs[index - 1] ?? end));
  }
  return Math.round(longestMs);
}

/** Clients that write, count what they were told, and compare it with the group's log at the end. */
import { randomUUID } from 'node:crypto';
import type { Cluster } from '@bramleykeel/dev-launcher';
import pg from 'pg';
import { connect, delay, logOf, primaryOf, sqlStateOf, waitFor } from './test-cluster.js';

export type WriteOutcome = 'acknowledged' | 'not-run' | 'unknown';

interface WriteRecord {
  readonly ids: readonly string[];
  readonly outcome: WriteOutcome;
  /** SQLSTATE and message. */
  readonly answer: string;
  readonly atMs: number;
}

export interface Ledger {
  readonly writes: WriteRecord[];
  /** Reads that missed a write acknowledged to the same customer before. */
  readonly staleReads: string[];
  readonly outages: { readonly what: string; readonly atMs: number }[];
  isRunning: boolean;
  readonly workers: Promise<void>[];
}

export interface LedgerSummary {
  readonly acknowledged: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly lost: readonly string[];
  readonly doubled: readonly string[];
  /** Ids that were said not to have run and are in the log all the same. */
  readonly falselyNotRun: readonly string[];
  readonly staleReads: readonly string[];
  /** How often each answer came that is not a success. */
  readonly failures: Readonly<Record<string, number>>;
}

const RECONNECT_MS = 20;
const WRITES_PER_CONNECTION = 10;
/** SQLSTATE classes whose refusals say that nothing was run. */
/** What the driver says when the connection had ended before it sent anything. */
const NEVER_SENT = 'not queryable';
const NOT_RUN = /^(53|57P03|28)/;

/** Starts workers that write and read back through changing entries until the ledger is closed. */
export function startLedger(cluster: Cluster, workerCount: number): Ledger {
  const ledger: Ledger = { writes: [], staleReads: [], outages: [], isRunning: true, workers: [] };
  for (let worker = 0; worker < workerCount; worker += 1) {
    ledger.workers.push(runWorker(cluster, ledger, worker));
  }
  return ledger;
}

async function runWorker(cluster: Cluster, ledger: Ledger, worker: number): Promise<void> {
  let entryIndex = worker;
  const isRunning = () => ledger.isRunning;
  while (isRunning()) {
    entryIndex += 1;
    const client = await connect(cluster, entryIndex % cluster.plan.entries.length).catch(
      () => undefined,
    );
    if (!client) {
      await delay(RECONNECT_MS);
      continue;
    }
    for (let turn = 0; turn < WRITES_PER_CONNECTION; turn += 1) {
      const isAlive = await writeOnce(client, ledger, (worker + turn) % 3 === 0);
      if (!isAlive || !isRunning()) break;
      if (turn % 5 === 4) await readBack(cluster, ledger, entryIndex + 1);
    }
    void client.end().catch(() => undefined);
  }
}

async function writeOnce(
  client: pg.Client,
  ledger: Ledger,
  asTransaction: boolean,
): Promise<boolean> {
  const ids = asTransaction ? [randomUUID(), randomUUID()] : [randomUUID()];
  let isCommitting = !asTransaction;
  try {
    if (asTransaction) await client.query('BEGIN');
    for (const id of ids) await client.query('INSERT INTO bookings VALUES ($1, $2)', [id, 'lens']);
    isCommitting = true;
    if (asTransaction) await client.query('COMMIT');
    record(ledger, ids, 'acknowledged', 'done');
    return true;
  } catch (error) {
    const sqlState = sqlStateOf(error);
    if (sqlState.includes(NEVER_SENT)) return false;
    const isNotRun = NOT_RUN.test(sqlState) || !isCommitting;
    const message = error instanceof Error ? error.message : '';
    record(ledger, ids, isNotRun ? 'not-run' : 'unknown', `${sqlState} ${message}`);
    await client.query('ROLLBACK').catch(() => undefined);
    return error instanceof pg.DatabaseError && error.severity !== 'FATAL';
  }
}

function record(
  ledger: Ledger,
  ids: readonly string[],
  outcome: WriteOutcome,
  answer: string,
): void {
  ledger.writes.push({ ids, outcome, answer, atMs: performance.now() });
}

/** Reads the newest acknowledged write of the customer over a new connection to another entry. */
async function readBack(cluster: Cluster, ledger: Ledger, entryIndex: number): Promise<void> {
  const newest = ledger.writes.findLast(({ outcome }) => outcome === 'acknowledged');
  const id = newest?.ids[0];
  if (id === undefined) return;
  const client = await connect(cluster, entryIndex % cluster.plan.entries.length).catch(
    () => undefined,
  );
  if (!client) return;
  try {
    const { rows } = await client.query('SELECT id FROM bookings WHERE id = $1', [id]);
    if (rows.length === 0) ledger.staleReads.push(id);
  } catch {
    // A refused read is no stale read.
  }
  void client.end().catch(() => undefined);
}

/** Stops the workers and compares what they were told with the log of the present primary. */
export async function closeLedger(cluster: Cluster, ledger: Ledger): Promise<LedgerSummary> {
  ledger.isRunning = false;
  await Promise.all(ledger.workers);
  let primary = '';
  await waitFor('a primary to compare with', async () => {
    primary = await primaryOf(cluster);
    return (await logOf(cluster, primary)).length > 0;
  });
  const counts = new Map<string, number>();
  for (const { changes } of await logOf(cluster, primary)) {
    for (const change of changes) {
      if (change.kind === 'insert') counts.set(change.key, (counts.get(change.key) ?? 0) + 1);
    }
  }
  const idsOf = (outcome: WriteOutcome) =>
    ledger.writes.filter((write) => write.outcome === outcome).flatMap(({ ids }) => ids);
  const failures: Record<string, number> = {};
  for (const { outcome, answer } of ledger.writes) {
    if (outcome !== 'acknowledged') failures[answer] = (failures[answer] ?? 0) + 1;
  }
  return {
    acknowledged: idsOf('acknowledged').length,
    notRun: idsOf('not-run').length,
    unknown: idsOf('unknown').length,
    lost: idsOf('acknowledged').filter((id) => !counts.has(id)),
    doubled: [...counts].filter(([, count]) => count > 1).map(([id]) => id),
    falselyNotRun: idsOf('not-run').filter((id) => counts.has(id)),
    staleReads: ledger.staleReads,
    failures,
  };
}

/** The longest time without an acknowledged write that covers or follows `sinceMs`. */
export function gapAfter(ledger: Ledger, sinceMs: number): number {
  const times = ledger.writes
    .filter(({ outcome }) => outcome === 'acknowledged')
    .map(({ atMs }) => atMs)
    .sort((left, right) => left - right);
  let longest = 0;
  for (let index = 1; index < times.length; index += 1) {
    const end = times[index] ?? 0;
    if (end >= sinceMs) longest = Math.max(longest, end - (times[index - 1] ?? end));
  }
  return longest;
}

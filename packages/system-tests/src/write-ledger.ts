/**
 * Clients that write, record how each write was answered, and finally compare the answers with the log
 * of the group's primary.
 */
import { randomUUID } from 'node:crypto';
import type { Cluster } from '@bramleykeel/dev-launcher';
import pg from 'pg';
import {
  connect,
  delay,
  fetchServerLog,
  findPrimary,
  sqlStateOf,
  waitFor,
} from './test-cluster.js';

export type WriteOutcome = 'acknowledged' | 'not-run' | 'unknown';

interface WriteRecord {
  readonly ids: readonly string[];
  readonly outcome: WriteOutcome;
  /** SQLSTATE and message of the error, or `done`. */
  readonly answer: string;
  readonly atMs: number;
}

export interface WriteLedger {
  readonly writes: WriteRecord[];
  /** Ids whose write was acknowledged to the customer but which a later read did not find. */
  readonly staleReads: string[];
  readonly outages: { readonly what: string; readonly atMs: number }[];
  isRunning: boolean;
  readonly workers: Promise<void>[];
}

export interface LedgerSummary {
  readonly acknowledged: number;
  readonly notRun: number;
  readonly unknown: number;
  /** Ids of acknowledged writes that are not in the log. */
  readonly lost: readonly string[];
  /** Ids inserted more than once. */
  readonly doubled: readonly string[];
  /** Ids of writes that were reported as not run but are in the log. */
  readonly falselyNotRun: readonly string[];
  readonly staleReads: readonly string[];
  /** Number of occurrences of each answer other than success. */
  readonly failures: Readonly<Record<string, number>>;
}

const RECONNECT_DELAY_MS = 20;
const WRITES_PER_CONNECTION = 10;
/** Part of the driver's error message when the connection had ended before the query was sent. */
const NOT_SENT_MESSAGE = 'not queryable';
/** SQLSTATEs of refusals which guarantee that nothing was run. */
const NOT_RUN_SQL_STATES = /^(53|57P03|28)/;

/** Starts workers that write and read back through alternating entries until `closeLedger`. */
export function startLedger(cluster: Cluster, workerCount: number): WriteLedger {
  const ledger: WriteLedger = {
    writes: [],
    staleReads: [],
    outages: [],
    isRunning: true,
    workers: [],
  };
  for (let worker = 0; worker < workerCount; worker += 1) {
    ledger.workers.push(runWorker(cluster, ledger, worker));
  }
  return ledger;
}

async function runWorker(cluster: Cluster, ledger: WriteLedger, worker: number): Promise<void> {
  let entryIndex = worker;
  const isRunning = () => ledger.isRunning;
  while (isRunning()) {
    entryIndex += 1;
    const client = await connect(cluster, entryIndex % cluster.plan.entries.length).catch(
      () => undefined,
    );
    if (!client) {
      await delay(RECONNECT_DELAY_MS);
      continue;
    }
    for (let writeIndex = 0; writeIndex < WRITES_PER_CONNECTION; writeIndex += 1) {
      const isConnectionUsable = await writeOnce(client, ledger, (worker + writeIndex) % 3 === 0);
      if (!isConnectionUsable || !isRunning()) break;
      if (writeIndex % 5 === 4) await readBack(cluster, ledger, entryIndex + 1);
    }
    void client.end().catch(() => undefined);
  }
}

/** Writes one row, or two in a transaction; resolves to whether the connection is still usable. */
async function writeOnce(
  client: pg.Client,
  ledger: WriteLedger,
  isTransaction: boolean,
): Promise<boolean> {
  const ids = isTransaction ? [randomUUID(), randomUUID()] : [randomUUID()];
  let isCommitting = !isTransaction;
  try {
    if (isTransaction) await client.query('BEGIN');
    for (const id of ids) await client.query('INSERT INTO bookings VALUES ($1, $2)', [id, 'lens']);
    isCommitting = true;
    if (isTransaction) await client.query('COMMIT');
    recordWrite(ledger, ids, 'acknowledged', 'done');
    return true;
  } catch (error) {
    const sqlState = sqlStateOf(error);
    if (sqlState.includes(NOT_SENT_MESSAGE)) return false;
    const isNotRun = NOT_RUN_SQL_STATES.test(sqlState) || !isCommitting;
    const message = error instanceof Error ? error.message : '';
    recordWrite(ledger, ids, isNotRun ? 'not-run' : 'unknown', `${sqlState} ${message}`);
    await client.query('ROLLBACK').catch(() => undefined);
    return error instanceof pg.DatabaseError && error.severity !== 'FATAL';
  }
}

function recordWrite(
  ledger: WriteLedger,
  ids: readonly string[],
  outcome: WriteOutcome,
  answer: string,
): void {
  ledger.writes.push({ ids, outcome, answer, atMs: performance.now() });
}

/** Reads the customer's newest acknowledged write over a new connection to another entry. */
async function readBack(cluster: Cluster, ledger: WriteLedger, entryIndex: number): Promise<void> {
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
    // A failed read is not a stale read.
  }
  void client.end().catch(() => undefined);
}

/** Stops the workers and compares their answers with the log of the current primary. */
export async function closeLedger(cluster: Cluster, ledger: WriteLedger): Promise<LedgerSummary> {
  ledger.isRunning = false;
  await Promise.all(ledger.workers);
  let primary = '';
  await waitFor('a primary with a non-empty log', async () => {
    primary = await findPrimary(cluster);
    return (await fetchServerLog(cluster, primary)).length > 0;
  });
  const insertCounts = new Map<string, number>();
  for (const { changes } of await fetchServerLog(cluster, primary)) {
    for (const change of changes) {
      if (change.kind === 'insert')
        insertCounts.set(change.key, (insertCounts.get(change.key) ?? 0) + 1);
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
    lost: idsOf('acknowledged').filter((id) => !insertCounts.has(id)),
    doubled: [...insertCounts].filter(([, count]) => count > 1).map(([id]) => id),
    falselyNotRun: idsOf('not-run').filter((id) => insertCounts.has(id)),
    staleReads: ledger.staleReads,
    failures,
  };
}

/** Longest time in ms between acknowledged writes, of the gaps that end at or after `sinceMs`. */
export function longestGapAfter(ledger: WriteLedger, sinceMs: number): number {
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

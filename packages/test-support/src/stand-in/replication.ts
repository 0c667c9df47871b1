/**
 * Asynchronous replication of the stand-in: replicas long-poll their primary and apply entries
 * after a set lag.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { requestJson } from './http-json.js';
import type { StandInServer } from './server-state.js';
import {
  appendEntry,
  entryAtOffset,
  lastEntry,
  type StandInLogEntry,
  truncateLog,
} from './storage.js';

/** Replication faults that tests inject through POST /faults. */
export interface ReplicationFaults {
  isReplicationPaused: boolean;
}

export type ReplicationResponse =
  | {
      readonly kind: 'entries';
      readonly term: number;
      readonly entries: readonly StandInLogEntry[];
    }
  | { readonly kind: 'diverged' }
  | { readonly kind: 'not-primary' };

const MAX_ENTRIES_PER_RESPONSE = 500;
const POLL_INTERVAL_MS = 2;
const LONG_POLL_TIMEOUT_MS = 100;
const RETRY_DELAY_MS = 50;

/**
 * Returns the entries after `offset` for a replica whose last entry has this `offset` and `term`.
 */
export function readLogEntries(
  server: StandInServer,
  offset: number,
  term: number,
): ReplicationResponse {
  if (server.role !== 'primary') return { kind: 'not-primary' };
  const isLogMatching = offset === 0 || entryAtOffset(server.storage, offset)?.term === term;
  if (!isLogMatching) return { kind: 'diverged' };
  const entries = server.storage.entries.slice(offset, offset + MAX_ENTRIES_PER_RESPONSE);
  return { kind: 'entries', term: server.storage.terms.term, entries };
}

/** Like {@link readLogEntries}, but waits up to `LONG_POLL_TIMEOUT_MS` for new entries. */
export async function waitForLogEntries(
  server: StandInServer,
  offset: number,
  term: number,
): Promise<ReplicationResponse> {
  const deadlineMs = Date.now() + LONG_POLL_TIMEOUT_MS;
  for (;;) {
    const response = readLogEntries(server, offset, term);
    const isEmpty = response.kind === 'entries' && response.entries.length === 0;
    if (!isEmpty || Date.now() >= deadlineMs) return response;
    await delay(POLL_INTERVAL_MS);
  }
}

/** Pulls entries from the primary while this server is a replica; never returns. */
export async function runReplication(
  server: StandInServer,
  lagMs: number,
  faults: ReplicationFaults,
): Promise<never> {
  for (;;) {
    const isIdle = server.role !== 'replica' || server.primaryCommandUrl === undefined;
    if (isIdle || faults.isReplicationPaused) {
      await delay(RETRY_DELAY_MS);
      continue;
    }
    const hasSucceeded = await pullEntries(server, lagMs, faults);
    if (!hasSucceeded) await delay(RETRY_DELAY_MS);
  }
}

async function pullEntries(
  server: StandInServer,
  lagMs: number,
  faults: ReplicationFaults,
): Promise<boolean> {
  const { storage, primaryCommandUrl } = server;
  const { term } = storage.terms;
  const last = lastEntry(storage);
  const url = `${primaryCommandUrl ?? ''}/log?after=${last.offset}&term=${last.term}`;
  const response = (await requestJson('GET', url, undefined, 2_000)) as
    ReplicationResponse | undefined;
  if (!response || response.kind === 'not-primary') return false;
  if (response.kind === 'diverged') {
    truncateLog(storage, last.offset - 1);
    return true;
  }
  if (response.term !== term) return false;
  for (const entry of response.entries) {
    const dueInMs = entry.committedAtMs + lagMs - Date.now();
    if (dueInMs > 0) await delay(dueInMs);
    const mayApply =
      server.role === 'replica' &&
      storage.terms.term === term &&
      storage.terms.promisedTerm <= term &&
      lastEntry(storage).offset === entry.offset - 1 &&
      !faults.isReplicationPaused;
    if (!mayApply) return false;
    appendEntry(storage, entry);
  }
  return true;
}

/** Asynchronous replication of the stand-in: replicas poll their primary and apply with a set lag. */
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

export interface ReplicationFaults {
  isReplicationPaused: boolean;
}

export type ReplicationAnswer =
  | {
      readonly kind: 'entries';
      readonly term: number;
      readonly entries: readonly StandInLogEntry[];
    }
  | { readonly kind: 'diverged' }
  | { readonly kind: 'not-primary' };

const MAX_ENTRIES_PER_ANSWER = 500;
const POLL_MS = 2;
const LONG_POLL_MS = 100;
const RETRY_MS = 50;

/** Answers a replica that has everything up to `offset`, written in `term`. */
export function readForReplica(
  server: StandInServer,
  offset: number,
  term: number,
): ReplicationAnswer {
  if (server.role !== 'primary') return { kind: 'not-primary' };
  const hasSameLog = offset === 0 || entryAtOffset(server.storage, offset)?.term === term;
  if (!hasSameLog) return { kind: 'diverged' };
  const entries = server.storage.entries.slice(offset, offset + MAX_ENTRIES_PER_ANSWER);
  return { kind: 'entries', term: server.storage.terms.term, entries };
}

/** Like {@link readForReplica}, but waits a little for new entries. */
export async function awaitForReplica(
  server: StandInServer,
  offset: number,
  term: number,
): Promise<ReplicationAnswer> {
  const untilMs = Date.now() + LONG_POLL_MS;
  for (;;) {
    const answer = readForReplica(server, offset, term);
    const isEmpty = answer.kind === 'entries' && answer.entries.length === 0;
    if (!isEmpty || Date.now() >= untilMs) return answer;
    await delay(POLL_MS);
  }
}

/** Runs the replica side until the process ends. */
export async function replicate(
  server: StandInServer,
  lagMs: number,
  faults: ReplicationFaults,
): Promise<never> {
  for (;;) {
    const isIdle = server.role !== 'replica' || server.primaryCommandUrl === undefined;
    if (isIdle || faults.isReplicationPaused) {
      await delay(RETRY_MS);
      continue;
    }
    const isOk = await pullOnce(server, lagMs, faults);
    if (!isOk) await delay(RETRY_MS);
  }
}

async function pullOnce(
  server: StandInServer,
  lagMs: number,
  faults: ReplicationFaults,
): Promise<boolean> {
  const { storage, primaryCommandUrl } = server;
  const { term } = storage.terms;
  const last = lastEntry(storage);
  const url = `${primaryCommandUrl ?? ''}/log?after=${last.offset}&term=${last.term}`;
  const answer = (await requestJson('GET', url, undefined, 2_000)) as ReplicationAnswer | undefined;
  if (!answer || answer.kind === 'not-primary') return false;
  if (answer.kind === 'diverged') {
    truncateLog(storage, last.offset - 1);
    return true;
  }
  if (answer.term !== term) return false;
  for (const entry of answer.entries) {
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

/**
 * Runs reads at the reader of their group in this entry's region, or at the group's owner if the reader cannot
 * run them. A read at a reader that does not answer is run at the owner as well, because reads outside of
 * transactions may be repeated.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { GroupName, StatementOutcome } from '@bramleykeel/core';
import type { Counters } from '@bramleykeel/link';
import type { StatementDraft } from '../locate/owner-client.js';
import type { ReaderLocation } from './locate-reader.js';

type RemoteReader = Extract<ReaderLocation, { readonly kind: 'elsewhere' }>;

export interface ReaderClientOptions {
  readonly counters: Counters;
  readonly locateReader: (group: GroupName) => ReaderLocation | undefined;
  /** Runs a read as the reader; `undefined` if it cannot be run here now. */
  readonly runHere: (
    group: GroupName,
    draft: StatementDraft,
    deadlineMs: number,
  ) => Promise<StatementOutcome | undefined>;
  /** Sends a read to the reader; `undefined` if it was not run there, or if no answer came within `budgetMs`. */
  readonly sendToReader: (
    reader: RemoteReader,
    group: GroupName,
    draft: StatementDraft,
    budgetMs: number,
  ) => Promise<StatementOutcome | undefined>;
}

/** Reads that wait for the answer of a reader. */
interface WaitingReads {
  count: number;
  /** When the reader was last sent a first read or answered one. */
  sinceMs: number;
}

export interface ReaderClient {
  readonly options: ReaderClientOptions;
  readonly waitingAt: Map<string, WaitingReads>;
}

/** A reader with waiting reads that has not answered any for this long gets no more of them, in milliseconds. */
const SILENT_READER_MS = 250;
/** Fraction of a read's remaining time after which it is run at the owner as well. */
const REPEAT_AFTER_FRACTION = 0.35;

export function createReaderClient(options: ReaderClientOptions): ReaderClient {
  return { options, waitingAt: new Map() };
}

/** Whether a statement may run at a replica that lacks the newest commits. */
export function mayReadAtReplica({ access, transaction, consistency }: StatementDraft): boolean {
  return access === 'read' && !transaction && consistency !== 'newest';
}

/**
 * Runs a statement at the nearest place that may run it.
 *
 * @param runAtOwner runs the statement at the group's owner
 */
export async function runNearest(
  client: ReaderClient,
  group: GroupName,
  draft: StatementDraft,
  deadlineMs: number,
  runAtOwner: () => Promise<StatementOutcome>,
): Promise<StatementOutcome> {
  const { options } = client;
  const reader = mayReadAtReplica(draft) ? options.locateReader(group) : undefined;
  if (!reader) return runAtOwner();
  if (reader.kind === 'here')
    return (await options.runHere(group, draft, deadlineMs)) ?? withoutReach(await runAtOwner());
  if (isSilent(client, reader)) {
    options.counters.count('near.reader-silent');
    return runAtOwner();
  }
  const remainingMs = deadlineMs - performance.now();
  const pending = sendToReader(client, reader, group, draft, remainingMs);
  const repeatTimer = new AbortController();
  const repeatAfterMs = remainingMs * REPEAT_AFTER_FRACTION;
  const late = delay(repeatAfterMs, 'late' as const, { signal: repeatTimer.signal }).catch(
    () => 'late' as const,
  );
  const first = await Promise.race([pending, late]);
  repeatTimer.abort();
  if (first !== 'late') return first ?? withoutReach(await runAtOwner());
  options.counters.count('near.repeated-at-owner');
  return firstResult(pending, runAtOwner());
}

/** The reader may have sent the read to a replica that refused it. */
function withoutReach(outcome: StatementOutcome): StatementOutcome {
  return outcome.kind === 'not-run' ? { ...outcome, reachedNoTarget: false } : outcome;
}

/** A refusal as not run would be wrong while the reader may still run the read. */
async function firstResult(
  atReader: Promise<StatementOutcome | undefined>,
  atOwner: Promise<StatementOutcome>,
): Promise<StatementOutcome> {
  const resultAtReader = atReader.then((outcome) => outcome ?? atOwner);
  const first = await Promise.race([resultAtReader, atOwner]);
  if (first.kind === 'done') return first;
  const second = await resultAtReader;
  if (second.kind === 'done') return second;
  return first.kind === 'not-run' ? { kind: 'timed-out' } : first;
}

function isSilent({ waitingAt }: ReaderClient, { linkAddress }: RemoteReader): boolean {
  const waiting = waitingAt.get(linkAddress);
  return waiting !== undefined && performance.now() - waiting.sinceMs > SILENT_READER_MS;
}

async function sendToReader(
  { options, waitingAt }: ReaderClient,
  reader: RemoteReader,
  group: GroupName,
  draft: StatementDraft,
  budgetMs: number,
): Promise<StatementOutcome | undefined> {
  const { linkAddress } = reader;
  const sentAtMs = performance.now();
  const waiting = waitingAt.get(linkAddress) ?? { count: 0, sinceMs: sentAtMs };
  waitingAt.set(linkAddress, waiting);
  waiting.count += 1;
  const outcome = await options.sendToReader(reader, group, draft, budgetMs);
  waiting.count -= 1;
  const nowMs = performance.now();
  if (nowMs - sentAtMs < budgetMs) waiting.sinceMs = nowMs;
  if (waiting.count === 0) waitingAt.delete(linkAddress);
  return outcome;
}

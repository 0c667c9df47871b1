/**
 * Runs reads at the reader of their group in this entry's region, or at the group's owner if the reader cannot
 * run them. A read at a reader that does not answer is run at the owner as well, because reads outside of
 * transactions may be repeated.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { type GroupName, mayForward, type StatementOutcome } from '@bramleykeel/core';
import type { Counters } from '@bramleykeel/link';
import type { StatementDraft } from '../locate/owner-client.js';
import type { ReaderLocation } from './locate-reader.js';
import type { MissingResult } from './read-attempt.js';

type RemoteReader = Extract<ReaderLocation, { readonly kind: 'elsewhere' }>;

export interface ReaderClientOptions {
  readonly regionOf: (zone: string) => string;
  readonly counters: Counters;
  readonly locateReader: (group: GroupName) => ReaderLocation | undefined;
  /** Runs a read as the reader. */
  readonly runHere: (
    group: GroupName,
    draft: StatementDraft,
    deadlineMs: number,
  ) => Promise<StatementOutcome | MissingResult>;
  /** Sends a read to the reader; `unknown` if no answer came within `budgetMs`. */
  readonly sendToReader: (
    reader: RemoteReader,
    group: GroupName,
    draft: StatementDraft,
    budgetMs: number,
  ) => Promise<StatementOutcome | MissingResult>;
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
export function mayReadAtReplica({
  access,
  transaction,
  consistency,
}: Pick<StatementDraft, 'access' | 'transaction' | 'consistency'>): boolean {
  return access === 'read' && !transaction && consistency !== 'newest';
}

/** Where a statement is sent first, and why to the owner if it may run at a replica. */
export type NearestPlace =
  | {
      readonly kind: 'owner';
      readonly reason: 'not-a-near-read' | 'no-reader' | 'reader-not-a-home' | 'reader-silent';
    }
  | { readonly kind: 'reader'; readonly reader: ReaderLocation };

/** Decides where a statement is sent first. */
export function nearestPlaceFor(
  client: Pick<ReaderClient, 'waitingAt'> & {
    readonly options: Pick<ReaderClientOptions, 'locateReader' | 'regionOf'>;
  },
  group: GroupName,
  draft: Pick<StatementDraft, 'access' | 'transaction' | 'consistency' | 'homes'>,
): NearestPlace {
  const { options } = client;
  if (!mayReadAtReplica(draft)) return { kind: 'owner', reason: 'not-a-near-read' };
  const reader = options.locateReader(group);
  if (!reader) return { kind: 'owner', reason: 'no-reader' };
  if (reader.kind === 'here') return { kind: 'reader', reader };
  const { zone } = reader;
  if (!mayForward(draft.homes, { isLocal: false, zone }, options.regionOf))
    return { kind: 'owner', reason: 'reader-not-a-home' };
  if (isSilent(client, reader)) return { kind: 'owner', reason: 'reader-silent' };
  return { kind: 'reader', reader };
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
  const place = nearestPlaceFor(client, group, draft);
  if (place.kind === 'owner') {
    if (place.reason === 'reader-silent') options.counters.count('near.reader-silent');
    return runAtOwner();
  }
  const { reader } = place;
  if (reader.kind === 'here') {
    const result = await options.runHere(group, draft, deadlineMs);
    return typeof result === 'string' ? afterMissing(result, await runAtOwner()) : result;
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
  if (typeof first !== 'string') return first;
  if (first !== 'late') return afterMissing(first, await runAtOwner());
  options.counters.count('near.repeated-at-owner');
  return firstResult(pending, runAtOwner());
}

/** The outcome at the owner after the reader had no result: a read that a replica may have run is not `not-run`. */
function afterMissing(result: MissingResult, atOwner: StatementOutcome): StatementOutcome {
  if (atOwner.kind !== 'not-run' || result === 'not-sent') return atOwner;
  return result === 'unknown' ? { kind: 'timed-out' } : { ...atOwner, reachedNoTarget: false };
}

/** The first result of a read that the reader has not answered in time and the owner runs as well. */
async function firstResult(
  atReader: Promise<StatementOutcome | MissingResult>,
  atOwner: Promise<StatementOutcome>,
): Promise<StatementOutcome> {
  const resultAtReader = atReader.then(async (result) =>
    typeof result === 'string' ? afterMissing(result, await atOwner) : result,
  );
  const first = await Promise.race([resultAtReader, atOwner]);
  return first.kind === 'done' ? first : resultAtReader;
}

function isSilent(
  { waitingAt }: Pick<ReaderClient, 'waitingAt'>,
  { linkAddress }: RemoteReader,
): boolean {
  const waiting = waitingAt.get(linkAddress);
  return waiting !== undefined && performance.now() - waiting.sinceMs > SILENT_READER_MS;
}

async function sendToReader(
  { options, waitingAt }: ReaderClient,
  reader: RemoteReader,
  group: GroupName,
  draft: StatementDraft,
  budgetMs: number,
): Promise<StatementOutcome | MissingResult> {
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

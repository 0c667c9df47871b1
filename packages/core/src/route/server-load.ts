/**
 * What one process has measured of a server, from the answers to its own statements and from the counts that
 * other processes add to messages which they send anyway.
 */

/** Kinds of statements whose service times differ. */
export type LoadAccess = 'read' | 'write';

/**
 * How a server failed a statement: it reported an error, it reported a timeout, it did not answer, or it closed
 * the connection.
 */
export type LoadFailure = 'error' | 'timeout' | 'mute' | 'reset';

/** Smoothed service time of a server for one kind of access, in milliseconds. */
export interface ServiceTime {
  readonly meanMs: number;
  /** Smoothed absolute deviation from the mean. */
  readonly spreadMs: number;
  readonly sampleCount: number;
  readonly atMs: number;
}

/** A count with the time of its last change. */
export interface DatedCount {
  readonly count: number;
  readonly atMs: number;
}

/** Statements of other processes on a server. */
export interface OtherStatements {
  /** Running when the last message was sent. */
  readonly running: number;
  /** Smoothed over the messages. */
  readonly meanRunning: number;
  readonly messageCount: number;
  readonly atMs: number;
}

export interface ServerLoad {
  readonly service: Map<LoadAccess, ServiceTime>;
  readonly unanswered: Map<LoadAccess, DatedCount>;
  readonly failures: Map<LoadFailure, DatedCount>;
  others: OtherStatements | undefined;
}

/** An answered statement. */
export interface ServedStatement {
  readonly elapsedMs: number;
  /** Statements of all processes on the server when this one was sent, including it. */
  readonly occupied: number;
  readonly slots: number;
}

/** Weight of a new sample; a change of a server's speed is visible after about ten answers. */
const SAMPLE_WEIGHT = 0.1;
/**
 * Time over which counts of others are smoothed, in milliseconds. All choosers have the same counts, so noise in them
 * makes all of them avoid the same server until the next message: with 3 s, 16 choosers and messages each second
 * the busiest server got 1.12 times the mean.
 */
const OTHERS_SMOOTHING_MS = 10_000;
/** Counts of others are not used beyond this age, in milliseconds; they are sent once a second. */
export const MAX_OTHERS_AGE_MS = 2_000;

export function createServerLoad(): ServerLoad {
  return { service: new Map(), unanswered: new Map(), failures: new Map(), others: undefined };
}

/**
 * The service time of a statement. A server with more statements than slots works on them in turn, so that the time
 * is scaled to what the statement would have taken alone.
 *
 * @example
 * serviceTimeOf({ elapsedMs: 40, occupied: 8, slots: 4 }); // 20
 */
export function serviceTimeOf({ elapsedMs, occupied, slots }: ServedStatement): number {
  return (elapsedMs * slots) / Math.max(slots, occupied);
}

/** Records that a statement was sent. Each is followed by one `recordServed` or `recordFailed`. */
export function recordSent(load: ServerLoad, access: LoadAccess, nowMs: number): void {
  addToCount(load.unanswered, access, 1, nowMs);
}

/**
 * Records an answer.
 *
 * @example
 * recordServed(load, 'read', { elapsedMs: 18, occupied: 2, slots: 4 }, performance.now());
 */
export function recordServed(
  load: ServerLoad,
  access: LoadAccess,
  served: ServedStatement,
  nowMs: number,
): void {
  addToCount(load.unanswered, access, -1, nowMs);
  const sampleMs = serviceTimeOf(served);
  const former = load.service.get(access);
  if (!former) {
    const first = { meanMs: sampleMs, spreadMs: sampleMs / 2, sampleCount: 1, atMs: nowMs };
    load.service.set(access, first);
    return;
  }
  const sampleCount = former.sampleCount + 1;
  // The first samples count equally, so that a single slow one does not set the mean.
  const weight = Math.max(SAMPLE_WEIGHT, 1 / sampleCount);
  const differenceMs = sampleMs - former.meanMs;
  load.service.set(access, {
    meanMs: former.meanMs + weight * differenceMs,
    spreadMs: former.spreadMs + weight * (Math.abs(differenceMs) - former.spreadMs),
    sampleCount,
    atMs: nowMs,
  });
}

/** Records that a statement failed, which says nothing about the service time. */
export function recordFailed(
  load: ServerLoad,
  access: LoadAccess,
  failure: LoadFailure,
  nowMs: number,
): void {
  addToCount(load.unanswered, access, -1, nowMs);
  addToCount(load.failures, failure, 1, nowMs);
}

/** Records that a server refused a statement before running it, which is neither a failure nor a service time. */
export function recordRefused(load: ServerLoad, access: LoadAccess, nowMs: number): void {
  addToCount(load.unanswered, access, -1, nowMs);
}

/** Records the number of statements that other processes reported to run on the server. */
export function recordOthers(load: ServerLoad, running: number, nowMs: number): void {
  const former = load.others;
  if (!former || nowMs - former.atMs > MAX_OTHERS_AGE_MS) {
    load.others = { running, meanRunning: running, messageCount: 1, atMs: nowMs };
    return;
  }
  const messageCount = former.messageCount + 1;
  const smoothing = 1 - Math.exp(-(nowMs - former.atMs) / OTHERS_SMOOTHING_MS);
  const weight = Math.max(smoothing, 1 / messageCount);
  const meanRunning = former.meanRunning + weight * (running - former.meanRunning);
  load.others = { running, meanRunning, messageCount, atMs: nowMs };
}

function addToCount<Key>(
  counts: Map<Key, DatedCount>,
  key: Key,
  change: 1 | -1,
  nowMs: number,
): void {
  const count = Math.max(0, (counts.get(key)?.count ?? 0) + change);
  counts.set(key, { count, atMs: nowMs });
}

/** Evidence that one process has of a server's health: how its own statements there were answered. */
import type { LoadFailure } from './server-load.js';

/**
 * How a statement ended. `slow`: it was answered, much later than the server and its peers answer otherwise.
 * `misreported`: the server refused it as busy although it has fewer statements than the slots that it announces.
 */
export type Evidence = 'served' | LoadFailure | 'slow' | 'misreported';

/**
 * - `in-service`: gets reads by load, fewer in proportion to its failures.
 * - `set-aside`: gets no reads.
 * - `probing`: gets a few reads to find out whether it has recovered.
 * - `returning`: gets a growing part of its reads.
 */
export type HealthStage = 'in-service' | 'set-aside' | 'probing' | 'returning';

/** A statement without an answer. */
export interface PendingStatement {
  readonly sentAtMs: number;
}

interface EvidenceBucket {
  readonly startMs: number;
  readonly counts: Map<Evidence, number>;
}

export interface ServerHealth {
  buckets: EvidenceBucket[];
  readonly pending: Set<PendingStatement>;
  /** Service time over many answers, which a server that becomes slower changes only gradually. */
  baselineMs: number | undefined;
  baselineCount: number;
  /** Service times above this are `slow`; `undefined` before the first evaluation. */
  slowLimitMs: number | undefined;
  stage: HealthStage;
  stageSinceMs: number;
  /** Statements that were sent and served, or have failed, since the stage began. */
  servedInStage: number;
  failedInStage: number;
  /** Part of its reads that the server gets. */
  share: number;
  /** Time for which the server was set aside last, in milliseconds. */
  holdMs: number;
  evaluatedMs: number;
}

/** What a decision on a server is based on. */
export interface HealthInputs {
  readonly served: number;
  readonly failures: Readonly<Partial<Record<Evidence, number>>>;
  readonly failed: number;
  /** Statements that have been unanswered for too long. */
  readonly hung: number;
  readonly oldestPendingMs: number;
  /** Failures as a fraction of all evidence. */
  readonly failureRatio: number;
  /** Age of the oldest evidence, in milliseconds. */
  readonly ageMs: number;
}

/** Evidence is used for this long, in milliseconds. */
export const EVIDENCE_WINDOW_MS = 1_000;
const BUCKET_MS = 100;
const BASELINE_WEIGHT = 0.01;
/** One slow answer raises the baseline as if it had taken this multiple of it. */
const MAX_BASELINE_STEP = 2;
/** Shortest time after which an unanswered statement is evidence, in milliseconds. */
const MIN_HANG_MS = 300;

export function createServerHealth(): ServerHealth {
  return {
    buckets: [],
    pending: new Set(),
    baselineMs: undefined,
    baselineCount: 0,
    slowLimitMs: undefined,
    stage: 'in-service',
    stageSinceMs: Number.NEGATIVE_INFINITY,
    servedInStage: 0,
    failedInStage: 0,
    share: 1,
    holdMs: 0,
    evaluatedMs: Number.NEGATIVE_INFINITY,
  };
}

/** A copy that can be evaluated without changing the original. */
export function copyServerHealth(health: ServerHealth): ServerHealth {
  const buckets = health.buckets.map(({ startMs, counts }) => ({
    startMs,
    counts: new Map(counts),
  }));
  return { ...health, buckets, pending: new Set(health.pending) };
}

/**
 * Probability with which `takesRead` accepts a read now.
 *
 * @example
 * takeShareOf(server.health, server.runningCount); // 0.05 for a server that is probed and runs nothing
 */
export function takeShareOf(health: ServerHealth, running: number): number {
  return takesRead(health, running, 0) ? Math.min(1, health.share) : 0;
}

/** Records that a statement was sent; the result is passed to `recordEnded`. */
export function recordPending(health: ServerHealth, nowMs: number): PendingStatement {
  const statement = { sentAtMs: nowMs };
  health.pending.add(statement);
  return statement;
}

/**
 * Records how a statement ended; `undefined` if that says nothing about the server. One that was sent before the
 * current stage is no evidence in it.
 */
export function recordEnded(
  health: ServerHealth,
  statement: PendingStatement,
  evidence: Evidence | undefined,
  nowMs: number,
): void {
  health.pending.delete(statement);
  if (evidence === undefined || statement.sentAtMs < health.stageSinceMs) return;
  if (evidence === 'served') health.servedInStage += 1;
  else health.failedInStage += 1;
  const last = health.buckets.at(-1);
  if (last && nowMs - last.startMs < BUCKET_MS) {
    last.counts.set(evidence, (last.counts.get(evidence) ?? 0) + 1);
    return;
  }
  health.buckets.push({ startMs: nowMs, counts: new Map([[evidence, 1]]) });
  if (health.buckets.length > EVIDENCE_WINDOW_MS / BUCKET_MS + 1) health.buckets.shift();
}

/**
 * Whether an unanswered statement is evidence against the server. One that had little time left when it was sent is
 * overdue at a healthy server as well.
 */
export function isOverdueEvidence(health: ServerHealth, waitedMs: number): boolean {
  return waitedMs >= (health.slowLimitMs ?? MIN_HANG_MS);
}

/**
 * Whether the server takes a read, as far as its health is concerned.
 *
 * @param running statements of this process on the server; a probe waits for the answer to the one before
 * @param randomUnit a random number in [0, 1)
 */
export function takesRead(
  { stage, share }: ServerHealth,
  running: number,
  randomUnit: number,
): boolean {
  return randomUnit < share && (stage !== 'probing' || running === 0);
}

/**
 * Classifies an answer by its service time, and includes the time in the baseline.
 *
 * @example
 * recordEnded(health, statement, classifyServed(health, 18), performance.now());
 */
export function classifyServed(health: ServerHealth, serviceMs: number): 'served' | 'slow' {
  health.baselineCount += 1;
  const { baselineMs } = health;
  const weight = Math.max(BASELINE_WEIGHT, 1 / health.baselineCount);
  const sampleMs = Math.min(serviceMs, (baselineMs ?? serviceMs) * MAX_BASELINE_STEP);
  health.baselineMs =
    baselineMs === undefined ? serviceMs : baselineMs + weight * (sampleMs - baselineMs);
  return serviceMs > (health.slowLimitMs ?? Number.POSITIVE_INFINITY) ? 'slow' : 'served';
}

/** The evidence of the last second. */
export function healthInputsOf(health: ServerHealth, nowMs: number): HealthInputs {
  const recent = health.buckets.filter(({ startMs }) => nowMs - startMs <= EVIDENCE_WINDOW_MS);
  const failures: Partial<Record<Evidence, number>> = {};
  let served = 0;
  let failed = 0;
  for (const [evidence, count] of recent.flatMap(({ counts }) => [...counts])) {
    if (evidence === 'served') {
      served += count;
      continue;
    }
    failures[evidence] = (failures[evidence] ?? 0) + count;
    failed += count;
  }
  const hangMs = Math.max(MIN_HANG_MS, health.slowLimitMs ?? EVIDENCE_WINDOW_MS);
  const agesMs = [...health.pending]
    .filter(({ sentAtMs }) => sentAtMs >= health.stageSinceMs)
    .map(({ sentAtMs }) => nowMs - sentAtMs);
  const hung = agesMs.filter((ageMs) => ageMs >= hangMs).length;
  const total = served + failed + hung;
  return {
    served,
    failures,
    failed,
    hung,
    oldestPendingMs: Math.max(0, ...agesMs),
    failureRatio: total === 0 ? 0 : (failed + hung) / total,
    ageMs: nowMs - (recent[0]?.startMs ?? nowMs),
  };
}

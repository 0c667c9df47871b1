/**
 * Ends the sessions of an entry that stops. Every request that was read gets its whole answer: the process ends only
 * when nobody waits, or right before it would be killed.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { abandonRequests, isIdle, isUnused } from './session.js';
import type { CallerSession, StopPhase } from './session-state.js';

/** The phases of a stop, as fractions of the time between the signal to stop and the end of the process. */
export interface StopSchedule {
  readonly startedAtMs: number;
  readonly graceMs: number;
}

/** Until then the entry serves, and lets open transactions end. */
const SERVING_SHARE = 0.5;
/** Until then it commits transactions that have reached their COMMIT, and lets callers hear that others are over. */
const COMMITTING_SHARE = 0.75;
/** Until then it waits for answers of servers. */
const ANSWERING_SHARE = 0.9;
/** Period over which idle sessions are closed at first, so that their callers do not all reconnect at once. In milliseconds. */
const IDLE_CLOSE_SPREAD_MS = 1_500;
const POLL_MS = 25;

/**
 * The phase of a stop at a time.
 *
 * @example
 * stopPhaseAt({ startedAtMs: 0, graceMs: 6_000 }, 3_100); // 'committing'
 */
export function stopPhaseAt({ startedAtMs, graceMs }: StopSchedule, nowMs: number): StopPhase {
  const share = (nowMs - startedAtMs) / graceMs;
  if (share < SERVING_SHARE) return 'serving';
  if (share < COMMITTING_SHARE) return 'committing';
  return share < ANSWERING_SHARE ? 'answering' : 'over';
}

/** When the phase begins in which nothing new runs, by the monotonic clock. */
export function lastStartOf({ startedAtMs, graceMs }: StopSchedule): number {
  return startedAtMs + graceMs * COMMITTING_SHARE;
}

/**
 * Closes idle sessions, first gradually, then at once; those with a transaction are closed when they have heard that it is
 * over. What still runs at the end is answered as unknown. Takes at least until `notBeforeMs`, because new callers arrive
 * until the load balancer has noticed that the entry is stopping.
 */
export async function drainSessions(
  sessions: ReadonlySet<CallerSession>,
  schedule: StopSchedule,
  notBeforeMs: number,
): Promise<void> {
  const { startedAtMs } = schedule;
  for (;;) {
    const nowMs = performance.now();
    const phase = stopPhaseAt(schedule, nowMs);
    if (phase === 'over' || (sessions.size === 0 && nowMs >= notBeforeMs)) break;
    const closeProbability = phase === 'serving' ? (nowMs - startedAtMs) / IDLE_CLOSE_SPREAD_MS : 1;
    for (const session of sessions) {
      const mayClose = phase === 'answering' ? isUnused(session) : isIdle(session);
      if (mayClose && Math.random() < closeProbability) session.port.close();
    }
    await delay(POLL_MS);
  }
  for (const session of sessions) {
    abandonRequests(session);
    session.port.close();
  }
}

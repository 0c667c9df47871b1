/** Decides whether a waiting statement can still be served in time. */
import type { StartForecast } from './start-forecast.js';

/** When a statement arrived, and until when a start is of use to its caller. */
export interface StartLimits {
  readonly arrivedAtMs: number;
  /** Latest time to start on a server. */
  readonly startByMs: number;
  /** Response time objective of its route; `undefined` if the caller's entry has not told it. */
  readonly objectiveMs: number | undefined;
}

export type StartVerdict =
  { readonly kind: 'wait' } | { readonly kind: 'refuse'; readonly retryAfterMs: number };

/** A statement is refused on arrival if its forecast is beyond this part of the time left. */
const ARRIVAL_PART = 1;
/** The same for one that has waited already, which is refused only if it certainly comes too late. */
const WAITING_PART = 1.25;
/** Retry times are spread by up to this part, so that refused callers do not return together. */
const RETRY_SPREAD = 1 / 3;
const MIN_RETRY_AFTER_MS = 50;
/** Callers give up on a request after about 2 s, including their own pauses. */
const MAX_RETRY_AFTER_MS = 2_000;
/** A statement without prospect is held at most for this part of its objective. */
const MAX_HOPELESS_PART = 0.25;

/**
 * Latest time at which a start is of use: it may still be sent to a server, and its objective leaves time to run it.
 *
 * @example
 * latestUsefulStartMs({ arrivedAtMs: 0, startByMs: 360, objectiveMs: 300 }, 20); // 280
 */
export function latestUsefulStartMs(
  { arrivedAtMs, startByMs, objectiveMs }: StartLimits,
  serviceMs: number,
): number {
  if (objectiveMs === undefined) return startByMs;
  return Math.min(startByMs, arrivedAtMs + objectiveMs - serviceMs);
}

/**
 * Judges a statement by the forecast of its start. Without a forecast it waits.
 *
 * @param randomUnit a random number in [0, 1), which spreads the retry times
 * @example
 * judgeStart(limits, { startInMs: 900, serviceMs: 6 }, nowMs, Math.random()).kind; // 'refuse'
 */
export function judgeStart(
  limits: StartLimits,
  forecast: StartForecast | undefined,
  nowMs: number,
  randomUnit: number,
): StartVerdict {
  if (!forecast) return { kind: 'wait' };
  const { startInMs, serviceMs } = forecast;
  const leftMs = latestUsefulStartMs(limits, serviceMs) - nowMs;
  const isArrival = nowMs <= limits.arrivedAtMs;
  const limitMs = isArrival ? leftMs * ARRIVAL_PART : leftMs * WAITING_PART + serviceMs;
  const isInTime = leftMs > 0 && startInMs <= limitMs;
  // A statement that a server may start now is served even though it will be late.
  if (isInTime || startInMs <= 0) return { kind: 'wait' };
  return { kind: 'refuse', retryAfterMs: retryAfterOf(startInMs, randomUnit) };
}

/**
 * Whether a waiting statement is judged again: from a quarter of its objective on, since that is how long one that
 * will not be served may be held.
 */
export function isToBeJudgedAgain(
  { arrivedAtMs, objectiveMs, startByMs }: StartLimits,
  nowMs: number,
): boolean {
  const heldMs = (objectiveMs ?? startByMs - arrivedAtMs) * MAX_HOPELESS_PART;
  return nowMs - arrivedAtMs >= heldMs;
}

function retryAfterOf(startInMs: number, randomUnit: number): number {
  const spreadMs = startInMs * (1 + RETRY_SPREAD * randomUnit);
  return Math.round(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, spreadMs)));
}

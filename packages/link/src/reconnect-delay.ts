/**
 * Delay before a link is opened again, for the recovery after a loss of many instances at once: nothing is
 * served before the links between their processes are open again.
 */

/** Why a connection attempt failed; `silent` means that it timed out. */
export type LinkConnectFailure = 'refused' | 'silent' | 'failed';

export interface ReconnectTiming {
  readonly reconnectMinMs: number;
  readonly reconnectMaxMs: number;
}

export interface FailedAttempt {
  readonly failure: LinkConnectFailure;
  /** Time since the link was open, or since the first attempt if it never was. */
  readonly failingForMs: number;
  /** Delay before this attempt; 0 for the first one. */
  readonly previousDelayMs: number;
}

/**
 * Time allowed for a connection attempt to a process that has just been lost, in milliseconds. An instance without
 * power does not answer at all, so an attempt that was made before it is back tells nothing about it afterwards.
 */
const EAGER_CONNECT_TIMEOUT_MS = 250;
/** A refused attempt shows that the instance is up, so its process may listen at any moment. */
const REFUSED_MAX_MS = 100;
/** Time after which a process that still refuses is not expected to start soon, in milliseconds. */
const EAGER_FOR_MS = 4_000;

/**
 * Returns the delay before the next attempt, in milliseconds. It doubles from `reconnectMinMs` to
 * `reconnectMaxMs`, but stays short for a process that has just been lost and refuses connections or is silent.
 *
 * @example
 * nextReconnectDelayMs(timing, { failure: 'refused', failingForMs: 700, previousDelayMs: 100 }); // 100
 */
export function nextReconnectDelayMs(
  { reconnectMinMs, reconnectMaxMs }: ReconnectTiming,
  { failure, failingForMs, previousDelayMs }: FailedAttempt,
): number {
  const mayStart = failure !== 'failed' && failingForMs < EAGER_FOR_MS;
  // A silent attempt has taken its time already.
  if (mayStart && failure === 'silent') return reconnectMinMs;
  const maxMs = mayStart ? Math.min(REFUSED_MAX_MS, reconnectMaxMs) : reconnectMaxMs;
  return Math.min(Math.max(reconnectMinMs, previousDelayMs * 2), maxMs);
}

/**
 * Returns the time allowed for the next attempt, in milliseconds: short for a process that has just been lost.
 *
 * @example
 * nextConnectTimeoutMs(1_000, 700); // 250
 */
export function nextConnectTimeoutMs(connectTimeoutMs: number, failingForMs: number): number {
  return failingForMs < EAGER_FOR_MS
    ? Math.min(EAGER_CONNECT_TIMEOUT_MS, connectTimeoutMs)
    : connectTimeoutMs;
}

import type { ServerState } from './owner-state.js';

/** A server that does not answer counts as lost once connections have failed for this long, in milliseconds. */
const PROBE_FAILURE_TIMEOUT_MS = 550;
/** Consecutive refused connections that prove that the server process has ended. */
const REFUSALS_PROVING_EXIT = 2;

/**
 * Whether the server counts as lost: refused connections prove that its process has ended, or connections have
 * failed for `PROBE_FAILURE_TIMEOUT_MS`.
 */
export function isLost({ failingSinceMs, refusedCount }: ServerState): boolean {
  if (failingSinceMs === undefined) return false;
  if (refusedCount >= REFUSALS_PROVING_EXIT) return true;
  return performance.now() - failingSinceMs >= PROBE_FAILURE_TIMEOUT_MS;
}

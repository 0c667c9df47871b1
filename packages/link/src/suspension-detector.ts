/** Notices that the instance was suspended: the time of day moved on, and the steady clock did not. */

export interface SuspensionDetector {
  /** Whether the time of day has run ahead of the steady clock since the last call. */
  readonly hasWallClockJumped: () => boolean;
}

/** Jumps up to this size are clock corrections, in milliseconds. */
const MAX_CORRECTION_MS = 150;

/**
 * Watches the two clocks. A step of the time of day looks the same as a suspension; what was granted
 * for a time is then renewed once for nothing.
 *
 * @example
 * const watch = createSuspensionWatch();
 * if (watch.hasJumped()) dropLeases();
 */
export function createSuspensionDetector(
  wallClockMs: () => number = Date.now,
  monotonicClockMs: () => number = () => performance.now(),
): SuspensionDetector {
  let offsetMs = wallClockMs() - monotonicClockMs();
  return {
    hasWallClockJumped: () => {
      const nowOffsetMs = wallClockMs() - monotonicClockMs();
      const jumpMs = nowOffsetMs - offsetMs;
      offsetMs = nowOffsetMs;
      return jumpMs > MAX_CORRECTION_MS;
    },
  };
}

/** Detects that the instance was suspended: the wall clock has advanced, and the monotonic clock has not. */

export interface SuspensionDetector {
  /** Whether the wall clock has jumped ahead of the monotonic clock since the last call. */
  readonly hasWallClockJumped: () => boolean;
}

/** Jumps up to this size are treated as clock corrections. */
const MAX_CORRECTION_MS = 150;

/**
 * Compares the two clocks. A forward step of the wall clock looks the same as a suspension; it costs only an
 * unnecessary renewal of leases.
 *
 * @example
 * const detector = createSuspensionDetector();
 * if (detector.hasWallClockJumped()) dropLeases();
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

/**
 * Intervals that many parts of a process share. An entry keeps dozens of links, each with something to check a
 * few times a second: one timer for all of them wakes the process as often as one.
 */
interface SharedInterval {
  readonly checks: Set<() => void>;
  readonly timer: NodeJS.Timeout;
}

const intervals = new Map<number, SharedInterval>();

/**
 * Calls `check` every `periodMs`, together with all others of that period.
 *
 * @returns ends it
 * @example
 * const stop = everyShared(200, checkLiveness);
 */
export function everyShared(periodMs: number, check: () => void): () => void {
  const shared = intervals.get(periodMs) ?? startInterval(periodMs);
  shared.checks.add(check);
  return () => {
    shared.checks.delete(check);
    if (shared.checks.size > 0 || intervals.get(periodMs) !== shared) return;
    clearInterval(shared.timer);
    intervals.delete(periodMs);
  };
}

function startInterval(periodMs: number): SharedInterval {
  const checks = new Set<() => void>();
  const timer = setInterval(() => {
    for (const check of [...checks]) check();
  }, periodMs);
  const created = { checks, timer };
  intervals.set(periodMs, created);
  return created;
}

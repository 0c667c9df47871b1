/**
 * Intervals that many parts of a process share. An entry keeps dozens of links, each with something to check a
 * few times a second: one timer for all of them wakes the process as often as one.
 */
interface SharedInterval {
  readonly callbacks: Set<() => void>;
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
export function setSharedInterval(periodMs: number, callback: () => void): () => void {
  const shared = intervals.get(periodMs) ?? startInterval(periodMs);
  shared.callbacks.add(callback);
  return () => {
    shared.callbacks.delete(callback);
    if (shared.callbacks.size > 0 || intervals.get(periodMs) !== shared) return;
    clearInterval(shared.timer);
    intervals.delete(periodMs);
  };
}

function startInterval(periodMs: number): SharedInterval {
  const callbacks = new Set<() => void>();
  const timer = setInterval(() => {
    for (const callback of [...callbacks]) callback();
  }, periodMs);
  const created = { callbacks, timer };
  intervals.set(periodMs, created);
  return created;
}

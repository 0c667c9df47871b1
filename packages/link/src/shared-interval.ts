/**
 * A timer shared by all callbacks with the same period. An entry has dozens of links, each with a check that runs
 * several times a second; a shared timer wakes the process once per period for all of them.
 */
interface SharedInterval {
  readonly callbacks: Set<() => void>;
  readonly timer: NodeJS.Timeout;
}

const intervals = new Map<number, SharedInterval>();

/**
 * Calls `callback` every `periodMs`, on one timer with all other callbacks of that period.
 *
 * @returns a function that stops the calls
 * @example
 * const stop = setSharedInterval(200, checkLiveness);
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

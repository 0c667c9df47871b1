/**
 * Decides which groups are too heavy for narrow instances. Groups are placed before their load is known, by the slots of
 * their servers. A busy one is found by the processor time that its owner's process uses, and moves to an instance
 * with more.
 */

export interface BusyWatch {
  /** Since when the process has been busy without a pause; `undefined` while it is not. */
  busySinceMs: number | undefined;
}

/**
 * Share of the time above which a process counts as busy. Well below 1, because an answer that waits in its socket keeps
 * a slot of its server occupied: groups with few slots lose throughput long before the process has no time left.
 */
const BUSY_SHARE = 0.45;
/** A start, or a burst that lasts shorter than this, moves no group, in milliseconds. */
const OUTGROWN_AFTER_MS = 1_500;

/** Servers with fewer slots lose throughput on a narrow instance at any load worth moving for. */
const MIN_SLOTS_ON_NARROW_INSTANCE = 3;

/** Whether a group is taken to be too heavy for narrow instances before its load is known. */
export function isHeavyFromStart({ slots }: { readonly slots: number }): boolean {
  return slots < MIN_SLOTS_ON_NARROW_INSTANCE;
}

export function createBusyWatch(): BusyWatch {
  return { busySinceMs: undefined };
}

/**
 * Records how busy the process was since the last call, and returns whether one of its groups has to move. The watch
 * then starts anew, so that the next group moves only if the process remains busy without the first.
 *
 * @param busyShare share of the time since the last call in which the process was not idle, from 0 to 1
 * @example
 * const { utilization } = performance.eventLoopUtilization(current, previous);
 * if (hasOutgrown(watch, utilization, performance.now())) await handOverBusiestGroup();
 */
export function hasOutgrown(watch: BusyWatch, busyShare: number, nowMs: number): boolean {
  if (busyShare < BUSY_SHARE) {
    watch.busySinceMs = undefined;
    return false;
  }
  watch.busySinceMs ??= nowMs;
  if (nowMs - watch.busySinceMs < OUTGROWN_AFTER_MS) return false;
  watch.busySinceMs = undefined;
  return true;
}

/** Watches how busy a narrow instance is, and hands groups over that have outgrown it. */
import { COLD_START_MS, createBusyWatch, hasOutgrown, isWide } from '@bramleykeel/core';
import { handOverBusiestGroup, type StatementOwnerRegistry } from './owner-registry.js';

export interface InstanceReliefOptions {
  readonly registry: StatementOwnerRegistry;
  /** Bandwidth of the instance in Mbit/s; `undefined` if unknown. */
  readonly linkMbps?: number | undefined;
  readonly isStopping: () => boolean;
}

const SAMPLE_MS = 500;
/**
 * Time that open transactions have before their group moves, in milliseconds. It is short, because all callers of the
 * group wait meanwhile, and aborted transactions can be repeated.
 */
const MOVE_GRACE_MS = 200;

/**
 * Starts the watch; returns a function that ends it. The first seconds of the process do not count, because links and
 * sessions open then.
 *
 * @example
 * const stopRelief = startInstanceRelief({ registry, linkMbps: 2, isStopping: () => isStopping });
 */
export function startInstanceRelief(options: InstanceReliefOptions): () => void {
  const startedAtMs = performance.now();
  const watch = createBusyWatch();
  let measured = performance.eventLoopUtilization();
  const timer = setInterval(() => {
    const { utilization } = performance.eventLoopUtilization(measured);
    measured = performance.eventLoopUtilization();
    const busyShare = mayMoveGroups() ? utilization : 0;
    if (hasOutgrown(watch, busyShare, performance.now()))
      void handOverBusiestGroup(options.registry, MOVE_GRACE_MS);
  }, SAMPLE_MS);
  return () => {
    clearInterval(timer);
  };

  function mayMoveGroups(): boolean {
    const isStarting = performance.now() - startedAtMs < COLD_START_MS;
    const ownsGroups = options.registry.owners.size > 0;
    return ownsGroups && !isWide(options) && !isStarting && !options.isStopping();
  }
}

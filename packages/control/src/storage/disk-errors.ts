/** Disk errors that may be temporary: the disk is full, failing or read-only. */
import { setTimeout as delay } from 'node:timers/promises';
import type { Log } from '@bramleykeel/link';

/** Delay before a failed disk operation is retried: a fraction of an election timeout. */
export const DISK_RETRY_INTERVAL_MS = 100;

/** Returns the code of a failed system call, and `undefined` for any other error. */
export function diskErrorCode(error: unknown): string | undefined {
  if (!(error instanceof Error) || !('syscall' in error) || !('code' in error)) return undefined;
  return typeof error.code === 'string' ? error.code : undefined;
}

/**
 * Repeats an operation until it no longer fails with a disk error.
 *
 * @throws any error that is not a disk error
 * @example
 * const opened = await retryOnDiskError(log, () => openStorage(folder));
 */
export async function retryOnDiskError<T>(log: Log, attempt: () => T): Promise<T> {
  let failingSinceMs: number | undefined;
  for (;;) {
    try {
      return attempt();
    } catch (error) {
      const code = diskErrorCode(error);
      if (code === undefined) throw error;
      if (failingSinceMs === undefined)
        log('disk operation failed; retrying until it succeeds', { code });
      failingSinceMs ??= performance.now();
    }
    await delay(DISK_RETRY_INTERVAL_MS);
  }
}

/** Errors of a disk that refuses: full, failing, or read-only. They may be over in a while. */
import { setTimeout as delay } from 'node:timers/promises';
import type { Log } from '@bramleykeel/link';

/** Pause before a disk that refused is tried again, in milliseconds: a fraction of an election. */
export const DISK_RETRY_MS = 100;

/** The error's code when a system call failed; `undefined` for errors of the program. */
export function diskRefusal(error: unknown): string | undefined {
  if (!(error instanceof Error) || !('syscall' in error) || !('code' in error)) return undefined;
  return typeof error.code === 'string' ? error.code : undefined;
}

/**
 * Repeats what a disk refuses until it takes it.
 *
 * @throws what is no refusal of a disk
 * @example
 * const opened = await untilDiskTakes(log, () => openStorage(folder));
 */
export async function untilDiskTakes<T>(log: Log, attempt: () => T): Promise<T> {
  let refusedSinceMs: number | undefined;
  for (;;) {
    try {
      return attempt();
    } catch (error) {
      const code = diskRefusal(error);
      if (code === undefined) throw error;
      if (refusedSinceMs === undefined) log('the disk refuses; trying again', { code });
      refusedSinceMs ??= performance.now();
    }
    await delay(DISK_RETRY_MS);
  }
}

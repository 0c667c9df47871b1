/** Keeps a process running after an error that concerns one request or connection only. */
import type { Counters } from './counters.js';
import type { Log } from './logger.js';

/**
 * Logs and counts rejected promises that nobody handles, instead of ending the process with all its callers. Register
 * it once the process has started: a failed start has to end. A control member whose log breaks ends all the same.
 *
 * @returns a function that ends this
 *
 * @example
 * const stop = surviveUnhandledRejections(log, counters);
 */
export function surviveUnhandledRejections(log: Log, counters: Counters): () => void {
  const handleRejection = (reason: unknown) => {
    counters.count('process.unexpected-error');
    const stack = reason instanceof Error ? reason.stack : undefined;
    log('unexpected error; what waited for it gets no result', { error: stack ?? String(reason) });
  };
  process.on('unhandledRejection', handleRejection);
  return () => {
    process.off('unhandledRejection', handleRejection);
  };
}

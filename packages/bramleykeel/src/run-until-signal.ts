/** Runs a daemon until a signal stops it. */
import { flushLogs } from '@bramleykeel/link';

const EXIT_FORCED = 3;

/**
 * Waits for SIGTERM or SIGINT, stops the daemon and exits with status 0. A second signal exits at once
 * with status 3.
 *
 * @example
 * await runUntilSignal(() => daemon.stop());
 */
export function runUntilSignal(stop: () => Promise<void>): Promise<never> {
  let isStopping = false;
  const handleSignal = (signal: string) => {
    if (isStopping) {
      process.stderr.write(
        `received a second ${signal}; exiting at once and aborting running requests\n`,
      );
      process.exit(EXIT_FORCED);
    }
    isStopping = true;
    void stop().then(() => {
      flushLogs();
      process.exit(0);
    });
  };
  process.on('SIGTERM', handleSignal);
  process.on('SIGINT', handleSignal);
  return new Promise(() => undefined);
}

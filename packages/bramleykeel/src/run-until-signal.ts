/** Keeps a daemon running until it is told to stop. */
import { flushLogs } from '@bramleykeel/link';

const EXIT_CUT_SHORT = 3;

/**
 * Waits for SIGTERM or SIGINT, stops the daemon and exits. A second signal ends it at once.
 *
 * @example
 * await runUntilSignal(() => daemon.stop());
 */
export function runUntilSignal(stop: () => Promise<void>): Promise<never> {
  let isStopping = false;
  const handleSignal = (signal: string) => {
    if (isStopping) {
      process.stderr.write(`second ${signal}: stopping at once, running requests are cut\n`);
      process.exit(EXIT_CUT_SHORT);
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

/** Logs: short sentences with a fixed prefix for each part, switched on with the DEBUG variable. */
import debug from 'debug';

export type Log = (message: string) => void;

/**
 * Creates the log of one part, shown as `bramleykeel:<part>`.
 *
 * @example
 * const log = createLog('owner');
 * log('primary answered again');
 */
export function createLog(part: string): Log {
  const write = debug(`bramleykeel:${part}`);
  return (message) => {
    write('%s', message);
  };
}

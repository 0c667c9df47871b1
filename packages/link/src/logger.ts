/**
 * Logging to standard output: one JSON object per line, with a short message and the fields that led to the logged
 * decision. Parts are enabled by name with the DEBUG variable.
 */
import debug from 'debug';
import { createLogWriter, type LogFields, type LogWriter } from './log-writer.js';

export type Log = (message: string, fields?: LogFields) => void;

let standardOutput: LogWriter | undefined;

/**
 * Creates the log function of one part, logged as `bramleykeel:<part>`. Logging never blocks. Returns a function
 * that does nothing if the part is not enabled.
 *
 * @example
 * const log = createLog('owner');
 * log('primary answered again', { server: 'i-1', silentMs: 420 });
 */
export function createLog(part: string): Log {
  const prefix = `bramleykeel:${part}`;
  if (!debug(prefix).enabled) return () => undefined;
  const writer = (standardOutput ??= createLogWriter(1));
  return (message, fields) => {
    writer.write(prefix, message, fields);
  };
}

/** Enables the logs of all parts, for a program that has no setting to select them. */
export function enableLogs(): void {
  debug.enable('bramleykeel:*');
}

/** Writes all buffered lines; to be called before the process exits. */
export function flushLogs(): void {
  standardOutput?.flush();
}

/**
 * Logs: one JSON object a line on standard output, a short sentence each, with what decided beside it.
 * Parts are switched on with the DEBUG variable, by their fixed prefixes.
 */
import debug from 'debug';
import { createLogWriter, type LogFields, type LogWriter } from './log-writer.js';

export type Log = (message: string, fields?: LogFields) => void;

let standardOutput: LogWriter | undefined;

/**
 * Creates the log of one part, shown as `bramleykeel:<part>`. Writing never waits.
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

/** Switches all parts on, for a program whose settings leave no choice. */
export function enableLogs(): void {
  debug.enable('bramleykeel:*');
}

/** Writes what waits, before the process ends. */
export function flushLogs(): void {
  standardOutput?.flush();
}

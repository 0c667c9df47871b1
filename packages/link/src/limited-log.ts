/** Limits how often a log line is written, for events that clients can cause at any rate. */
import type { Log } from './logger.js';

/** Shortest time between two lines with the same message, in milliseconds. */
const MIN_INTERVAL_MS = 1_000;

/**
 * Creates a log function that writes at most one line per second for each message. The field `omitted` of a line is
 * the number of lines with its message that were left out since the previous one. Messages must be constants, because
 * each is kept.
 *
 * @example
 * const limitedLog = limitLog(createLog('limits'));
 * limitedLog('connection refused', { open: 64 });
 */
export function limitLog(log: Log, now: () => number = () => performance.now()): Log {
  const lines = new Map<string, { writtenAtMs: number; omitted: number }>();
  return (message, fields) => {
    const nowMs = now();
    const line = lines.get(message);
    if (line && nowMs - line.writtenAtMs < MIN_INTERVAL_MS) {
      line.omitted += 1;
      return;
    }
    lines.set(message, { writtenAtMs: nowMs, omitted: 0 });
    log(message, { ...fields, omitted: line?.omitted ?? 0 });
  };
}

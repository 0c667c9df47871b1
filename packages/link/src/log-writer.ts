/** Writes log lines to a file descriptor: bounded, collected, and never waited for. */
import { destination, pino, stdTimeFunctions } from 'pino';

/** What a line says besides its sentence. Keys and secrets never go here. */
export type LogFields = Readonly<Record<string, string | number | boolean | null | undefined>>;

export interface LogWriter {
  readonly write: (part: string, message: string, fields?: LogFields) => void;
  /** Lines that were dropped since the start. */
  readonly droppedLines: () => number;
  /** Writes what waits now; the only call that may wait. */
  readonly flush: () => void;
}

export interface LogWriterLimits {
  /** What waits to be written; lines beyond it are dropped and counted. */
  readonly maxBufferedBytes: number;
  /** Lines are collected up to this size, so that writing costs one system call for many. */
  readonly minWriteBytes: number;
}

/** Some two thousand lines: more than an entry writes in a minute of the users' worst day. */
const DEFAULT_LIMITS: LogWriterLimits = { maxBufferedBytes: 512 * 1024, minWriteBytes: 4 * 1024 };
const FLUSH_EVERY_MS = 200;

/**
 * Creates a writer on an open descriptor.
 *
 * @example
 * const writer = createLogWriter(1);
 * writer.write('bramleykeel:owner', 'primary answered again', { server: 'i-1' });
 */
export function createLogWriter(fd: number, limits: LogWriterLimits = DEFAULT_LIMITS): LogWriter {
  const output = destination({
    fd,
    sync: false,
    minLength: limits.minWriteBytes,
    maxLength: limits.maxBufferedBytes,
  });
  const logger = pino({ base: null, timestamp: stdTimeFunctions.epochTime }, output);
  let droppedLines = 0;
  let reportedLines = 0;
  output.on('drop', () => {
    droppedLines += 1;
  });
  // Whoever read the output has gone: there is nobody left to tell.
  output.on('error', () => {
    droppedLines += 1;
  });
  setInterval(() => {
    reportDroppedLines();
    output.flush();
  }, FLUSH_EVERY_MS).unref();
  return {
    write: (part, message, fields) => {
      logger.info({ part, ...fields }, message);
    },
    droppedLines: () => droppedLines,
    flush: () => {
      try {
        output.flushSync();
      } catch {
        // The descriptor takes nothing more; the process ends without these lines.
        droppedLines += 1;
      }
    },
  };

  /** Says what is missing, as soon as there is room for that line itself. */
  function reportDroppedLines(): void {
    const total = droppedLines;
    if (total === reportedLines) return;
    const fields = { part: 'bramleykeel:log', count: total - reportedLines };
    logger.warn(fields, 'lines were dropped because they could not be written in time');
    if (droppedLines === total) reportedLines = total;
    droppedLines = total;
  }
}

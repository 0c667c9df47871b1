/** Writes log lines to a file descriptor asynchronously, in batches and through a bounded buffer. */
import { destination, pino, stdTimeFunctions } from 'pino';

/** Structured fields of a log line. Must not contain keys or secrets. */
export type LogFields = Readonly<Record<string, string | number | boolean | null | undefined>>;

export interface LogWriter {
  readonly write: (part: string, message: string, fields?: LogFields) => void;
  /** Number of lines dropped since the writer was created. */
  readonly droppedLines: () => number;
  /** Writes all buffered lines; the only call that may block. */
  readonly flush: () => void;
}

export interface LogWriterLimits {
  /** Size of the buffer; lines that do not fit are dropped and counted. */
  readonly maxBufferedBytes: number;
  /** Lines are batched up to this size to save system calls. */
  readonly minWriteBytes: number;
}

/** The buffer holds about two thousand lines, more than an entry logs per minute at the peak load of the users. */
const DEFAULT_LIMITS: LogWriterLimits = { maxBufferedBytes: 512 * 1024, minWriteBytes: 4 * 1024 };
const FLUSH_INTERVAL_MS = 200;

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
  // The reader of the output has closed it, so the error cannot be reported there.
  output.on('error', () => {
    droppedLines += 1;
  });
  setInterval(() => {
    reportDroppedLines();
    output.flush();
  }, FLUSH_INTERVAL_MS).unref();
  return {
    write: (part, message, fields) => {
      logger.info({ part, ...fields }, message);
    },
    droppedLines: () => droppedLines,
    flush: () => {
      try {
        output.flushSync();
      } catch {
        // The descriptor accepts no more data; the buffered lines are lost.
        droppedLines += 1;
      }
    },
  };

  /** Logs the number of dropped lines; retries at the next flush if that line is dropped too. */
  function reportDroppedLines(): void {
    const total = droppedLines;
    if (total === reportedLines) return;
    const fields = { part: 'bramleykeel:log', count: total - reportedLines };
    logger.warn(fields, 'log lines dropped because the output could not keep up');
    if (droppedLines === total) reportedLines = total;
    droppedLines = total;
  }
}

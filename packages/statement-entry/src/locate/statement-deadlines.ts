/** Until when a statement may start, and when its answer is due. */

/** Deadlines of a statement, by the monotonic clock. */
export interface StatementDeadlines {
  /** When the answer is due. */
  readonly deadlineMs: number;
  /** Latest time at which the statement may start on a server. */
  readonly startByMs: number;
}

/**
 * Deadlines of a statement that arrives now.
 *
 * @param waitShare fraction of its timeout that it may wait for a server; after that it is refused as not run, which
 * leaves the caller time to retry
 */
export function createStatementDeadlines(timeoutMs: number, waitShare: number): StatementDeadlines {
  const nowMs = performance.now();
  return { deadlineMs: nowMs + timeoutMs, startByMs: nowMs + timeoutMs * waitShare };
}

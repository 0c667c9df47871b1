/** Time-outs that expire only after input that has already arrived was read. */

/**
 * Calls `onExpired` after `timeoutMs`. When this process resumes after a stall, the event loop runs timers before
 * it reads sockets, so an answer may already be waiting in its socket: the callback is deferred until that input
 * was read.
 *
 * @returns a function that cancels the time-out; `onExpired` is not called afterwards
 * @example
 * const endDeadline = startInputDeadline(500, () => settle('overdue'));
 * socket.once('data', () => endDeadline());
 */
export function startInputDeadline(timeoutMs: number, onExpired: () => void): () => void {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    immediate = setImmediate(onExpired);
  }, timeoutMs);
  return () => {
    clearTimeout(timer);
    clearImmediate(immediate);
  };
}

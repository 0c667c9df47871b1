/** Deadlines of answers that count only once everything that has already arrived was read. */

/**
 * Calls `onOver` after `timeoutMs`. After a stall of this process timers run first, although an answer
 * may have waited in its socket for long: that input is read before the time is judged.
 *
 * @returns ends the deadline; nothing is called after that
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

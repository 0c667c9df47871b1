/**
 * What an owner remembers of statements, so that it can tell an entry whose link broke which of them have not started.
 * The owner promises to drop those: a delayed message must not start one that its caller was told has not run.
 */

/** Statements are remembered for one to two of these periods; the longest statement timeout is 2 s. In milliseconds. */
const PERIOD_MS = 5_000;

interface RecentKeys {
  current: Set<string>;
  former: Set<string>;
}

export interface StatementFates {
  readonly started: RecentKeys;
  readonly promised: RecentKeys;
  periodSinceMs: number;
}

export function createStatementFates(nowMs: number): StatementFates {
  const recentKeys = () => ({ current: new Set<string>(), former: new Set<string>() });
  return { started: recentKeys(), promised: recentKeys(), periodSinceMs: nowMs };
}

/**
 * Identifies a statement among those of all entries. Numbers are unique at an entry only; should two entries use the
 * same pair, the statement counts as started, which is the safe answer.
 */
export function fateKeyOf(number: number, tag: string): string {
  return `${number} ${tag}`;
}

/** Records that an order of the statement was sent to a target. */
export function recordStarted(fates: StatementFates, key: string, nowMs: number): void {
  rotate(fates, nowMs);
  fates.started.current.add(key);
}

/**
 * Promises that those of the statements that have not started never will.
 *
 * @returns the statements that have not started
 * @example
 * promiseNotStarted(fates, ['7 a', '8 b'], nowMs); // ['8 b'], if only 7 has started
 */
export function promiseNotStarted(
  fates: StatementFates,
  keys: readonly string[],
  nowMs: number,
): readonly string[] {
  rotate(fates, nowMs);
  const notStarted = keys.filter((key) => !isIn(fates.started, key));
  for (const key of notStarted) fates.promised.current.add(key);
  return notStarted;
}

/** Whether any statement has to be dropped if it arrives now; promises are rare. */
export function hasPromises({ promised }: StatementFates): boolean {
  return promised.current.size + promised.former.size > 0;
}

/** Whether a statement that arrives now has to be dropped. */
export function isPromisedNotToStart(fates: StatementFates, key: string): boolean {
  return hasPromises(fates) && isIn(fates.promised, key);
}

function isIn({ current, former }: RecentKeys, key: string): boolean {
  return current.has(key) || former.has(key);
}

function rotate(fates: StatementFates, nowMs: number): void {
  if (nowMs - fates.periodSinceMs < PERIOD_MS) return;
  fates.periodSinceMs = nowMs;
  for (const keys of [fates.started, fates.promised]) {
    keys.former = keys.current;
    keys.current = new Set();
  }
}

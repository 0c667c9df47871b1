/**
 * When a member writes a snapshot and drops the entries that it covers. All members reach the same index at the same
 * time, so that compacting during a burst of changes, such as the assignments after a loss of all entries, would hold up
 * a quorum.
 */

/** Time without new entries after which a member compacts its log, in milliseconds. */
const QUIET_MS = 1_000;
/** Multiple of the usual number of entries at which a member compacts even during a burst. */
const URGENT_FACTOR = 2;

/**
 * Returns whether a member has to compact its log now.
 *
 * @param entries number of applied entries since the last snapshot
 * @param everyEntries usual number of entries between snapshots
 * @param quietForMs time since an entry was last applied
 * @example
 * if (isCompactionDue(applied - snapshotIndex, 300, nowMs - lastAppliedMs)) compact();
 */
export function isCompactionDue(
  entries: number,
  everyEntries: number,
  quietForMs: number,
): boolean {
  if (entries >= everyEntries * URGENT_FACTOR) return true;
  return entries >= everyEntries && quietForMs >= QUIET_MS;
}

/**
 * Whether a replica may return that an owner has never heard of. A replica acknowledges commits from its start, and its first
 * announcement may be late or lost, so neither the record nor the announcements of a group are ever known to be complete. A
 * server that returns does so within a minute.
 */
import { latestPosition, type LogPosition, newestAcknowledged } from '@bramleykeel/core';
import type { StatementOwner } from './owner-state.js';

/**
 * A server of which nothing was heard for this long, in milliseconds, is taken to be lost for good. Until then a change of
 * primary may have to wait for the commits in its log.
 */
export const LOST_FOR_GOOD_MS = 60_000;

/** Whether an unknown replica may return that has commits which no known server has. */
export function mayHaveUnknownReplicas(owner: StatementOwner): boolean {
  // A group that loses commits by its settings gains nothing from the wait.
  const mayLoseCommits = owner.environment.groupSettings()?.isSynchronous === false;
  const isWithoutCommits = owner.isFirstOfGroup && owner.acknowledgedPositions === undefined;
  if (mayLoseCommits || isWithoutCommits) return false;
  return performance.now() - owner.lastLedMs < LOST_FOR_GOOD_MS;
}

/** The newest position up to which commits may be acknowledged; `undefined` if this owner cannot know it. */
export function newestAcknowledgedOf({
  acknowledgedPositions,
  acknowledgedBefore,
}: StatementOwner): LogPosition | undefined {
  if (!acknowledgedPositions) return acknowledgedBefore;
  const newest = newestAcknowledged(acknowledgedPositions);
  return acknowledgedBefore ? latestPosition(newest, acknowledgedBefore) : newest;
}

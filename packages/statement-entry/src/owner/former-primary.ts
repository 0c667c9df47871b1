/** Finds the primary that a former owner has led, which this owner has not verified. */
import type { LogPosition } from '@bramleykeel/core';
import type { ServerStatus } from '../target/server-control.js';
import type { ServerState, StatementOwner } from './owner-state.js';

/**
 * The primary that control has on record. While a promotion is unresolved it may be another server, so that none can be
 * taken for it.
 */
export function recordedPrimary(owner: StatementOwner): ServerState | undefined {
  const { primary, term, proposedTerm } = owner.environment.groupRecord();
  if (proposedTerm > term) return undefined;
  if (primary !== undefined) return owner.servers.get(primary);
  return [...owner.servers.values()].find(({ announcement }) => announcement.role === 'primary');
}

/**
 * The end of the log of a recorded primary that a former owner has told to give up its role, before it was lost in the change.
 * No other server has led since, so that this log has all commits that were acknowledged.
 *
 * @returns `undefined` if the primary has not answered as a replica, or is not the process that control has on record
 */
export function endOfDemotedPrimary(
  owner: StatementOwner,
  statuses: readonly ServerStatus[],
): { readonly server: ServerState; readonly position: LogPosition } | undefined {
  const { primary, term, proposedTerm, places } = owner.environment.groupRecord();
  if (primary === undefined || proposedTerm > term) return undefined;
  const found = statuses.find(({ server }) => server.announcement.server === primary);
  if (found?.status.role !== 'replica') return undefined;
  const recorded = places?.find(({ server }) => server === primary);
  const { bornMs } = found.server.announcement;
  if (recorded?.bornMs === undefined || recorded.bornMs !== bornMs) return undefined;
  return { server: found.server, position: found.status.position };
}

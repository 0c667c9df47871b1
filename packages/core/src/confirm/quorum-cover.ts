/** Quorum cover of writes: a write is acknowledged once most servers of its group hold it. */
import type { GroupView } from '../route/server-view.js';
import type { ServerName } from '../types/ids.js';
import { coversMark, type LogPosition } from '../types/position.js';

export interface CoverContext {
  readonly view: GroupView;
  /** All servers of the group that control has recorded, reachable or not. */
  readonly members: readonly ServerName[];
  readonly primary: ServerName | undefined;
  readonly term: number;
}

/** Number of servers that must hold a write. */
export function coverQuorum(memberCount: number): number {
  return Math.floor(memberCount / 2) + 1;
}

/**
 * Tells whether a write that ended at `mark` is held by a quorum. The primary counts through its own
 * answer; a replica counts through what it announced in the same term.
 *
 * @example
 * isCovered({ term: 1, offset: 7 }, context);
 */
export function isCovered(mark: LogPosition, context: CoverContext): boolean {
  let holders = 1;
  for (const member of context.members) {
    if (member === context.primary) continue;
    const announcement = context.view.servers.get(member)?.announcement;
    if (announcement?.term !== context.term) continue;
    if (coversMark(announcement.position, mark)) holders += 1;
  }
  return holders >= coverQuorum(context.members.length);
}

export type ConfirmVerdict = 'acknowledge' | 'wait' | 'superseded' | 'not-covered';

export interface PendingWrite {
  readonly mark: LogPosition;
  readonly term: number;
  readonly deadlineMs: number;
  readonly needsQuorum: boolean;
}

export interface ConfirmContext extends CoverContext {
  readonly nowMs: number;
  readonly holdsLease: boolean;
  /** The highest term that control or a target is known to have moved to. */
  readonly highestTerm: number;
}

/**
 * Decides on the acknowledgement of a write whose answer has come: only under a lease that still
 * holds now, in the term the write ran in, and with the cover that the group's settings ask for.
 */
export function confirmWrite(write: PendingWrite, context: ConfirmContext): ConfirmVerdict {
  if (!context.holdsLease) return 'superseded';
  if (context.term !== write.term || context.highestTerm > write.term) return 'superseded';
  if (write.mark.term !== write.term) return 'superseded';
  if (!write.needsQuorum || isCovered(write.mark, context)) return 'acknowledge';
  return context.nowMs >= write.deadlineMs ? 'not-covered' : 'wait';
}

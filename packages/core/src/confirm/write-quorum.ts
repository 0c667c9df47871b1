/** Quorum acknowledgement: a write is acknowledged once a majority of the group's servers have it. */
import type { GroupView } from '../route/server-view.js';
import type { ServerName } from '../types/ids.js';
import { coversMark, type LogPosition } from '../types/position.js';

export interface QuorumContext {
  readonly view: GroupView;
  /** All servers of the group that control has recorded, reachable or not. */
  readonly members: readonly ServerName[];
  readonly primary: ServerName | undefined;
  readonly term: number;
}

/** Number of servers that must have a write before it is acknowledged. */
export function writeQuorumSize(memberCount: number): number {
  return Math.floor(memberCount / 2) + 1;
}

/**
 * Returns whether a quorum has the write that ended at `mark`. The primary always counts because it
 * answered the write; a replica counts if it announced a covering position in the same term.
 *
 * @example
 * isHeldByQuorum({ term: 1, offset: 7 }, context);
 */
export function isHeldByQuorum(mark: LogPosition, context: QuorumContext): boolean {
  let holders = 1;
  for (const member of context.members) {
    if (member === context.primary) continue;
    const announcement = context.view.servers.get(member)?.announcement;
    if (announcement?.term !== context.term) continue;
    if (coversMark(announcement.position, mark)) holders += 1;
  }
  return holders >= writeQuorumSize(context.members.length);
}

export type ConfirmDecision = 'acknowledge' | 'wait' | 'superseded' | 'not-covered';

export interface PendingWrite {
  readonly mark: LogPosition;
  readonly term: number;
  readonly deadlineMs: number;
  readonly needsQuorum: boolean;
}

export interface ConfirmContext extends QuorumContext {
  readonly nowMs: number;
  readonly holdsLease: boolean;
  /** The highest term known from control or from a target. */
  readonly highestTerm: number;
}

/**
 * Decides whether a write that the primary has answered may be acknowledged to the caller. This
 * requires a lease that is still valid, the term in which the write ran, and a quorum if the group's
 * settings ask for one.
 */
export function confirmWrite(write: PendingWrite, context: ConfirmContext): ConfirmDecision {
  if (!context.holdsLease) return 'superseded';
  if (context.term !== write.term || context.highestTerm > write.term) return 'superseded';
  if (write.mark.term !== write.term) return 'superseded';
  if (!write.needsQuorum || isHeldByQuorum(write.mark, context)) return 'acknowledge';
  return context.nowMs >= write.deadlineMs ? 'not-covered' : 'wait';
}

/**
 * Whether another server may join the members of a group. Each quorum of the larger group has to meet the servers that hold an
 * acknowledged write. A quorum of an odd number of members would miss writes that counted before the last member joined
 * unless a quorum of the present members has caught up with them.
 *
 * @param heldBefore a position that covers all that was acknowledged before the last member joined; `undefined` if none is known
 *
 * @example
 * if (mayAddMember(owner.membership.mark, context)) propose({ kind: 'group/observe', ... });
 */
export function mayAddMember(heldBefore: LogPosition | undefined, context: QuorumContext): boolean {
  const { members, primary } = context;
  if (primary === undefined || members.length % 2 === 1) return true;
  return heldBefore !== undefined && isHeldByQuorum(heldBefore, context);
}

/**
 * The rule that keeps acknowledged commits when the primary of a group changes.
 *
 * A primary acknowledges a commit once one replica has received it, and callers learn of it only through the owner
 * of the group. So every commit that a caller may have as done is in the log of the primary and of a replica, and:
 *
 * 1. A server may be promoted only if it holds all of them (`chooseSuccessor`). That is known if its log reaches
 *    - the newest position that the owner knows to be acknowledged, which covers former owners too,
 *    - or the end of the log of the primary, once that has given up its role,
 *    - or the end of the longest log among all replicas that may have received a commit that no other one has. None of
 *      these may still acknowledge commits: each has to be fenced. While a replica may return that the owner has never heard
 *      of, no log is known to be the longest of all.
 * 2. A replica that left, restarted or was removed still counts among them, until another one is known to have
 *    received what it had (`Coverage`). So does one that the owner cannot reach, and what a primary had at its start until
 *    a replica is known to have it; the owner records that, because the next one cannot tell.
 * 3. Once a successor is chosen, the owner passes on no acknowledgement of a commit that the successor lacks, and
 *    without its lease none at all (`mayAcknowledge`).
 *
 * If no server qualifies, the group waits for those that may return with the missing commits. Servers that are
 * known to have ended, and those that the owner has removed after a long silence, are not waited for.
 */
import type { LeaderPlacement } from '../placement/leader-placement.js';
import type { ServerName } from '../types/ids.js';
import { comparePositions, coversMark, type LogPosition } from '../types/position.js';

/** A server's answer to the command that stops it from acknowledging further commits. */
export interface FencedServer {
  readonly server: ServerName;
  /** End of the log that it has received. */
  readonly position: LogPosition;
  readonly isLeaving: boolean;
  /** Whether it was the primary until it gave up its role in this change. */
  readonly wasPrimary: boolean;
  readonly placement: LeaderPlacement;
}

export interface SuccessorContext {
  readonly fenced: readonly FencedServer[];
  /** Replicas of the group that are not fenced, so they may hold or still acknowledge further commits. */
  readonly unfenced: readonly ServerName[];
  /** Whether the former primary is out of reach but may return with its log. */
  readonly mayPrimaryReturn: boolean;
  /** Whether a replica that is gone may have received commits that no other replica has. */
  readonly hasUncoveredCommits: boolean;
  /** Whether a replica may return that the owner has never heard of, with commits that no known server has. */
  readonly mayHaveUnknownReplicas: boolean;
  /** Position up to which commits may be acknowledged; `undefined` if the owner does not know it. */
  readonly acknowledged: LogPosition | undefined;
  /** Whether the primary still leads and is replaced as planned; servers are not fenced then. */
  readonly isPlanned: boolean;
}

/** Why a successor holds all acknowledged commits, or that nobody else can have them any more. */
export type SuccessorGround =
  | 'reaches-acknowledged'
  | 'reaches-former-primary'
  | 'longest-of-all'
  | 'is-former-primary'
  | 'others-are-lost';

export type SuccessorChoice =
  | {
      readonly kind: 'promote';
      readonly server: ServerName;
      readonly position: LogPosition;
      readonly ground: SuccessorGround;
    }
  | {
      readonly kind: 'wait';
      readonly reason:
        | 'no-candidate'
        | 'behind-acknowledged'
        | 'replica-may-acknowledge'
        | 'replica-may-be-unknown';
    };

/** Places of a successor, best first. */
const PLACEMENTS = ['suitable', 'outside-homes', 'evacuated'] as const;

/**
 * Chooses the successor, or returns the reason to wait. A server whose zone suits the primary is preferred to one with a
 * longer log if it is known to hold all acknowledged commits; otherwise the log decides alone.
 *
 * @example
 * const choice = chooseSuccessor({ ...context, acknowledged: { term: 2, offset: 10 } });
 * if (choice.kind === 'promote') await orderPromotion(owner, choice.server);
 */
export function chooseSuccessor(context: SuccessorContext): SuccessorChoice {
  const { fenced, unfenced, acknowledged, isPlanned } = context;
  const demoted = fenced.find(({ wasPrimary }) => wasPrimary);
  const candidates = fenced.filter(({ wasPrimary }) => !wasPrimary);
  const best = longestLog(candidates);
  for (const placement of PLACEMENTS) {
    const placed = longestLog(candidates.filter((server) => server.placement === placement));
    const isLongest = placed && best && comparePositions(placed.position, best.position) === 0;
    const ground = placed && groundFor(placed, isLongest === true, demoted, context);
    if (ground) return promote(placed, ground);
  }
  if (isPlanned) return { kind: 'wait', reason: best ? 'behind-acknowledged' : 'no-candidate' };
  if (demoted && (!acknowledged || coversMark(demoted.position, acknowledged)))
    return promote(demoted, 'is-former-primary');
  if (!best) return { kind: 'wait', reason: 'no-candidate' };
  if (unfenced.length > 0)
    return {
      kind: 'wait',
      reason: acknowledged ? 'behind-acknowledged' : 'replica-may-acknowledge',
    };
  if (context.mayHaveUnknownReplicas) return { kind: 'wait', reason: 'replica-may-be-unknown' };
  if (!demoted && !context.mayPrimaryReturn) return promote(best, 'others-are-lost');
  return { kind: 'wait', reason: 'behind-acknowledged' };
}

function promote({ server, position }: FencedServer, ground: SuccessorGround): SuccessorChoice {
  return { kind: 'promote', server, position, ground };
}

function groundFor(
  { position }: FencedServer,
  isLongest: boolean,
  demoted: FencedServer | undefined,
  context: SuccessorContext,
): SuccessorGround | undefined {
  const { acknowledged, unfenced, hasUncoveredCommits, isPlanned } = context;
  if (acknowledged && coversMark(position, acknowledged)) return 'reaches-acknowledged';
  if (isPlanned) return undefined;
  if (demoted && coversMark(position, demoted.position)) return 'reaches-former-primary';
  const areAllFenced = !context.mayHaveUnknownReplicas && unfenced.length === 0;
  const isLongestOfAll = isLongest && areAllFenced && !hasUncoveredCommits;
  return isLongestOfAll ? 'longest-of-all' : undefined;
}

/** Prefers the longest log, then servers that are not leaving, then the lowest name. */
function longestLog(servers: readonly FencedServer[]): FencedServer | undefined {
  return [...servers].sort(
    (left, right) =>
      comparePositions(right.position, left.position) ||
      Number(left.isLeaving) - Number(right.isLeaving) ||
      (left.server < right.server ? -1 : 1),
  )[0];
}

/** An acknowledgement of a commit that an owner has received from a server. */
export interface ReceivedAcknowledgement {
  readonly holdsLease: boolean;
  /** Whether the server is the group's verified primary, or was it when a change began that has no successor yet. */
  readonly isFromPrimary: boolean;
  /** Log position of the server after the commit; `null` if it reported none. */
  readonly position: LogPosition | null;
  /**
   * What the chosen successor, or the primary that replaced the server, held when it was chosen; `undefined` if the commit
   * was sent before the leadership that was replaced.
   */
  readonly successorPosition: LogPosition | undefined;
}

/**
 * Whether an owner may pass on the acknowledgement of a commit; if not, its outcome is unknown.
 *
 * @example
 * const isKept = mayAcknowledge({ holdsLease, isFromPrimary, position, successorPosition });
 */
export function mayAcknowledge(received: ReceivedAcknowledgement): boolean {
  const { holdsLease, isFromPrimary, position, successorPosition } = received;
  if (!holdsLease) return false;
  if (isFromPrimary) return true;
  return (
    position !== null && successorPosition !== undefined && coversMark(successorPosition, position)
  );
}

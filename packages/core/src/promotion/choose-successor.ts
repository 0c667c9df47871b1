/**
 * Chooses the next primary of a group whose promotions are carried out by the platform. A commit is
 * acknowledged once one replica has received it. Once no replica can acknowledge further commits, the
 * longest log among them therefore contains every acknowledged commit.
 */
import type { ServerName } from '../types/ids.js';
import { comparePositions, coversMark, type LogPosition } from '../types/position.js';

/** A server's answer to the command that stops it from acknowledging further commits. */
export interface FencedServer {
  readonly server: ServerName;
  readonly position: LogPosition;
  readonly isLeaving: boolean;
  /** Whether this is the former primary, which has given up its role. */
  readonly wasPrimary: boolean;
}

export interface SuccessorContext {
  readonly fenced: readonly FencedServer[];
  /** Known replicas that are neither fenced nor confirmed gone, so they may still acknowledge commits. */
  readonly unfenced: readonly ServerName[];
  /** The newest position that the owner has recorded as acknowledged. */
  readonly acknowledged: LogPosition;
  /** Whether writes stopped before the change, so that replicas reach the acknowledged position. */
  readonly hasStoppedWrites: boolean;
  /** How long the unfenced replicas have been unreachable, in milliseconds. */
  readonly unfencedSilentMs: number;
}

export type SuccessorChoice =
  | { readonly kind: 'promote'; readonly server: ServerName }
  | {
      readonly kind: 'wait';
      readonly reason: 'no-candidate' | 'behind-acknowledged' | 'replica-may-acknowledge';
    };

/**
 * A replica that has been unreachable for this long before the primary was lost cannot have taken part
 * in the last acknowledgements that reached callers, in milliseconds.
 */
const UNFENCED_TIMEOUT_MS = 3_000;

/**
 * Chooses the successor, or returns the reason to wait.
 *
 * @example
 * chooseSuccessor({ fenced, unfenced, acknowledged, hasStoppedWrites: false, unfencedSilentMs: 0 });
 */
export function chooseSuccessor(context: SuccessorContext): SuccessorChoice {
  const { fenced, unfenced, acknowledged, unfencedSilentMs, hasStoppedWrites } = context;
  const demoted = fenced.find(({ wasPrimary }) => wasPrimary);
  const candidates = fenced
    .filter(({ wasPrimary }) => !wasPrimary)
    .sort(
      (left, right) =>
        comparePositions(right.position, left.position) ||
        Number(left.isLeaving) - Number(right.isLeaving) ||
        (left.server < right.server ? -1 : 1),
    );
  const [best] = candidates;
  // A demoted primary acknowledges no further commits, even if unfenced replicas could receive them.
  const hasStoppedAcknowledging = unfenced.length === 0 || demoted !== undefined;
  const hasAcknowledged = best !== undefined && coversMark(best.position, acknowledged);
  if (best && hasAcknowledged) {
    if (hasStoppedAcknowledging || unfencedSilentMs >= UNFENCED_TIMEOUT_MS) {
      return { kind: 'promote', server: best.server };
    }
    return { kind: 'wait', reason: 'replica-may-acknowledge' };
  }
  // With every replica fenced, the longest log contains everything that a replica has acknowledged. A
  // newer position recorded by the owner was the end of the primary's own log, not an acknowledgement.
  if (best && unfenced.length === 0 && !hasStoppedWrites && !demoted) {
    return { kind: 'promote', server: best.server };
  }
  // No replica has every acknowledged commit; the former primary has, if it is reachable.
  if (demoted && coversMark(demoted.position, acknowledged)) {
    return { kind: 'promote', server: demoted.server };
  }
  return { kind: 'wait', reason: best ? 'behind-acknowledged' : 'no-candidate' };
}

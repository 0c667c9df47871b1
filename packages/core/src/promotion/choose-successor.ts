/**
 * Which server may take over as primary of a group whose platform carries out promotions. A commit
 * counts as acknowledged once one replica has received it, so a log that every acknowledged commit
 * must be in is the longest one among the replicas that can no longer acknowledge anything.
 */
import type { ServerName } from '../types/ids.js';
import { comparePositions, coversMark, type LogPosition } from '../types/position.js';

/** What a server has answered to the order that keeps it from acknowledging further commits. */
export interface FencedServer {
  readonly server: ServerName;
  readonly position: LogPosition;
  readonly isLeaving: boolean;
  /** The primary itself, which has given up its role. */
  readonly wasPrimary: boolean;
}

export interface SuccessorContext {
  readonly fenced: readonly FencedServer[];
  /** Replicas that might still acknowledge commits: known, not fenced, not proven gone. */
  readonly unfenced: readonly ServerName[];
  /** The newest position that the owner has seen acknowledged. */
  readonly acknowledged: LogPosition;
  /** Whether nothing was written any more, so that replicas catch up with all that was acknowledged. */
  readonly isQuiet: boolean;
  /** How long the unfenced replicas have been out of reach, in milliseconds. */
  readonly unfencedSilentMs: number;
}

export type SuccessorChoice =
  | { readonly kind: 'promote'; readonly server: ServerName }
  | {
      readonly kind: 'wait';
      readonly reason: 'no-candidate' | 'behind-acknowledged' | 'replica-may-acknowledge';
    };

/**
 * A replica out of reach for this long before the primary was lost had no part in the primary's
 * last acknowledgements that reached callers, in milliseconds.
 */
const UNFENCED_PATIENCE_MS = 3_000;

/**
 * Chooses the successor, or says what has to be waited for.
 *
 * @example
 * chooseSuccessor({ fenced, unfenced: [], acknowledged, unfencedSilentMs: 0 });
 */
export function chooseSuccessor(context: SuccessorContext): SuccessorChoice {
  const { fenced, unfenced, acknowledged, unfencedSilentMs, isQuiet } = context;
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
  // A primary that gave up its role acknowledges nothing more, whatever the others could receive.
  const isSettled = unfenced.length === 0 || demoted !== undefined;
  const hasAcknowledged = best !== undefined && coversMark(best.position, acknowledged);
  if (best && hasAcknowledged) {
    if (isSettled || unfencedSilentMs >= UNFENCED_PATIENCE_MS) {
      return { kind: 'promote', server: best.server };
    }
    return { kind: 'wait', reason: 'replica-may-acknowledge' };
  }
  // With every replica fenced, the longest log holds all that any of them can have acknowledged. What
  // the owner saw beyond it was the end of the primary's own log, not an acknowledgement.
  if (best && unfenced.length === 0 && !isQuiet && !demoted) {
    return { kind: 'promote', server: best.server };
  }
  // No replica has everything: the old primary itself does, if it is in reach.
  if (demoted && coversMark(demoted.position, acknowledged)) {
    return { kind: 'promote', server: demoted.server };
  }
  return { kind: 'wait', reason: best ? 'behind-acknowledged' : 'no-candidate' };
}

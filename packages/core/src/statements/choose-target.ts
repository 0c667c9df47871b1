/** Which server of a group runs a statement now. */
import type { ServerName } from '../types/ids.js';
import { coversMark, type LogPosition } from '../types/position.js';

/** What the owner knows about one server when it chooses. */
export interface TargetView {
  readonly server: ServerName;
  readonly isPrimary: boolean;
  readonly isLeaving: boolean;
  /** Whether connections to it work as far as is known. */
  readonly isUsable: boolean;
  readonly isNear: boolean;
  readonly freeSlots: number;
  /** The newest position that it has reported. */
  readonly position: LogPosition;
  /** A replica that refused a position lately is not asked for as new a one again at once. */
  readonly laggingUntilMs: number;
}

export interface TargetNeed {
  readonly mustBePrimary: boolean;
  /** Set for reads: the position that the server's log has to contain. */
  readonly owed: LogPosition;
  /** When the owed position was acknowledged. */
  readonly owedSinceMs: number;
  /** Whether replicas may be asked for positions that they have not reported yet. */
  readonly mayGuess: boolean;
}

/** A replica usually has what was acknowledged this long ago, in milliseconds. */
const USUAL_LAG_MS = 150;

/**
 * Chooses a server with a free slot: the primary while it has slots to spare, else a replica that has
 * the owed position, or is likely to. `undefined` when the statement has to wait.
 */
export function chooseTarget(
  servers: readonly TargetView[],
  need: TargetNeed,
  nowMs: number,
): ServerName | undefined {
  const free = servers.filter(({ isUsable, freeSlots }) => isUsable && freeSlots > 0);
  const primary = free.find(({ isPrimary }) => isPrimary);
  if (need.mustBePrimary) return primary?.server;
  const replicas = free
    .filter((server) => !server.isPrimary && !server.isLeaving && hasOwed(server, need, nowMs))
    .sort(
      (left, right) =>
        Number(right.isNear) - Number(left.isNear) || right.freeSlots - left.freeSlots,
    );
  if (primary && primary.freeSlots > 1) return primary.server;
  return replicas[0]?.server ?? primary?.server;
}

function hasOwed(server: TargetView, need: TargetNeed, nowMs: number): boolean {
  if (coversMark(server.position, need.owed)) return true;
  if (!need.mayGuess || nowMs < server.laggingUntilMs) return false;
  return nowMs - need.owedSinceMs >= USUAL_LAG_MS;
}

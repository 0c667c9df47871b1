/** Chooses the server of a group that runs a statement. */
import { chooseLeastDelay, expectedDelays, type LoadCandidate } from '../route/even-load.js';
import type { OtherStatements } from '../route/server-load.js';
import type { CustomerName, ServerName } from '../types/ids.js';
import { coversMark, type LogPosition } from '../types/position.js';

/** What the owner knows about a server. */
export interface TargetView {
  readonly server: ServerName;
  readonly isPrimary: boolean;
  readonly isLeaving: boolean;
  /** Whether connections to the server are believed to work. */
  readonly isUsable: boolean;
  readonly isInSameRegion: boolean;
  /** Whether it takes this read, as far as its health is concerned; writes have no alternative. */
  readonly takesRead: boolean;
  readonly freeSlots: number;
  /** Statements of the owner on the server. */
  readonly runningCount: number;
  /** Statements of the reader in the server's region, as it last reported them. */
  readonly others: OtherStatements | undefined;
  /** Measured service time of reads; `undefined` before the first answer. */
  readonly serviceMs: number | undefined;
  /** Customers that have an idle connection to the server; opening another one occupies a slot. */
  readonly connectedCustomers: Pick<ReadonlySet<CustomerName>, 'has'>;
  /** The newest log position that the server has reported. */
  readonly position: LogPosition;
  /** Time until which a replica that refused a read as lagging is not assumed to have caught up. */
  readonly laggingUntilMs: number;
}

export interface TargetRequirements {
  readonly customer: CustomerName;
  readonly mustBePrimary: boolean;
  /** For reads: the position that the server's log must have reached. */
  readonly requiredPosition: LogPosition;
  /** When the required position was acknowledged. */
  readonly requiredSinceMs: number;
  /** Whether a replica may be assumed to have a position that it has not reported yet. */
  readonly mayAssumeCaughtUp: boolean;
}

/** A read goes to the primary instead of a replica if its work per slot is below this fraction of the replica's. */
const CLEARLY_LESS_WORK = 0.7;
/** Replicas usually have commits that were acknowledged at least this long ago, in milliseconds. */
const TYPICAL_LAG_MS = 150;

/** Why a server is not given a statement. */
export type TargetExclusion =
  | 'unusable'
  | 'no-free-slot'
  | 'only-the-primary-runs-it'
  | 'leaving'
  | 'set-aside'
  | 'behind-required-position';

/**
 * Chooses a server with a free slot. A read goes to a replica that has, or probably has, the required position:
 * to those to which the customer has a connection, then to those in the same region, and among these by the least
 * expected delay. It goes to the primary if no replica may run it, if that has clearly less work or is nearer, or if
 * it has a connection there alone; the primary's last free slot stays available to writes except in the first and
 * the last case. Returns `undefined` if the statement has to wait.
 *
 * @param randomUnit a random number in [0, 1), which decides between servers with nearly the same delay
 */
export function chooseTarget(
  servers: readonly TargetView[],
  requirements: TargetRequirements,
  nowMs: number,
  randomUnit: number,
): ServerName | undefined {
  const candidates = candidateTargets(servers, requirements, nowMs).map(loadCandidateOf);
  return chooseLeastDelay(candidates, nowMs, randomUnit)?.server;
}

/** The servers among which the least expected delay decides; none if the statement has to wait. */
export function candidateTargets(
  servers: readonly TargetView[],
  requirements: TargetRequirements,
  nowMs: number,
): readonly TargetView[] {
  const primary = servers.find(
    (server) => server.isPrimary && server.isUsable && server.freeSlots > 0,
  );
  const onlyPrimary = primary ? [primary] : [];
  const eligible = servers.filter(
    (server) => !server.isPrimary && targetExclusion(server, requirements, nowMs) === undefined,
  );
  const rankOf = ({ connectedCustomers, isInSameRegion }: TargetView) =>
    2 * Number(connectedCustomers.has(requirements.customer)) + Number(isInSameRegion);
  const bestRank = Math.max(...eligible.map(rankOf));
  const replicas = eligible.filter((server) => rankOf(server) === bestRank);
  if (replicas.length === 0) return onlyPrimary;
  const isPreferred =
    primary?.takesRead === true && isPrimaryPreferred(primary, replicas, requirements, nowMs);
  return isPreferred ? onlyPrimary : replicas;
}

/**
 * Why a server may not run a statement now; `undefined` if it may. A primary that is set aside for reads may run
 * those that no replica may run, so that it is not excluded.
 *
 * @example
 * targetExclusion(view, requirements, performance.now()); // 'no-free-slot'
 */
export function targetExclusion(
  server: TargetView,
  requirements: TargetRequirements,
  nowMs: number,
): TargetExclusion | undefined {
  if (!server.isUsable) return 'unusable';
  if (requirements.mustBePrimary && !server.isPrimary) return 'only-the-primary-runs-it';
  if (server.freeSlots <= 0) return 'no-free-slot';
  if (server.isPrimary) return undefined;
  if (server.isLeaving) return 'leaving';
  if (!server.takesRead) return 'set-aside';
  return hasRequiredPosition(server, requirements, nowMs) ? undefined : 'behind-required-position';
}

/** Whether a read goes to the primary although replicas, equal in connection and region, could run it. */
function isPrimaryPreferred(
  primary: TargetView,
  replicas: readonly TargetView[],
  { customer }: TargetRequirements,
  nowMs: number,
): boolean {
  const isConnected = ({ connectedCustomers }: TargetView) => connectedCustomers.has(customer);
  const [replica] = replicas;
  if (!replica || (isConnected(primary) && !isConnected(replica))) return true;
  if (primary.freeSlots <= 1) return false;
  if (primary.isInSameRegion !== replica.isInSameRegion) return primary.isInSameRegion;
  if (isConnected(primary) !== isConnected(replica)) return false;
  const delays = expectedDelays([primary, ...replicas].map(loadCandidateOf), nowMs);
  const [primaryWorkMs = 0, ...replicaWorksMs] = delays.map(({ workMs }) => workMs);
  return primaryWorkMs < CLEARLY_LESS_WORK * Math.min(...replicaWorksMs);
}

/** What the choice by least expected delay takes of a server. */
export function loadCandidateOf(view: TargetView): LoadCandidate & Pick<TargetView, 'server'> {
  const { server, freeSlots, runningCount, others, serviceMs } = view;
  const slots = freeSlots + runningCount;
  return { server, slots, running: runningCount, others, serviceMs, extraMs: 0 };
}

function hasRequiredPosition(
  server: TargetView,
  requirements: TargetRequirements,
  nowMs: number,
): boolean {
  if (coversMark(server.position, requirements.requiredPosition)) return true;
  if (!requirements.mayAssumeCaughtUp || nowMs < server.laggingUntilMs) return false;
  return nowMs - requirements.requiredSinceMs >= TYPICAL_LAG_MS;
}

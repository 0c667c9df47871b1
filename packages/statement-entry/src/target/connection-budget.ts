/** How a server's bound on connections is shared by its owner, near readers, and a former owner. */
import type { OwnerEnvironment, ServerState, StatementOwner } from '../owner/owner-state.js';

/** Connections left free for an earlier owner that has not let go of all of its own. */
const RESERVED_CONNECTIONS = 3;
const DEFAULT_MAX_CONNECTIONS = 20;
/** Share of a server's connections for the entries that read near it. */
const NEAR_SHARE = 0.5;
/**
 * Part of the rest that is kept for an owner that follows on another: a former owner that is frozen keeps
 * what it has open until it thaws, and the server counts that too. At least a quarter, and enough to keep
 * the slots busy beside transactions that rest; at most half.
 */
const FOLLOWER_SHARE = 0.25;
const FOLLOWER_MAX_SHARE = 0.5;
const FOLLOWER_PER_SLOT = 2.5;
const FOLLOWER_RESTING = 3;
/** The users' freezes and cuts last 3 to 8 s; then a former owner has thawed, or its connections are gone. */
const FORMER_OWNER_MS = 10_000;

/** Connections to one server that owner and near readers may have open together. */
function sharedConnections(environment: OwnerEnvironment): number {
  const cap = environment.groupSettings()?.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
  return Math.max(1, cap - RESERVED_CONNECTIONS);
}

/** Connections to one server that the entries near it may have open together. */
export function nearConnections(environment: OwnerEnvironment): number {
  return sharedConnections(environment) * NEAR_SHARE;
}

export type OwnConnectionsContext = Pick<
  StatementOwner,
  'environment' | 'nearReaders' | 'startedAtMs' | 'epoch'
>;

/**
 * Connections to one server that an owner may have open, idle ones included.
 *
 * @example
 * const most = ownConnections({ environment, nearReaders, startedAtMs, epoch }, server);
 */
export function ownConnections(
  { environment, nearReaders, startedAtMs, epoch }: OwnConnectionsContext,
  { announcement }: ServerState,
): number {
  const { regionOf } = environment;
  const region = regionOf(announcement.zone);
  const isShared = [...nearReaders.values()].some(({ zone }) => regionOf(zone) === region);
  const shared = sharedConnections(environment) * (isShared ? 1 - NEAR_SHARE : 1);
  const needed = FOLLOWER_PER_SLOT * announcement.slots + FOLLOWER_RESTING;
  const follower = Math.min(shared * FOLLOWER_MAX_SHARE, Math.max(shared * FOLLOWER_SHARE, needed));
  const hasFormer = epoch > 1 && performance.now() - startedAtMs < FORMER_OWNER_MS;
  return Math.max(1, Math.floor(hasFormer ? follower : shared - follower));
}

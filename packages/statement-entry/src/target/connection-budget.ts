/** Divides a server's connection limit between its owner, near readers, and a former or successor owner. */
import type { OwnerEnvironment, ServerState, StatementOwner } from '../owner/owner-state.js';

/** Connections left free for a former owner that has not closed all of its connections. */
const RESERVED_CONNECTIONS = 3;
const DEFAULT_MAX_CONNECTIONS = 20;
/** Share of a server's connections for entries that read from nearby replicas. */
const NEAR_SHARE = 0.5;
/**
 * Share of the remaining connections that is reserved for a successor of the owner: while a former owner's
 * process is frozen, its connections stay open and count towards the server's limit. The reserve is at
 * least a quarter, enough to keep all slots busy in addition to idle transactions, and at most half.
 */
const SUCCESSOR_SHARE = 0.25;
const SUCCESSOR_MAX_SHARE = 0.5;
const SUCCESSOR_CONNECTIONS_PER_SLOT = 2.5;
const SUCCESSOR_IDLE_TRANSACTIONS = 3;
/**
 * Time during which a former owner may still hold connections, in milliseconds. Process freezes and network
 * partitions at the users' site last 3 to 8 s; after that it has resumed, or its connections are closed.
 */
const FORMER_OWNER_CONNECTIONS_MS = 10_000;

/** Maximum number of open connections to one server, of the owner and near readers together. */
function sharedConnections(environment: OwnerEnvironment): number {
  const maxConnections = environment.groupSettings()?.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
  return Math.max(1, maxConnections - RESERVED_CONNECTIONS);
}

/** Maximum number of open connections to one server, of all near readers together. */
export function maxNearConnections(environment: OwnerEnvironment): number {
  return sharedConnections(environment) * NEAR_SHARE;
}

export type OwnerConnectionsContext = Pick<
  StatementOwner,
  'environment' | 'nearReaders' | 'startedAtMs' | 'epoch'
>;

/**
 * Maximum number of open connections of an owner to one server, including idle ones.
 *
 * @example
 * const limit = maxOwnerConnections({ environment, nearReaders, startedAtMs, epoch }, server);
 */
export function maxOwnerConnections(
  { environment, nearReaders, startedAtMs, epoch }: OwnerConnectionsContext,
  { announcement }: ServerState,
): number {
  const { regionOf } = environment;
  const region = regionOf(announcement.zone);
  const hasNearReaders = [...nearReaders.values()].some(({ zone }) => regionOf(zone) === region);
  const shared = sharedConnections(environment) * (hasNearReaders ? 1 - NEAR_SHARE : 1);
  const neededConnections =
    SUCCESSOR_CONNECTIONS_PER_SLOT * announcement.slots + SUCCESSOR_IDLE_TRANSACTIONS;
  const successorConnections = Math.min(
    shared * SUCCESSOR_MAX_SHARE,
    Math.max(shared * SUCCESSOR_SHARE, neededConnections),
  );
  const mayHaveFormerOwner =
    epoch > 1 && performance.now() - startedAtMs < FORMER_OWNER_CONNECTIONS_MS;
  return Math.max(
    1,
    Math.floor(mayHaveFormerOwner ? successorConnections : shared - successorConnections),
  );
}

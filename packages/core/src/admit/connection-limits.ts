/**
 * Division of a server's connection limit. A server counts the connections of all callers together, and those of a
 * frozen process stay open until it resumes. Each part of the limit therefore has one holder at a time, by its
 * lease, and the holder leaves a reserve for the one that follows, which needs connections while its predecessor's
 * may still be open.
 *
 * The limit holds while connections of at most one former holder of each part are open.
 */

/**
 * Who uses the connections of a server:
 *
 * - `owner`: the owner of the group, if no reader uses the server;
 * - `owner-beside-reader`: the owner of the group, on a replica in a region that has a reader;
 * - `reader`: the reader of the server's region.
 */
export type ConnectionPart = 'owner' | 'owner-beside-reader' | 'reader';

/** What is known about the former holder of a part. */
export interface FormerHolder {
  /** Epoch of the present holder; the first has no predecessor. */
  readonly epoch: number;
  /** For how long the present holder holds the part, in milliseconds. */
  readonly heldForMs: number;
  /** For how long the process of the former holder has certainly ended, in milliseconds; 0 if it may be running. */
  readonly endedForMs: number;
  /** Whether the former holder has handed the part over, after closing its connections. */
  readonly hasReleased: boolean;
}

/** Connections of one server for orders of the owner itself and of a former owner. */
const CONTROL_CONNECTIONS = 3;
/** Share of the connections of a replica that the owner keeps beside a reader, for its transactions. */
const OWNER_SHARE_BESIDE_READER = 0.25;
/**
 * Share of a part that is kept for the next holder: a quarter, or enough to keep all slots busy beside some idle
 * transactions, but never more than `MAX_RESERVE_SHARE`.
 */
const RESERVE_SHARE = 0.25;
const MAX_RESERVE_SHARE = 0.35;
const RESERVE_PER_SLOT = 2.5;
const RESERVED_IDLE_TRANSACTIONS = 3;
/**
 * Time in which a former holder's process may be frozen or cut off with open connections, in milliseconds; after
 * that it has resumed and closed them, or its connections have failed.
 */
const FROZEN_HOLDER_MS = 10_000;
/** Time after which a server has dropped the connections of a machine without power, in milliseconds. */
const DARK_CONNECTION_MS = 3_200;
/** Time in which statements still run at a holder that has handed its part over, in milliseconds. */
const RELEASED_RUNNING_MS = 1_500;

/** Whether all connections of former holders are certainly closed. */
export function areFormerConnectionsClosed(former: FormerHolder): boolean {
  const { epoch, heldForMs, endedForMs, hasReleased } = former;
  if (epoch <= 1 || heldForMs >= FROZEN_HOLDER_MS) return true;
  return endedForMs >= DARK_CONNECTION_MS || (hasReleased && heldForMs >= RELEASED_RUNNING_MS);
}

/**
 * Maximum number of connections that the holder of a part may have open to a server, at least one.
 *
 * @example
 * connectionLimit({ maxConnections: 17, slots: 2 }, 'owner', true); // 10
 */
export function connectionLimit(
  { maxConnections, slots }: { readonly maxConnections: number; readonly slots: number },
  part: ConnectionPart,
  isSettled: boolean,
): number {
  const size = sizeOf(maxConnections, part);
  const needed = Math.max(
    size * RESERVE_SHARE,
    RESERVE_PER_SLOT * slots + RESERVED_IDLE_TRANSACTIONS,
  );
  const reserve = Math.floor(Math.min(size * MAX_RESERVE_SHARE, needed));
  return Math.max(1, isSettled ? size - reserve : reserve);
}

/** The connections of a server that statements may use. */
export function usableConnections(maxConnections: number): number {
  return Math.max(1, maxConnections - CONTROL_CONNECTIONS);
}

function sizeOf(maxConnections: number, part: ConnectionPart): number {
  const usable = usableConnections(maxConnections);
  const ownerSize = Math.max(1, Math.floor(usable * OWNER_SHARE_BESIDE_READER));
  switch (part) {
    case 'owner':
      return usable;
    case 'owner-beside-reader':
      return ownerSize;
    case 'reader':
      return Math.max(1, usable - ownerSize);
  }
}

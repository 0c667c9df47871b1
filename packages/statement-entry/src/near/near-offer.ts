/** Offers of an owner to entries that read directly from replicas in their region. */
import { type LogPosition, newestAcknowledged, type ServerName } from '@bramleykeel/core';
import { primaryOf, type StatementOwner } from '../owner/owner-state.js';
import { maxNearConnections } from '../target/connection-budget.js';

export interface NearServer {
  readonly server: ServerName;
  readonly address: string;
  readonly slots: number;
}

/** Replicas in one region, and a log position that includes all writes acknowledged before the request. */
export interface NearOffer {
  readonly position: LogPosition;
  readonly servers: readonly NearServer[];
  /** Connections that the requesting entry may have open to each server. */
  readonly maxConnections: number;
}

export interface NearOfferRequest {
  readonly zone: string;
  readonly entryId: string;
}

/** Time without a request after which an entry no longer counts as a reader, in milliseconds. */
const READER_EXPIRY_MS = 5_000;

/**
 * Creates the offer for an entry; `undefined` if this owner cannot make one. The owner has to hold its
 * lease: until the lease ends no other owner can acknowledge writes, so the position includes them all.
 */
export function createNearOffer(
  owner: StatementOwner,
  { zone, entryId }: NearOfferRequest,
): NearOffer | undefined {
  const primary = primaryOf(owner);
  if (
    !owner.acknowledgedPositions ||
    !primary ||
    owner.isStopping ||
    !owner.environment.holdsLease()
  ) {
    return undefined;
  }
  const nowMs = performance.now();
  owner.nearReaders.set(entryId, { zone, atMs: nowMs });
  for (const [id, { atMs }] of owner.nearReaders) {
    if (nowMs - atMs > READER_EXPIRY_MS) owner.nearReaders.delete(id);
  }
  const { regionOf } = owner.environment;
  const isInSameRegion = (place: { readonly zone: string }) =>
    regionOf(place.zone) === regionOf(zone);
  const readerCount = [...owner.nearReaders.values()].filter(isInSameRegion).length;
  const servers = [...owner.servers.values()].filter(
    (server) =>
      server !== primary &&
      isInSameRegion(server.announcement) &&
      !server.announcement.isLeaving &&
      server.failingSinceMs === undefined,
  );
  return {
    position: newestAcknowledged(owner.acknowledgedPositions),
    servers: servers.map(({ announcement: { server, address, slots } }) => {
      return { server, address, slots };
    }),
    maxConnections: Math.max(1, Math.floor(maxNearConnections(owner.environment) / readerCount)),
  };
}

/** Requests and offers are sent over links frequently, so they are encoded as lists to keep messages small. */
export type EncodedNearOfferRequest = readonly [
  group: string,
  epoch: number,
  zone: string,
  entryId: string,
];

export type EncodedNearOffer = readonly [
  term: number,
  offset: number,
  maxConnections: number,
  ...servers: (readonly [server: string, address: string, slots: number])[],
];

export function encodeOffer(offer: NearOffer | undefined): EncodedNearOffer | null {
  if (!offer) return null;
  const { position, maxConnections, servers } = offer;
  const encodedServers = servers.map(
    ({ server, address, slots }) => [server, address, slots] as const,
  );
  return [position.term, position.offset, maxConnections, ...encodedServers];
}

export function decodeOffer(encoded: EncodedNearOffer | null | undefined): NearOffer | undefined {
  if (!encoded) return undefined;
  const [term, offset, maxConnections, ...encodedServers] = encoded;
  const servers = encodedServers.map(([server, address, slots]) => {
    return { server: server as ServerName, address, slots };
  });
  return { position: { term, offset }, maxConnections, servers };
}

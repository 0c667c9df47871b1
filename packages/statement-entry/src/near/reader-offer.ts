/** Offers of an owner to the readers of its group, which run reads at the replicas of their region. */
import {
  type LogPosition,
  newestAcknowledged,
  recordOthers,
  type ServerName,
} from '@bramleykeel/core';
import { primaryOf, type StatementOwner } from '../owner/owner-state.js';
import { isCold, isEvacuated } from '../owner/placement.js';

export interface NearServer {
  readonly server: ServerName;
  readonly address: string;
  readonly slots: number;
  readonly zone: string;
  /** Statements of the owner on the server; `undefined` in offers of earlier versions. */
  readonly ownerRunning?: number | undefined;
}

/** Replicas in one region, and a log position that includes all writes acknowledged before the request. */
export interface ReaderOffer {
  readonly position: LogPosition;
  readonly servers: readonly NearServer[];
}

export interface ReaderOfferRequest {
  readonly zone: string;
  readonly entryId: string;
  /** Statements of the reader on each server; `undefined` in requests of earlier versions. */
  readonly readerRunning?: RunningCounts | undefined;
}

export type RunningCounts = readonly (readonly [server: ServerName, running: number])[];

/**
 * Creates the offer for a reader; `undefined` if this owner cannot make one. The owner has to hold its
 * lease: until the lease ends no other owner can acknowledge writes, so the position includes them all.
 * Replicas to which the owner itself has too many connections, as after it was their only user, are left out.
 */
export function createReaderOffer(
  owner: StatementOwner,
  { zone, entryId, readerRunning = [] }: ReaderOfferRequest,
): ReaderOffer | undefined {
  const { environment, acknowledgedPositions, pools } = owner;
  const primary = primaryOf(owner);
  if (!acknowledgedPositions || !primary || owner.isStopping || !environment.holdsLease()) {
    return undefined;
  }
  const region = environment.regionOf(zone);
  const reader = environment.readerIn(region);
  if (reader && reader.entryId !== entryId) return undefined;
  owner.readerRegions.add(region);
  recordReaderCounts(owner, region, readerRunning);
  const servers = [...owner.servers.values()].filter(
    (server) =>
      server !== primary &&
      environment.regionOf(server.announcement.zone) === region &&
      !server.announcement.isLeaving &&
      !isEvacuated(owner, server) &&
      !isCold(owner, server) &&
      server.failingSinceMs === undefined &&
      server.connectionCount <= pools.maxConnections(server),
  );
  return {
    position: newestAcknowledged(acknowledgedPositions),
    servers: servers.map(
      ({ announcement: { server, address, slots, zone: serverZone }, runningCount }) => {
        return { server, address, slots, zone: serverZone, ownerRunning: runningCount };
      },
    ),
  };
}

/** A reader reports on the replicas of its region only, so that each replica has one reader. */
function recordReaderCounts(
  { servers, environment }: StatementOwner,
  region: string,
  counts: RunningCounts,
): void {
  const nowMs = performance.now();
  for (const [name, running] of counts) {
    const server = servers.get(name);
    if (!server || environment.regionOf(server.announcement.zone) !== region) continue;
    recordOthers(server.load, running, nowMs);
  }
}

/** Requests and offers are sent over links frequently, so they are encoded as lists to keep messages small. */
export type EncodedReaderOfferRequest = readonly [
  group: string,
  epoch: number,
  zone: string,
  entryId: string,
  readerRunning?: RunningCounts,
];

export type EncodedReaderOffer = readonly [
  term: number,
  offset: number,
  ...servers: (readonly [
    server: string,
    address: string,
    slots: number,
    zone: string,
    ownerRunning?: number,
  ])[],
];

export function encodeOffer(offer: ReaderOffer | undefined): EncodedReaderOffer | null {
  if (!offer) return null;
  const { position, servers } = offer;
  const encodedServers = servers.map(({ server, address, slots, zone, ownerRunning }) =>
    ownerRunning === undefined
      ? ([server, address, slots, zone] as const)
      : ([server, address, slots, zone, ownerRunning] as const),
  );
  return [position.term, position.offset, ...encodedServers];
}

export function decodeOffer(
  encoded: EncodedReaderOffer | null | undefined,
): ReaderOffer | undefined {
  if (!encoded) return undefined;
  const [term, offset, ...encodedServers] = encoded;
  const servers = encodedServers.map(([server, address, slots, zone, ownerRunning]) => {
    return { server: server as ServerName, address, slots, zone, ownerRunning };
  });
  return { position: { term, offset }, servers };
}

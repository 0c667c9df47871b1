/** What an owner tells entries that read at replicas near them. */
import { type LogPosition, newestAcknowledged, type ServerName } from '@bramleykeel/core';
import { primaryOf, type StatementOwner } from '../owner/owner-state.js';
import { maxNearConnections } from '../target/connection-budget.js';

export interface NearServer {
  readonly server: ServerName;
  readonly address: string;
  readonly slots: number;
}

/** Replicas of one region, and a position that covers all that was acknowledged when it was asked for. */
export interface NearOffer {
  readonly position: LogPosition;
  readonly servers: readonly NearServer[];
  /** Connections that the asking entry may have open to each of the servers. */
  readonly maxConnections: number;
}

export interface NearQuestion {
  readonly zone: string;
  readonly entryId: string;
}

/** An entry that has not asked for this long reads there no more, in milliseconds. */
const READER_GONE_AFTER_MS = 5_000;

/**
 * Answers an entry. Only an owner that holds its lease knows what is acknowledged; nobody else can
 * acknowledge anything before that lease is over.
 */
export function offerNear(
  owner: StatementOwner,
  { zone, entryId }: NearQuestion,
): NearOffer | undefined {
  const primary = primaryOf(owner);
  if (!owner.owed || !primary || owner.isStopping || !owner.environment.holdsLease()) {
    return undefined;
  }
  const nowMs = performance.now();
  owner.nearReaders.set(entryId, { zone, atMs: nowMs });
  for (const [id, { atMs }] of owner.nearReaders) {
    if (nowMs - atMs > READER_GONE_AFTER_MS) owner.nearReaders.delete(id);
  }
  const { regionOf } = owner.environment;
  const isNear = (place: { readonly zone: string }) => regionOf(place.zone) === regionOf(zone);
  const readers = [...owner.nearReaders.values()].filter(isNear).length;
  const servers = [...owner.servers.values()].filter(
    (server) =>
      server !== primary &&
      isNear(server.announcement) &&
      !server.announcement.isLeaving &&
      server.failingSinceMs === undefined,
  );
  return {
    position: newestAcknowledged(owner.owed),
    servers: servers.map(({ announcement: { server, address, slots } }) => {
      return { server, address, slots };
    }),
    maxConnections: Math.max(1, Math.floor(maxNearConnections(owner.environment) / readers)),
  };
}

/** Questions and offers go over links often, so they are sent as short lists. */
export type NearQuestionCode = readonly [
  group: string,
  epoch: number,
  zone: string,
  entryId: string,
];

export type NearOfferCode = readonly [
  term: number,
  offset: number,
  maxConnections: number,
  ...servers: (readonly [server: string, address: string, slots: number])[],
];

export function encodeOffer(offer: NearOffer | undefined): NearOfferCode | null {
  if (!offer) return null;
  const { position, maxConnections, servers } = offer;
  const list = servers.map(({ server, address, slots }) => [server, address, slots] as const);
  return [position.term, position.offset, maxConnections, ...list];
}

export function decodeOffer(code: NearOfferCode | null | undefined): NearOffer | undefined {
  if (!code) return undefined;
  const [term, offset, maxConnections, ...list] = code;
  const servers = list.map(([server, address, slots]) => {
    return { server: server as ServerName, address, slots };
  });
  return { position: { term, offset }, maxConnections, servers };
}

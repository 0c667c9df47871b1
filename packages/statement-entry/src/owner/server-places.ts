/**
 * Records the addresses of a group's servers in the control log. An owner that starts after all control
 * members were lost has received no announcements, and without the record could not serve until the servers
 * announce themselves again.
 */
import {
  type GroupRecord,
  hasUncoveredCommits,
  type ServerAnnouncement,
  type ServerPlace,
  uncoveredPlaces,
} from '@bramleykeel/core';
import { createServerState, type ServerState, type StatementOwner } from './owner-state.js';

/**
 * Minimum time between two records, in milliseconds, so that servers that appear and disappear repeatedly do not
 * fill the control log.
 */
const MIN_RECORD_INTERVAL_MS = 2_000;

/** Start time of a server whose record has none; any announcement counts as newer. */
export const UNKNOWN_BORN_MS = 0;

/**
 * Adds the recorded servers. The first announcement of a server at its recorded address confirms it, and the connections
 * that were opened meanwhile are kept.
 */
export function loadRecordedServers(owner: StatementOwner): void {
  const nowMs = performance.now();
  const places = owner.environment.groupRecord().places ?? [];
  for (const place of places) {
    if (owner.servers.has(place.server)) continue;
    const server = createServerState(announcementOf(owner, place), nowMs);
    owner.servers.set(place.server, { ...server, isVerified: true });
  }
  if (places.length === 0) return;
  owner.environment.log('loaded the recorded server addresses from control', {
    servers: places.map(({ server, address }) => `${server}@${address}`).join(' '),
  });
}

/** A recorded server counts as a replica until the server itself has reported its role. */
function announcementOf({ group }: StatementOwner, place: ServerPlace): ServerAnnouncement {
  const { bornMs = UNKNOWN_BORN_MS } = place;
  return { ...place, group, role: 'replica', isLeaving: false, bornMs, sequence: -1 };
}

/** Where a server is, and which of its incarnations is meant. */
export function placeOf({ announcement }: ServerState): ServerPlace {
  const { server, address, zone, slots, bornMs } = announcement;
  return { server, address, zone, slots, bornMs };
}

/**
 * Records the servers' addresses in control if they have changed. Servers that are leaving acknowledge commits until they
 * are gone, and those that are gone stay recorded while the others may lack their commits: an owner that finds no primary
 * has to know of them. For the same reason it is recorded, at once, when a replica has all that the primary started with.
 */
export function recordServerPlaces(owner: StatementOwner): void {
  const nowMs = performance.now();
  const { environment, group, epoch: ownerEpoch } = owner;
  const record = environment.groupRecord();
  const coveredTerm = coveredTermOf(owner, record);
  const isNewlyCovered =
    coveredTerm !== record.coveredTerm && coveredTerm !== owner.proposedCoveredTerm;
  if (!isNewlyCovered && nowMs - owner.placesRecordedMs < MIN_RECORD_INTERVAL_MS) return;
  const present = [...owner.servers.values()].map(placeOf);
  const byName = new Map(
    [...present, ...uncoveredPlaces(owner.coverage)].map((place) => [place.server, place]),
  );
  const places = [...byName.values()].sort((left, right) => (left.server < right.server ? -1 : 1));
  const isSame = JSON.stringify(places) === JSON.stringify(record.places ?? []);
  if (places.length === 0 || (isSame && coveredTerm === record.coveredTerm)) return;
  owner.placesRecordedMs = nowMs;
  owner.proposedCoveredTerm = coveredTerm;
  void environment.propose({ kind: 'group/places', group, ownerEpoch, places, coveredTerm });
}

/** The term to record as covered; the one on record until that is known of the present primary. */
function coveredTermOf(
  { leadership, coverage }: StatementOwner,
  { primary, term, proposedTerm, coveredTerm }: GroupRecord,
): number | undefined {
  const isOnRecord =
    leadership.kind === 'led' && leadership.server === primary && proposedTerm === term;
  return isOnRecord && !hasUncoveredCommits(coverage) ? term : coveredTerm;
}

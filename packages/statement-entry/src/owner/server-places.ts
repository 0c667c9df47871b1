/**
 * Records the addresses of a group's servers in the control log. An owner that starts after all control
 * members were lost has received no announcements, and without the record could not serve until the servers
 * announce themselves again.
 */
import {
  type AnnouncementNumber,
  beginRecording,
  endRecording,
  type GroupRecord,
  hasUncoveredCommits,
  type ServerAnnouncement,
  type ServerName,
  type ServerPlace,
  uncoveredPlaces,
} from '@bramleykeel/core';
import { releaseRecordedCommits, unrecordedServersOf } from './hold-commits.js';
import { createServerState, type ServerState, type StatementOwner } from './owner-state.js';

/**
 * Minimum time between two records of what may be recorded late, in milliseconds, so that servers that appear and disappear
 * repeatedly do not fill the control log.
 */
const MIN_RECORD_INTERVAL_MS = 2_000;

/** Minimum time from a proposal that control has not applied to the next one, in milliseconds. */
const RETRY_INTERVAL_MS = 50;

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
    leaving: describeLeaving(places),
  });
}

/** A recorded server counts as a replica until the server itself has reported its role; one that leaves gets no reads. */
function announcementOf({ group }: StatementOwner, place: ServerPlace): ServerAnnouncement {
  const { bornMs = UNKNOWN_BORN_MS, leavingSince } = place;
  const isLeaving = leavingSince !== undefined;
  return { ...place, group, role: 'replica', isLeaving, bornMs, sequence: -1 };
}

/** Where a server is, which of its incarnations is meant, and whether it leaves. */
export function placeOf({ announcement, leavingSince }: ServerState): ServerPlace {
  const { server, address, zone, slots, bornMs } = announcement;
  const place = { server, address, zone, slots, bornMs };
  return leavingSince ? { ...place, leavingSince: numberOf(leavingSince) } : place;
}

function numberOf({ bornMs, sequence }: AnnouncementNumber): AnnouncementNumber {
  return { bornMs, sequence };
}

/**
 * Records the servers' addresses in control if they have changed. Servers that are leaving acknowledge commits until they
 * are gone, and those that are gone stay recorded while the others may lack their commits: an owner that finds no primary
 * has to know of them. A server that has joined is recorded at once, because commits that it may have acknowledged are
 * held until then; so is one that leaves, because the next owner must send it no reads, and that a replica has all that the
 * primary started with. All else is recorded at a limited rate.
 */
export function recordServerPlaces(owner: StatementOwner): void {
  const { recordedServers } = owner;
  if (recordedServers.proposed || owner.isClosed || !owner.environment.holdsLease()) return;
  const record = owner.environment.groupRecord();
  const coveredTerm = coveredTermOf(owner, record);
  const joined = unrecordedServersOf(owner);
  const isNewlyCovered =
    coveredTerm !== record.coveredTerm && coveredTerm !== owner.proposedCoveredTerm;
  const places = placesToRecord(owner);
  const leaving = describeLeaving(places);
  const isNewlyLeaving =
    leaving !== describeLeaving(record.places ?? []) && leaving !== owner.proposedLeaving;
  const isUrgent =
    isNewlyCovered || isNewlyLeaving || joined.length > 0 || recordedServers.isUncertain;
  const nowMs = performance.now();
  const pauseMs = recordedServers.isUncertain ? RETRY_INTERVAL_MS : 0;
  if (nowMs - owner.placesRecordedMs < (isUrgent ? pauseMs : MIN_RECORD_INTERVAL_MS)) return;
  const isSame = JSON.stringify(places) === JSON.stringify(record.places ?? []);
  const isOnRecord = isSame && coveredTerm === record.coveredTerm && !recordedServers.isUncertain;
  if (places.length === 0 || (isOnRecord && joined.length === 0)) return;
  owner.placesRecordedMs = nowMs;
  owner.proposedCoveredTerm = coveredTerm;
  owner.proposedLeaving = leaving;
  void proposePlaces(owner, places, coveredTerm, joined);
}

function placesToRecord({ servers, coverage }: StatementOwner): ServerPlace[] {
  const byName = new Map([...servers].map(([name, server]) => [name, placeOf(server)]));
  for (const { leavingSince, ...former } of uncoveredPlaces(coverage)) {
    const present = servers.get(former.server);
    // The former process is recorded for its commits; whether reads may be sent depends on the present one.
    const since = present ? present.leavingSince && numberOf(present.leavingSince) : leavingSince;
    byName.set(former.server, since ? { ...former, leavingSince: since } : former);
  }
  return [...byName.values()].sort((left, right) => (left.server < right.server ? -1 : 1));
}

function describeLeaving(places: readonly ServerPlace[]): string {
  return places
    .flatMap(({ server, leavingSince }) =>
      leavingSince ? [`${server}@${leavingSince.bornMs}/${leavingSince.sequence}`] : [],
    )
    .join(' ');
}

/** Number of the last command of this process; the owner of an epoch never moves to another process. */
let lastSequence = 0;

export function nextPlacesSequence(): number {
  lastSequence += 1;
  return lastSequence;
}

async function proposePlaces(
  owner: StatementOwner,
  places: readonly ServerPlace[],
  coveredTerm: number | undefined,
  joined: readonly ServerName[],
): Promise<void> {
  const { environment, group, epoch: ownerEpoch, recordedServers } = owner;
  const names = places.map(({ server }) => server);
  const startedAtMs = performance.now();
  const sequence = nextPlacesSequence();
  const hasFailedBefore = recordedServers.isUncertain;
  beginRecording(recordedServers, names);
  const { kind } = await environment.propose({
    kind: 'group/places',
    ...{ group, ownerEpoch, places, sequence, coveredTerm },
  });
  endRecording(recordedServers, kind === 'done');
  // Control is asked again many times a second while it does not answer.
  if (kind === 'done' ? joined.length > 0 : !hasFailedBefore) {
    environment.log('proposed the places of the servers to control', {
      outcome: kind,
      servers: names.join(' '),
      joined: joined.join(' '),
      elapsedMs: Math.round(performance.now() - startedAtMs),
      heldCommits: owner.heldCommits.size,
    });
  }
  if (kind !== 'done') return;
  releaseRecordedCommits(owner);
  recordServerPlaces(owner);
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

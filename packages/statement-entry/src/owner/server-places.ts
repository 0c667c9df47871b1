/**
 * Where a group's servers are, written down in control's log: an owner that starts after all of control was
 * lost knows of no announcement, and would serve nothing until the servers announce themselves again.
 */
import type { ServerAnnouncement, ServerPlace } from '@bramleykeel/core';
import { createServerState, type StatementOwner } from './owner-state.js';

/** Places are written down at most this often, in milliseconds: servers that flap should not fill the log. */
const MIN_RECORD_INTERVAL_MS = 2_000;

/** Starts from the recorded places; whatever a server says itself is newer, and replaces them. */
export function loadRecordedServers(owner: StatementOwner): void {
  const nowMs = performance.now();
  const places = owner.environment.groupRecord().places ?? [];
  for (const place of places) {
    if (owner.servers.has(place.server)) continue;
    owner.servers.set(place.server, createServerState(announcementOf(owner, place), nowMs));
  }
  if (places.length === 0) return;
  owner.environment.log('starts from the places that control has written down', {
    servers: places.map(({ server, address }) => `${server}@${address}`).join(' '),
  });
}

/** Who leads is asked of the servers themselves, so a recorded one counts as a replica until it says more. */
function announcementOf({ group }: StatementOwner, place: ServerPlace): ServerAnnouncement {
  return { ...place, group, role: 'replica', isLeaving: false, bornMs: 0, sequence: 0 };
}

/** Writes the servers' places down when they differ from what is recorded. */
export function recordServerPlaces(owner: StatementOwner): void {
  const nowMs = performance.now();
  if (nowMs - owner.placesRecordedMs < MIN_RECORD_INTERVAL_MS) return;
  const { environment, group, epoch: ownerEpoch } = owner;
  const places = [...owner.servers.values()]
    .filter(({ announcement }) => !announcement.isLeaving)
    .map(({ announcement: { server, address, zone, slots } }): ServerPlace => {
      return { server, address, zone, slots };
    })
    .sort((left, right) => (left.server < right.server ? -1 : 1));
  const recorded = environment.groupRecord().places ?? [];
  if (places.length === 0 || JSON.stringify(places) === JSON.stringify(recorded)) return;
  owner.placesRecordedMs = nowMs;
  void environment.propose({ kind: 'group/places', group, ownerEpoch, places });
}

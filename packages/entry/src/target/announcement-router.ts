/** Routes targets' announcements to the owner of their group, in this process or over a link. */
import {
  type Announcement,
  assignmentOf,
  type GroupName,
  type RecordDelta,
  type Resource,
  toGroupName,
} from '@bramleykeel/core';
import type { ControlClient } from '@bramleykeel/entry-shared';
import type { EntryLinks } from '../locate/owner-locator.js';
import {
  type AnnouncementCache,
  cacheAnnouncement,
  recentAnnouncements,
} from './announcement-cache.js';

export interface AnnouncementRouter {
  readonly cache: AnnouncementCache;
  readonly control: ControlClient;
  readonly links: () => EntryLinks;
  /** Delivers an announcement to the owner in this process; returns whether there is one. */
  readonly deliverLocally: (announcement: Announcement) => boolean;
  readonly requestResource: (resource: Resource, zone: string | undefined) => void;
}

/** Attempts to reach a new owner, `INFORM_RETRY_INTERVAL_MS` apart. */
const INFORM_ATTEMPTS = 50;
const INFORM_RETRY_INTERVAL_MS = 10;
const GROUP_RESOURCE = /^group\/(.+)$/;

/**
 * Forwards an announcement to the group's owner. If no owner can be reached, requests one for the
 * group, in the primary's zone if the announcement is the primary's.
 */
export function routeAnnouncement(router: AnnouncementRouter, announcement: Announcement): void {
  cacheAnnouncement(router.cache, announcement, performance.now());
  if (forwardAnnouncement(router, announcement)) return;
  const zone = announcement.role === 'primary' ? announcement.zone : undefined;
  router.requestResource(`group/${announcement.group}`, zone);
}

function forwardAnnouncement(router: AnnouncementRouter, announcement: Announcement): boolean {
  if (router.deliverLocally(announcement)) return true;
  const assignment = assignmentOf(router.control, `group/${announcement.group}`);
  if (!assignment) return false;
  const peer = router.links().linkTo(assignment.linkAddress);
  return peer?.notify('target/announcement', announcement) ?? false;
}

/** Sends the cached announcements of a group's servers to the newly assigned owner. */
export function informNewOwners(router: AnnouncementRouter, deltas: readonly RecordDelta[]): void {
  for (const { stored } of deltas) {
    if (stored.record.kind !== 'assignment') continue;
    const group = GROUP_RESOURCE.exec(stored.record.assignment.resource)?.[1];
    if (group !== undefined) informOwner(router, toGroupName(group), INFORM_ATTEMPTS);
  }
}

function informOwner(router: AnnouncementRouter, group: GroupName, attempts: number): void {
  const recent = recentAnnouncements(router.cache, group, performance.now());
  const areAllForwarded = recent.every((announcement) => forwardAnnouncement(router, announcement));
  if (areAllForwarded || attempts <= 1) return;
  setTimeout(() => {
    informOwner(router, group, attempts - 1);
  }, INFORM_RETRY_INTERVAL_MS);
}

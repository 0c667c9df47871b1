/**
 * Cache of the latest announcement of each server that announces itself to this entry. A group's
 * new owner receives them immediately instead of waiting for every server to announce itself again.
 */
import type { Announcement, GroupName, ServerName } from '@bramleykeel/core';

export interface AnnouncementCache {
  readonly groups: Map<GroupName, Map<ServerName, CachedAnnouncement>>;
}

interface CachedAnnouncement {
  readonly announcement: Announcement;
  readonly receivedAtMs: number;
}

/** Announcements older than this no longer describe the current state of their server. */
const MAX_AGE_MS = 3_000;

export function createAnnouncementCache(): AnnouncementCache {
  return { groups: new Map() };
}

export function cacheAnnouncement(
  cache: AnnouncementCache,
  announcement: Announcement,
  nowMs: number,
): void {
  const { group, server } = announcement;
  const servers = cache.groups.get(group) ?? new Map<ServerName, CachedAnnouncement>();
  cache.groups.set(group, servers);
  servers.set(server, { announcement, receivedAtMs: nowMs });
}

/** Returns the recent announcements of a group's servers and removes expired ones. */
export function recentAnnouncements(
  cache: AnnouncementCache,
  group: GroupName,
  nowMs: number,
): Announcement[] {
  const servers = cache.groups.get(group);
  if (!servers) return [];
  for (const [server, { receivedAtMs }] of servers) {
    if (nowMs - receivedAtMs > MAX_AGE_MS) servers.delete(server);
  }
  if (servers.size === 0) cache.groups.delete(group);
  return [...servers.values()].map(({ announcement }) => announcement);
}

/** Passes servers' announcements on to the owners of their groups, and keeps the newest for new owners. */
import {
  type Assignment,
  assignmentOf,
  type GroupName,
  isNewerAnnouncement,
  type ServerAnnouncement,
  type ServerName,
} from '@bramleykeel/core';
import {
  DEFAULT_LINK_TIMING,
  DEFAULT_RECONNECT,
  keepLink,
  type LinkClient,
  type Log,
} from '@bramleykeel/link';
import type { ControlMember } from './control-member.js';

export interface AnnouncementRelay {
  /** Passes an announcement on; resolves with whether the group's owner has taken it. */
  readonly announce: (announcement: ServerAnnouncement) => Promise<boolean>;
  /** Takes in what another member was told; returns whether it is news. */
  readonly keep: (announcement: ServerAnnouncement) => boolean;
  /** A server has ended as planned. */
  readonly leave: (server: ServerName) => Promise<void>;
  /** Looks for owners that are new since the last call. */
  readonly refresh: () => void;
  readonly close: () => void;
}

const OWNER_TIMEOUT_MS = 700;
const LEADER_TIMEOUT_MS = 500;
const OWNER_POLL_MS = 40;
/** An announcement that was not renewed for this long is not handed to a new owner, in milliseconds. */
const KEPT_MS = 5_000;
/** What other members were told is renewed this often, in milliseconds; well within what they keep. */
const SHARE_EVERY_MS = 2_500;
const REQUEST_EVERY_MS = 400;

interface KeptAnnouncement {
  readonly announcement: ServerAnnouncement;
  readonly atMs: number;
}

/**
 * Creates the relay of one control member.
 *
 * @example
 * const isTaken = await relay.announce(announcement);
 */
export function createAnnouncementRelay(
  member: () => ControlMember | undefined,
  linkSecret: string,
  log: Log,
): AnnouncementRelay {
  const kept = new Map<ServerName, KeptAnnouncement>();
  const shared = new Map<ServerName, { role: string; isLeaving: boolean; atMs: number }>();
  const links = new Map<string, LinkClient>();
  const knownEpochs = new Map<GroupName, number>();
  const requestedAtMs = new Map<GroupName, number>();
  return { announce, keep, leave, refresh, close };

  async function announce(announcement: ServerAnnouncement): Promise<boolean> {
    const { group } = announcement;
    if (keep(announcement)) share(announcement);
    const untilMs = performance.now() + OWNER_TIMEOUT_MS;
    for (;;) {
      const isTaken = await tell(group, 'server/announce', announcement);
      if (isTaken || performance.now() >= untilMs) return isTaken;
      requestOwner(announcement);
      await new Promise((resolve) => setTimeout(resolve, OWNER_POLL_MS));
    }
  }

  /** Takes in an announcement of this member's or another one's; returns whether it is news. */
  function keep(announcement: ServerAnnouncement): boolean {
    const known = kept.get(announcement.server);
    if (known && !isNewerAnnouncement(announcement, known.announcement)) return false;
    kept.set(announcement.server, { announcement, atMs: performance.now() });
    return true;
  }

  /** The other members keep it too, in case this one is lost before the group has a new owner. */
  function share(announcement: ServerAnnouncement): void {
    const { server, role, isLeaving } = announcement;
    const nowMs = performance.now();
    const known = shared.get(server);
    const isSame = known?.role === role && known.isLeaving === isLeaving;
    if (isSame && nowMs - known.atMs < SHARE_EVERY_MS) return;
    shared.set(server, { role, isLeaving, atMs: nowMs });
    member()?.tellMembers('server/keep', announcement);
  }

  async function leave(server: ServerName): Promise<void> {
    const known = kept.get(server);
    kept.delete(server);
    if (known) await tell(known.announcement.group, 'server/leave', server);
  }

  async function tell(group: GroupName, method: string, params: unknown): Promise<boolean> {
    const address = ownerOf(group)?.linkAddress;
    const peer = address === undefined ? undefined : linkTo(address).current();
    const answer = await peer?.request(method, params, OWNER_TIMEOUT_MS);
    return answer?.orDefault(false) === true;
  }

  function ownerOf(group: GroupName): Assignment | undefined {
    const control = member()?.app.driver.control();
    return control && assignmentOf(control, `group/${group}`);
  }

  /** A group without an owner gets one, in the zone of its primary. */
  function requestOwner({ group, role, zone }: ServerAnnouncement): void {
    if (ownerOf(group) || role !== 'primary') return;
    const nowMs = performance.now();
    if (nowMs - (requestedAtMs.get(group) ?? Number.NEGATIVE_INFINITY) < REQUEST_EVERY_MS) return;
    requestedAtMs.set(group, nowMs);
    const request = { resource: `group/${group}`, zone };
    void member()?.askLeader('resource/request', request, LEADER_TIMEOUT_MS);
  }

  function linkTo(address: string): LinkClient {
    const known = links.get(address);
    if (known) return known;
    const options = { secret: linkSecret, ...DEFAULT_LINK_TIMING, ...DEFAULT_RECONNECT };
    const handlers = { onRequest: () => undefined, onNotify: () => undefined };
    const created = keepLink(address, { ...options, reconnectMaxMs: 400 }, handlers);
    links.set(address, created);
    return created;
  }

  function refresh(): void {
    const nowMs = performance.now();
    for (const [server, { atMs }] of kept) {
      if (nowMs - atMs > KEPT_MS) kept.delete(server);
    }
    const groups = new Set([...kept.values()].map(({ announcement }) => announcement.group));
    const needed = new Set<string>();
    for (const group of groups) {
      const owner = ownerOf(group);
      if (!owner) continue;
      needed.add(owner.linkAddress);
      if (knownEpochs.get(group) === owner.epoch || !linkTo(owner.linkAddress).current()) continue;
      knownEpochs.set(group, owner.epoch);
      log(
        `group ${group} has owner ${owner.entryId}, epoch ${owner.epoch}; it is told of its servers`,
      );
      for (const { announcement } of kept.values()) {
        if (announcement.group === group) void tell(group, 'server/announce', announcement);
      }
    }
    for (const [address, link] of links) {
      if (needed.has(address)) continue;
      link.stop();
      links.delete(address);
    }
  }

  function close(): void {
    for (const link of links.values()) link.stop();
  }
}

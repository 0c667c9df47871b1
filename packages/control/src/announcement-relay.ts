/**
 * Forwards server announcements to the owners of their groups, and stores the newest ones so that a
 * new owner receives them.
 */
import {
  type Assignment,
  assignmentOf,
  type BusyTarget,
  busyTargets,
  type GroupName,
  isHeavyFromStart,
  isNewerAnnouncement,
  isZoneEvacuated,
  type KeptAnnouncement,
  type KnownWork,
  type ServerAnnouncement,
  type ServerName,
  type TargetWork,
} from '@bramleykeel/core';
import {
  DEFAULT_LINK_TIMING,
  DEFAULT_RECONNECT,
  maintainLink,
  type LinkClient,
  type Log,
} from '@bramleykeel/link';
import type { ControlMember } from './control-member.js';

export interface AnnouncementRelay {
  /** Forwards an announcement; resolves with whether the group's owner has accepted it. */
  readonly announce: (announcement: ServerAnnouncement) => Promise<boolean>;
  /** Stores an announcement that another member received; returns whether it is newer. */
  readonly store: (announcement: KeptAnnouncement) => boolean;
  /** Removes a server that has shut down as planned, and informs the group's owner. */
  readonly removeServer: (server: ServerName) => Promise<void>;
  /** The servers in a zone that still have work, by what the owners of their groups have reported. */
  readonly busyTargetsIn: (zone: string) => BusyTarget[];
  /** Sends stored announcements to owners that are new since the last call. */
  readonly refresh: () => void;
  readonly close: () => void;
}

const OWNER_TIMEOUT_MS = 700;
const LEADER_TIMEOUT_MS = 500;
const OWNER_RETRY_INTERVAL_MS = 40;
/** Announcements that were not renewed within this time are not sent to a new owner. */
const ANNOUNCEMENT_RETENTION_MS = 5_000;
/** Figures of an owner that were not renewed within this time count as unknown: two rounds of sharing. */
const WORK_RETENTION_MS = 6_000;
/** An unchanged announcement is shared again this often, well within the retention time. */
const SHARE_INTERVAL_MS = 2_500;
const OWNER_REQUEST_INTERVAL_MS = 400;
/** Interval at which an owner that has not taken over what this member knows is sent it again. */
const INTRODUCTION_INTERVAL_MS = 500;

interface StoredAnnouncement {
  readonly announcement: ServerAnnouncement;
  readonly atMs: number;
}

/** What the owner of a group under an epoch has taken over from this member. */
interface Introduction {
  readonly epoch: number;
  atMs: number;
  hasServers: boolean;
}

function createIntroduction(epoch: number): Introduction {
  return { epoch, atMs: Number.NEGATIVE_INFINITY, hasServers: false };
}

interface ReportedWork {
  readonly work: TargetWork;
  readonly atMs: number;
}

/**
 * Creates the relay of one control member.
 *
 * @param isConfiguredGroup whether operators have configured a group; others get no owner, because other writers may
 * announce servers of any name
 *
 * @example
 * const isAccepted = await relay.announce(announcement);
 */
export function createAnnouncementRelay(
  getMember: () => ControlMember | undefined,
  isConfiguredGroup: (group: GroupName) => boolean,
  linkSecret: string,
  log: Log,
): AnnouncementRelay {
  const latestAnnouncements = new Map<ServerName, StoredAnnouncement>();
  const reportedWork = new Map<ServerName, ReportedWork>();
  const lastShared = new Map<
    ServerName,
    { role: string; isLeaving: boolean; isCold: boolean; atMs: number }
  >();
  const links = new Map<string, LinkClient>();
  const requestedAtMs = new Map<GroupName, number>();
  const introductions = new Map<GroupName, Introduction>();
  return { announce, store, removeServer, busyTargetsIn, refresh, close };

  async function announce(announcement: ServerAnnouncement): Promise<boolean> {
    if (store(announcement)) shareWithMembers(announcement);
    const deadlineMs = performance.now() + OWNER_TIMEOUT_MS;
    for (;;) {
      const isAccepted = await sendAnnouncement(announcement);
      if (isAccepted || performance.now() >= deadlineMs) return isAccepted;
      requestOwner(announcement);
      await new Promise((resolve) => setTimeout(resolve, OWNER_RETRY_INTERVAL_MS));
    }
  }

  /** Stores an announcement unless a newer one is known; returns whether it was stored. */
  function store({ work, ...announcement }: KeptAnnouncement): boolean {
    const current = latestAnnouncements.get(announcement.server);
    if (current && !isNewerAnnouncement(announcement, current.announcement)) return false;
    const nowMs = performance.now();
    latestAnnouncements.set(announcement.server, { announcement, atMs: nowMs });
    if (work) reportedWork.set(announcement.server, { work, atMs: nowMs - work.ageMs });
    return true;
  }

  /** Sends an announcement to the group's owner, which reports its work there if the zone is evacuated. */
  async function sendAnnouncement(announcement: ServerAnnouncement): Promise<boolean> {
    const { group, server, zone } = announcement;
    const control = getMember()?.app.driver.control();
    const asksWork = control !== undefined && isZoneEvacuated(control, zone);
    const params = asksWork ? { ...announcement, asksWork } : announcement;
    const answer = await askOwner(group, 'server/announce', params);
    if (typeof answer !== 'object' || answer === null) return answer === true;
    reportedWork.set(server, { work: answer as TargetWork, atMs: performance.now() });
    return true;
  }

  function workAt(server: ServerName): KnownWork | undefined {
    const reported = reportedWork.get(server);
    return reported && { ...reported.work, ageMs: performance.now() - reported.atMs };
  }

  function busyTargetsIn(zone: string): BusyTarget[] {
    const nowMs = performance.now();
    const inZone = [...latestAnnouncements.values()].filter(
      ({ announcement }) => announcement.zone === zone,
    );
    return busyTargets(
      inZone.map(({ announcement, atMs }) => ({
        announcement,
        announcedAgoMs: nowMs - atMs,
        work: workAt(announcement.server),
      })),
    );
  }

  /** Lets the other members store it too, in case this one fails before the group has a new owner. */
  function shareWithMembers(announcement: ServerAnnouncement): void {
    const { server, role, isLeaving } = announcement;
    const isCold = announcement.coldLeftMs !== undefined;
    const nowMs = performance.now();
    const last = lastShared.get(server);
    const isSame = last?.role === role && last.isLeaving === isLeaving && last.isCold === isCold;
    if (isSame && nowMs - last.atMs < SHARE_INTERVAL_MS) return;
    lastShared.set(server, { role, isLeaving, isCold, atMs: nowMs });
    const work = workAt(server);
    const kept: KeptAnnouncement = work ? { ...announcement, work } : announcement;
    getMember()?.notifyMembers('server/keep', kept);
  }

  /** Sends a new owner the known servers, until it has accepted all of them. */
  async function introduceServers(group: GroupName, { epoch, entryId }: Assignment): Promise<void> {
    const nowMs = performance.now();
    const last = introductions.get(group);
    const current = last?.epoch === epoch ? last : createIntroduction(epoch);
    if (current.hasServers) return;
    if (nowMs - current.atMs < INTRODUCTION_INTERVAL_MS) return;
    if (current !== last)
      log(`group ${group} has owner ${entryId}, epoch ${epoch}; sending it the known servers`);
    current.atMs = nowMs;
    introductions.set(group, current);
    const pending = [...latestAnnouncements.values()]
      .filter(({ announcement }) => announcement.group === group)
      .map(({ announcement }) => sendAnnouncement(announcement));
    current.hasServers = (await Promise.all(pending)).every((isAccepted) => isAccepted);
  }

  async function removeServer(server: ServerName): Promise<void> {
    const latest = latestAnnouncements.get(server);
    latestAnnouncements.delete(server);
    reportedWork.delete(server);
    if (latest) await sendRequestToOwner(latest.announcement.group, 'server/leave', server);
  }

  async function sendRequestToOwner(
    group: GroupName,
    method: string,
    params: unknown,
  ): Promise<boolean> {
    return (await askOwner(group, method, params)) === true;
  }

  async function askOwner(group: GroupName, method: string, params: unknown): Promise<unknown> {
    const address = ownerOf(group)?.linkAddress;
    const peer = address === undefined ? undefined : linkTo(address).current();
    const answer = await peer?.request(method, params, OWNER_TIMEOUT_MS);
    return answer?.toMaybe().extract();
  }

  function ownerOf(group: GroupName): Assignment | undefined {
    const control = getMember()?.app.driver.control();
    return control && assignmentOf(control, `group/${group}`);
  }

  /** Requests an owner in the zone of the primary for a group that has none. */
  function requestOwner(announcement: ServerAnnouncement): void {
    const { group, role, zone } = announcement;
    if (ownerOf(group) || role !== 'primary' || !isConfiguredGroup(group)) return;
    const nowMs = performance.now();
    if (nowMs - (requestedAtMs.get(group) ?? Number.NEGATIVE_INFINITY) < OWNER_REQUEST_INTERVAL_MS)
      return;
    requestedAtMs.set(group, nowMs);
    const isHeavy = isHeavyFromStart(announcement);
    const request = { resource: `group/${group}`, zone, isHeavy };
    void getMember()?.requestFromLeader('resource/request', request, LEADER_TIMEOUT_MS);
  }

  function linkTo(address: string): LinkClient {
    const existing = links.get(address);
    if (existing) return existing;
    const options = { secret: linkSecret, ...DEFAULT_LINK_TIMING, ...DEFAULT_RECONNECT };
    const handlers = { onRequest: () => undefined, onNotify: () => undefined };
    const created = maintainLink(address, { ...options, reconnectMaxMs: 400 }, handlers);
    links.set(address, created);
    return created;
  }

  function refresh(): void {
    const nowMs = performance.now();
    for (const [server, { atMs }] of latestAnnouncements) {
      if (nowMs - atMs > ANNOUNCEMENT_RETENTION_MS) latestAnnouncements.delete(server);
    }
    for (const [server, { atMs }] of reportedWork)
      if (nowMs - atMs > WORK_RETENTION_MS) reportedWork.delete(server);
    const groups = new Set(
      [...latestAnnouncements.values()].map(({ announcement }) => announcement.group),
    );
    const needed = new Set<string>();
    for (const group of groups) {
      const owner = ownerOf(group);
      if (!owner) continue;
      needed.add(owner.linkAddress);
      if (!linkTo(owner.linkAddress).current()) continue;
      void introduceServers(group, owner);
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

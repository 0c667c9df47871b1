/** State of a group's servers as known to the owner from their announcements. */
import type { Incarnation, ServerName } from '../types/ids.js';
import { comparePositions, type LogPosition } from '../types/position.js';
import type { Announcement } from '../types/target.js';

export interface ServerView {
  readonly server: ServerName;
  announcement: Announcement;
  heardAtMs: number;
  /** Latest time at which this server was known to have the primary's whole log. */
  upToDateAtMs: number;
  /**
   * Where the log ended that the server has lost in a restart, until it has caught up; `undefined` otherwise. Commits
   * that count on its copy may be gone.
   */
  readonly lostLogEnd: LogPosition | undefined;
}

/** A position announced by the primary, with the time at which it was received. */
interface PrimarySample {
  readonly heardAtMs: number;
  readonly position: LogPosition;
}

export interface GroupView {
  readonly servers: Map<ServerName, ServerView>;
  primarySamples: PrimarySample[];
}

const MAX_PRIMARY_SAMPLES = 512;

export function createGroupView(): GroupView {
  return { servers: new Map(), primarySamples: [] };
}

/**
 * Records an announcement. One that is not newer (same incarnation, no higher sequence) is ignored.
 *
 * @returns whether the view has changed
 */
export function recordAnnouncement(
  view: GroupView,
  announcement: Announcement,
  nowMs: number,
): boolean {
  const current = view.servers.get(announcement.server);
  if (current && isOutdated(current.announcement, announcement)) return false;
  const upToDateAtMs = current?.upToDateAtMs ?? Number.NEGATIVE_INFINITY;
  const { server } = announcement;
  const lostLogEnd = current && lostLogEndAfter(current, announcement);
  view.servers.set(server, { server, announcement, heardAtMs: nowMs, upToDateAtMs, lostLogEnd });
  if (announcement.role === 'primary') addPrimarySample(view, announcement.position, nowMs);
  updateUpToDateTime(view, server);
  return true;
}

/** A process that starts with a shorter log than the one before it has lost the rest. */
function lostLogEndAfter(
  { announcement: former, lostLogEnd }: ServerView,
  { incarnation, position }: Announcement,
): LogPosition | undefined {
  const end = incarnation === former.incarnation ? lostLogEnd : (lostLogEnd ?? former.position);
  return end && comparePositions(position, end) < 0 ? end : undefined;
}

function isOutdated(current: Announcement, next: Announcement): boolean {
  return current.incarnation === next.incarnation && next.sequence <= current.sequence;
}

function addPrimarySample(view: GroupView, position: LogPosition, nowMs: number): void {
  view.primarySamples.push({ heardAtMs: nowMs, position });
  if (view.primarySamples.length > MAX_PRIMARY_SAMPLES) view.primarySamples.shift();
}

/** A server is up to date as of the newest primary sample that its own position covers. */
function updateUpToDateTime(view: GroupView, server: ServerName): void {
  const current = view.servers.get(server);
  if (!current) return;
  for (let index = view.primarySamples.length - 1; index >= 0; index -= 1) {
    const sample = view.primarySamples[index];
    if (!sample) continue;
    if (comparePositions(current.announcement.position, sample.position) < 0) continue;
    current.upToDateAtMs = Math.max(current.upToDateAtMs, sample.heardAtMs);
    return;
  }
}

/** Removes a server that has left or failed permanently, unless a newer incarnation has announced. */
export function forgetServer(view: GroupView, server: ServerName, incarnation: Incarnation): void {
  if (view.servers.get(server)?.announcement.incarnation === incarnation) {
    view.servers.delete(server);
  }
}

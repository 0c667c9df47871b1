/** What servers in evacuated zones still do, as the owners of their groups know it. */
import type { GroupName, ServerName } from '../types/ids.js';
import type { ServerAnnouncement } from '../statements/types.js';

/** What a group's owner has at a server. */
export interface TargetWork {
  /** Statements that run. */
  readonly running: number;
  /** Open transactions, whether or not a statement of theirs runs. */
  readonly transactions: number;
  readonly isPrimary: boolean;
}

/** Work together with how long ago the owner has reported it, in milliseconds. */
export interface KnownWork extends TargetWork {
  readonly ageMs: number;
}

/** An announcement as members of control pass it on to each other. */
export type KeptAnnouncement = ServerAnnouncement & { readonly work?: KnownWork };

/** A server that still has work, or whose work is not known. */
export interface BusyTarget {
  readonly group: GroupName;
  readonly server: ServerName;
  readonly role: 'primary' | 'replica';
  /** `null` if the group's owner has not reported it. */
  readonly running: number | null;
  readonly transactions: number | null;
  /** Age of these figures, or of the server's announcement if there are none, in milliseconds. */
  readonly ageMs: number;
}

/**
 * The servers that run statements, have open transactions or are the primary, and those of which that is not known.
 *
 * @param known announcements with their age, and the work that was reported for their server
 * @example
 * busyTargets([{ announcement, announcedAgoMs: 120, work: undefined }]);
 */
export function busyTargets(
  known: Iterable<{
    readonly announcement: ServerAnnouncement;
    readonly announcedAgoMs: number;
    readonly work: KnownWork | undefined;
  }>,
): BusyTarget[] {
  const targets: BusyTarget[] = [];
  for (const { announcement, announcedAgoMs, work } of known) {
    const { group, server, role } = announcement;
    if (work && !work.isPrimary && work.running + work.transactions === 0) continue;
    targets.push({
      group,
      server,
      role: work ? roleOf(work) : role,
      running: work?.running ?? null,
      transactions: work?.transactions ?? null,
      ageMs: Math.round(work?.ageMs ?? announcedAgoMs),
    });
  }
  return targets.sort((left, right) => (left.server < right.server ? -1 : 1));
}

function roleOf({ isPrimary }: TargetWork): 'primary' | 'replica' {
  return isPrimary ? 'primary' : 'replica';
}

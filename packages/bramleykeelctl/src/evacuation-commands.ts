/** Orders, withdraws and lists evacuations of zones. */
import { type CallOutcome, callControl, type ControlAccess } from './control-call.js';
import type { SystemStatus } from './format-status.js';

/** An evacuated zone, with the servers in it that still have work. */
export interface EvacuationStatus {
  readonly zone: string;
  readonly orderedAt: string;
  readonly servers: readonly {
    readonly group: string;
    readonly server: string;
    readonly isPrimary: boolean;
    readonly running: number;
    readonly heardMsAgo: number;
  }[];
}

/** Attempts while other calls for the same zone are accepted in between. */
const MAX_ATTEMPTS = 10;

/**
 * Orders or withdraws the evacuation of a zone. Each attempt names the index of the zone's last change, so that a
 * message that is delayed on its way cannot undo a later call.
 *
 * @example
 * await changeEvacuation(access, 'ub-a', true);
 */
export async function changeEvacuation(
  access: ControlAccess,
  zone: string,
  isOrdered: boolean,
): Promise<CallOutcome> {
  const method = isOrdered ? 'evacuation/order' : 'evacuation/withdraw';
  let outcome: CallOutcome = { kind: 'unreachable', message: 'no attempt was made' };
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const found = await callControl(access, 'evacuation/index', { zone });
    if (found.kind !== 'ok') return found;
    const { index: expectedIndex } = found.result as { index: number };
    outcome = await callControl(access, method, { zone, expectedIndex });
    // An answer may have been lost, so that the call itself is the one that was accepted in between.
    if (outcome.kind !== 'refused' || outcome.code !== 'conflict') return outcome;
  }
  return outcome;
}

/** The evacuated zones with the servers in each that run statements or are the primary of their group. */
export function describeEvacuations(status: SystemStatus): EvacuationStatus[] {
  const servers = status.reports.flatMap(({ report }) =>
    (report?.owners ?? []).flatMap(({ group, servers: known }) =>
      known.map((server) => ({ ...server, group })),
    ),
  );
  const primaries = new Map(status.groups.map(({ group, primary }) => [group, primary]));
  return (status.evacuations ?? []).map(({ zone, orderedAtMs }) => ({
    zone,
    orderedAt: new Date(orderedAtMs).toISOString(),
    servers: servers
      .filter((server) => server.zone === zone)
      .map(({ group, server, running, heardMsAgo }) => {
        return { group, server, running, heardMsAgo, isPrimary: primaries.get(group) === server };
      })
      .filter(({ isPrimary, running }) => isPrimary || running > 0),
  }));
}

/** Entries without a report in the status; what runs at the servers of their groups is not known. */
export function unreportedEntries({ entries, reports }: SystemStatus): string[] {
  const reported = new Set(
    reports.filter(({ report }) => report !== null).map(({ incarnation }) => incarnation),
  );
  return entries
    .filter(({ incarnation }) => !reported.has(incarnation))
    .map(({ entryId }) => entryId);
}

/** Formats an evacuated zone for a terminal, one line for the zone and one for each server. */
export function formatEvacuation({ zone, orderedAt, servers }: EvacuationStatus): string[] {
  const lines = servers.map(({ group, server, isPrimary, running, heardMsAgo }) => {
    const role = isPrimary ? 'primary' : 'replica';
    return `  ${server}: ${role} of ${group}, ${running} statements running, heard ${heardMsAgo} ms ago`;
  });
  return [`evacuated: ${zone}, ordered ${orderedAt}`, ...lines];
}

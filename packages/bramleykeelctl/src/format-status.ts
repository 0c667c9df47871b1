/** Formats the system status as text. */
import { describeEvacuations, formatEvacuation } from './evacuation-commands.js';

interface ServerStatus {
  readonly server: string;
  readonly role: string;
  readonly term: number;
  readonly position: string;
  readonly zone: string;
  readonly isLeaving: boolean;
  readonly heardMsAgo: number;
  /** Number of statements that run at the server. */
  readonly running: number;
}

interface OwnerStatus {
  readonly group: string;
  readonly epoch: number;
  readonly phase: string;
  readonly sessions: number;
  readonly servers: readonly ServerStatus[];
}

interface EntryReport {
  readonly entryId: string;
  readonly callers: number;
  readonly owners: readonly OwnerStatus[];
}

export interface SystemStatus {
  readonly control: {
    readonly leader: string;
    readonly term: number;
    readonly commitIndex: number;
    readonly members: readonly {
      readonly id: string;
      readonly isVoter: boolean;
      readonly matchIndex: number;
      readonly silentMs: number;
      readonly hasRegressed: boolean;
    }[];
  };
  readonly settingsRevision: number;
  readonly entries: readonly {
    readonly entryId: string;
    readonly incarnation: string;
    readonly zone: string;
    readonly settingsRevision: number;
    readonly isStopping: boolean;
  }[];
  /** Absent in the answer of members of earlier versions. */
  readonly evacuations?:
    readonly { readonly zone: string; readonly orderedAtMs: number }[] | undefined;
  readonly groups: readonly {
    readonly group: string;
    readonly primary?: string;
    readonly term: number;
    readonly proposedTerm: number;
    readonly servers: readonly string[];
  }[];
  readonly assignments: readonly {
    readonly resource: string;
    readonly entryId: string;
    readonly epoch: number;
  }[];
  readonly reports: readonly {
    readonly incarnation: string;
    readonly report: EntryReport | null;
  }[];
}

/** Formats the status for a terminal, without a trailing newline. */
export function formatStatus(status: SystemStatus): string {
  const { control } = status;
  const lines = [
    `control: leader ${control.leader}, term ${control.term}, log at ${control.commitIndex}`,
  ];
  for (const { id, isVoter, matchIndex, silentMs, hasRegressed } of control.members) {
    const note = hasRegressed ? ', lost confirmed entries: replace its data folder' : '';
    const role = isVoter ? '' : ', without a vote';
    lines.push(`  ${id}: log at ${matchIndex}, heard ${silentMs} ms ago${role}${note}`);
  }
  lines.push(`settings: revision ${status.settingsRevision}`);
  for (const evacuation of describeEvacuations(status)) lines.push(...formatEvacuation(evacuation));
  for (const entry of status.entries) lines.push(formatEntry(status, entry));
  for (const group of status.groups) lines.push(...formatGroup(status, group));
  return lines.join('\n');
}

function formatEntry(status: SystemStatus, entry: SystemStatus['entries'][number]): string {
  const report = findReport(status, entry.incarnation);
  const callers = report ? `${report.callers} callers` : 'no report';
  const stopping = entry.isStopping ? ', stopping' : '';
  const revision = `settings revision ${entry.settingsRevision}`;
  return `entry ${entry.entryId} (${entry.zone}): ${callers}, ${revision}${stopping}`;
}

function findReport(status: SystemStatus, incarnation: string): EntryReport | undefined {
  return status.reports.find((item) => item.incarnation === incarnation)?.report ?? undefined;
}

function formatGroup(status: SystemStatus, group: SystemStatus['groups'][number]): string[] {
  const assignment = status.assignments.find(({ resource }) => resource === `group/${group.group}`);
  const owner = assignment ? `owner ${assignment.entryId} (epoch ${assignment.epoch})` : 'no owner';
  const termChange =
    group.proposedTerm > group.term ? `, change to term ${group.proposedTerm}` : '';
  const lines = [
    `group ${group.group}: primary ${group.primary ?? 'none'}, term ${group.term}${termChange}, ${owner}`,
  ];
  const report = status.reports
    .flatMap((item) => item.report?.owners ?? [])
    .find((item) => item.group === group.group);
  for (const server of report?.servers ?? []) {
    const leaving = server.isLeaving ? ', leaving' : '';
    const place = `${server.role} in ${server.zone}`;
    const heard = `heard ${server.heardMsAgo} ms ago`;
    lines.push(`  ${server.server}: ${place}, log at ${server.position}, ${heard}${leaving}`);
  }
  return lines;
}

/** Typed reads of the control records, shared by control members and watching entries. */
import type { GroupName } from '../types/ids.js';
import type {
  CustomerSetting,
  GroupSetting,
  OperatorSetting,
  SettingValue,
} from '../settings/paths.js';
import { groupSchema } from '../settings/paths.js';
import type { Assignment, GroupRecord, Resource, SettingsDocument, StoredRecord } from './types.js';

/** Anything that holds control records: a member's state or an entry's copy of it. */
export interface RecordHolder {
  readonly records: ReadonlyMap<string, StoredRecord>;
}

/** A changed record on its way to a watching entry. */
export interface RecordDelta {
  readonly key: string;
  readonly stored: StoredRecord;
}

export function settingAt(holder: RecordHolder, path: string): SettingValue | undefined {
  const record = holder.records.get(`settings/${path}`)?.record;
  return record?.kind === 'setting' ? record.value : undefined;
}

export function customerSetting(
  holder: RecordHolder,
  customer: string,
): CustomerSetting | undefined {
  return settingAt(holder, `customers/${customer}`) as CustomerSetting | undefined;
}

export function operatorSetting(
  holder: RecordHolder,
  operator: string,
): OperatorSetting | undefined {
  return settingAt(holder, `operators/${operator}`) as OperatorSetting | undefined;
}

export function groupSetting(holder: RecordHolder, group: GroupName): GroupSetting {
  const found = settingAt(holder, `groups/${group}`) as GroupSetting | undefined;
  return found ?? groupSchema.parse({});
}

/** All settings, as path and value, in path order. */
export function listSettings(holder: RecordHolder): { path: string; value: SettingValue }[] {
  const found: { path: string; value: SettingValue }[] = [];
  for (const { record } of holder.records.values()) {
    if (record.kind === 'setting') found.push({ path: record.path, value: record.value });
  }
  return found.sort((left, right) => (left.path < right.path ? -1 : 1));
}

/** The paths of one customer's keys. */
export function customerKeyPaths(holder: RecordHolder, customer: string): string[] {
  const prefix = `keys/${customer}/`;
  return listSettings(holder)
    .map(({ path }) => path)
    .filter((path) => path.startsWith(prefix));
}

export function assignmentOf(holder: RecordHolder, resource: Resource): Assignment | undefined {
  const record = holder.records.get(resource)?.record;
  return record?.kind === 'assignment' ? record.assignment : undefined;
}

/** Key of the record that holds the operators' settings document. */
export const DOCUMENT_KEY = 'document';

/** The newest settings document, if operators have handed in any. */
export function documentOf(holder: RecordHolder): SettingsDocument | undefined {
  const record = holder.records.get(DOCUMENT_KEY)?.record;
  return record?.kind === 'document' ? record.document : undefined;
}

export function listAssignments(holder: RecordHolder): Assignment[] {
  const found: Assignment[] = [];
  for (const { record } of holder.records.values()) {
    if (record.kind === 'assignment') found.push(record.assignment);
  }
  return found;
}

export function groupRecordOf(holder: RecordHolder, group: GroupName): GroupRecord {
  const record = holder.records.get(`groups/${group}`)?.record;
  if (record?.kind === 'group') return record.record;
  return { group, servers: [], primary: undefined, term: 0, proposedTerm: 0 };
}

export function listGroups(holder: RecordHolder): GroupRecord[] {
  const found: GroupRecord[] = [];
  for (const { record } of holder.records.values()) {
    if (record.kind === 'group') found.push(record.record);
  }
  return found;
}

/** Records written after `sinceIndex`, removals included. Operators' records stay with control. */
export function recordsSince(holder: RecordHolder, sinceIndex: number): RecordDelta[] {
  const deltas: RecordDelta[] = [];
  for (const [key, stored] of holder.records) {
    if (stored.modifiedIndex <= sinceIndex) continue;
    if (key.startsWith('settings/operators/')) continue;
    deltas.push({ key, stored });
  }
  return deltas;
}

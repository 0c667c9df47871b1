/** Typed read access to control records, used by control members and entries. */
import type { GroupName } from '../types/ids.js';
import type {
  CustomerSetting,
  GroupSetting,
  OperatorSetting,
  SettingValue,
} from '../settings/paths.js';
import { groupSchema } from '../settings/paths.js';
import type { Assignment, GroupRecord, Resource, SettingsDocument, StoredRecord } from './types.js';

/** A set of control records: a member's state or an entry's copy of it. */
export interface RecordStore {
  readonly records: ReadonlyMap<string, StoredRecord>;
}

/** A changed record, as sent to entries. */
export interface RecordDelta {
  readonly key: string;
  readonly stored: StoredRecord;
}

export function settingAt(store: RecordStore, path: string): SettingValue | undefined {
  const record = store.records.get(`settings/${path}`)?.record;
  return record?.kind === 'setting' ? record.value : undefined;
}

export function customerSetting(store: RecordStore, customer: string): CustomerSetting | undefined {
  return settingAt(store, `customers/${customer}`) as CustomerSetting | undefined;
}

export function operatorSetting(store: RecordStore, operator: string): OperatorSetting | undefined {
  return settingAt(store, `operators/${operator}`) as OperatorSetting | undefined;
}

export function groupSetting(store: RecordStore, group: GroupName): GroupSetting {
  const found = settingAt(store, `groups/${group}`) as GroupSetting | undefined;
  return found ?? groupSchema.parse({});
}

/** All settings, sorted by path. */
export function listSettings(store: RecordStore): { path: string; value: SettingValue }[] {
  const found: { path: string; value: SettingValue }[] = [];
  for (const { record } of store.records.values()) {
    if (record.kind === 'setting') found.push({ path: record.path, value: record.value });
  }
  return found.sort((left, right) => (left.path < right.path ? -1 : 1));
}

/** Paths of the keys of one customer. */
export function customerKeyPaths(store: RecordStore, customer: string): string[] {
  const prefix = `keys/${customer}/`;
  return listSettings(store)
    .map(({ path }) => path)
    .filter((path) => path.startsWith(prefix));
}

export function assignmentOf(store: RecordStore, resource: Resource): Assignment | undefined {
  const record = store.records.get(resource)?.record;
  return record?.kind === 'assignment' ? record.assignment : undefined;
}

/** Key of the record that holds the operators' settings document. */
export const DOCUMENT_KEY = 'document';

/** The current settings document, if operators have submitted one. */
export function documentOf(store: RecordStore): SettingsDocument | undefined {
  const record = store.records.get(DOCUMENT_KEY)?.record;
  return record?.kind === 'document' ? record.document : undefined;
}

export function listAssignments(store: RecordStore): Assignment[] {
  const found: Assignment[] = [];
  for (const { record } of store.records.values()) {
    if (record.kind === 'assignment') found.push(record.assignment);
  }
  return found;
}

export function groupRecordOf(store: RecordStore, group: GroupName): GroupRecord {
  const record = store.records.get(`groups/${group}`)?.record;
  if (record?.kind === 'group') return record.record;
  return { group, servers: [], primary: undefined, term: 0, proposedTerm: 0 };
}

/** Whether the replicas on record have all commits with which the primary on record started to lead. */
export function isPrimaryCovered({
  primary,
  term,
  proposedTerm,
  coveredTerm,
}: GroupRecord): boolean {
  return primary !== undefined && proposedTerm === term && coveredTerm === term;
}

export function listGroups(store: RecordStore): GroupRecord[] {
  const found: GroupRecord[] = [];
  for (const { record } of store.records.values()) {
    if (record.kind === 'group') found.push(record.record);
  }
  return found;
}

/** Records written after `sinceIndex`, including removals. Operator records are not sent to entries. */
export function recordsSince(store: RecordStore, sinceIndex: number): RecordDelta[] {
  const deltas: RecordDelta[] = [];
  for (const [key, stored] of store.records) {
    if (stored.modifiedIndex <= sinceIndex) continue;
    if (key.startsWith('settings/operators/')) continue;
    deltas.push({ key, stored });
  }
  return deltas;
}

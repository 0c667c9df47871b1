/** Replicated state machine of control: a reducer over committed commands. */
import { match } from 'ts-pattern';
import { checkSetting, isInSubtree } from '../settings/paths.js';
import { applyEvacuationChange } from '../placement/evacuations.js';
import type { GroupName } from '../types/ids.js';
import type {
  ApplyResult,
  ControlCommand,
  ControlRecord,
  GroupRecord,
  HistoryItem,
  CompletedOperation,
  SettingChange,
  StoredRecord,
} from './types.js';
import {
  assignmentOf,
  customerKeyPaths,
  DOCUMENT_KEY,
  documentOf,
  groupRecordOf,
  operatorSetting,
  settingAt,
} from './views.js';

/** How long results of operations are kept, so that a late retry receives the original result. */
const OPERATION_RETENTION_MS = 30 * 24 * 60 * 60 * 1000;
const HISTORY_LIMIT = 5_000;
const MAX_CHANGES_PER_APPLY = 1_000;

/** Operator of the bootstrap token in the members' settings files; may change the whole tree. */
export const BOOTSTRAP_OPERATOR = 'bootstrap';

export interface ControlState {
  appliedIndex: number;
  settingsRevision: number;
  readonly records: Map<string, StoredRecord>;
  readonly operations: Map<string, CompletedOperation>;
  history: HistoryItem[];
}

export function createControlState(): ControlState {
  return {
    appliedIndex: 0,
    settingsRevision: 0,
    records: new Map(),
    operations: new Map(),
    history: [],
  };
}

/**
 * Applies one committed command. Deterministic: every member computes the same result from the same log.
 *
 * @param index log index of the command; becomes the revision of an accepted settings change
 * @example
 * applyCommand(state, 12, { kind: 'group/observe', group, server });
 */
export function applyCommand(
  state: ControlState,
  index: number,
  command: ControlCommand,
): ApplyResult {
  state.appliedIndex = index;
  return match(command)
    .returnType<ApplyResult>()
    .with({ kind: 'settings/apply' }, (apply) => applySettingsOnce(state, index, apply))
    .with({ kind: 'document/put' }, (put) => applyDocumentPut(state, index, put))
    .with({ kind: 'evacuation/order' }, { kind: 'evacuation/withdraw' }, (change) =>
      applyEvacuationChange(state.records, index, change),
    )
    .with({ kind: 'owner/assign' }, (assign) => applyAssignment(state, index, assign))
    .with({ kind: 'group/observe' }, ({ group, server, from }) => {
      const record = groupRecordOf(state, group);
      if (record.servers.includes(server)) return { kind: 'done' };
      const rejection = from && checkOwnerEpoch(state, group, from.ownerEpoch);
      if (rejection) return rejection;
      if (from && from.memberCount !== record.servers.length)
        return { kind: 'superseded', reason: 'the members of the group have changed' };
      return putGroup(state, index, { ...record, servers: [...record.servers, server] });
    })
    .with({ kind: 'group/forget' }, ({ group, server }) => {
      const record = groupRecordOf(state, group);
      if (record.primary === server) {
        return { kind: 'superseded', reason: 'the server is the primary of its group' };
      }
      const servers = record.servers.filter((known) => known !== server);
      return putGroup(state, index, { ...record, servers });
    })
    .with({ kind: 'group/places' }, (stored) => applyPlaces(state, index, stored))
    .with({ kind: 'primary/propose' }, (propose) => applyPrimaryProposal(state, index, propose))
    .with({ kind: 'primary/commit' }, (commit) => applyPrimaryCommit(state, index, commit))
    .exhaustive();
}

type CommandOf<Kind extends ControlCommand['kind']> = Extract<ControlCommand, { kind: Kind }>;

function applySettingsOnce(
  state: ControlState,
  index: number,
  command: CommandOf<'settings/apply'>,
): ApplyResult {
  evictExpiredOperations(state, command.wallClockMs);
  const fingerprint = JSON.stringify([command.operator, command.baseRevision, command.changes]);
  const completed = state.operations.get(command.operationId);
  if (completed) {
    if (completed.fingerprint === fingerprint) return completed.result;
    return { kind: 'rejected', path: '', reason: 'operation id was used for another change' };
  }
  const result = applySettings(state, index, command);
  const { wallClockMs } = command;
  state.operations.set(command.operationId, { result, fingerprint, wallClockMs });
  return result;
}

function applySettings(
  state: ControlState,
  index: number,
  command: CommandOf<'settings/apply'>,
): ApplyResult {
  const rejection = validateChanges(state, command);
  if (rejection) return rejection;
  const isStale = command.baseRevision !== null && command.baseRevision !== state.settingsRevision;
  const paths = command.changes.map((change) => change.path);
  if (isStale) {
    return { kind: 'conflict', revision: state.settingsRevision, current: readPaths(state, paths) };
  }
  const previous = readPaths(state, paths);
  for (const { path, value } of command.changes) {
    const record: ControlRecord =
      value === null ? { kind: 'removed' } : { kind: 'setting', path, value };
    putRecord(state, index, `settings/${path}`, record);
  }
  state.settingsRevision = index;
  const { operator, operationId, wallClockMs, changes } = command;
  state.history.push({ revision: index, operator, operationId, wallClockMs, changes, previous });
  if (state.history.length > HISTORY_LIMIT) state.history = state.history.slice(-HISTORY_LIMIT);
  return { kind: 'accepted', revision: index };
}

function validateChanges(
  state: ControlState,
  command: CommandOf<'settings/apply'>,
): ApplyResult | undefined {
  const { changes, operator } = command;
  if (changes.length === 0) return { kind: 'rejected', path: '', reason: 'no changes given' };
  if (changes.length > MAX_CHANGES_PER_APPLY) {
    const reason = `more than ${MAX_CHANGES_PER_APPLY} changes at once`;
    return { kind: 'rejected', path: '', reason };
  }
  for (const { path, value } of changes) {
    if (!mayChange(state, operator, path)) {
      const reason = `operator ${operator} does not own this subtree`;
      return { kind: 'rejected', path, reason };
    }
    const rejection = checkChange(state, path, value, changes);
    if (rejection !== undefined) return { kind: 'rejected', path, reason: rejection };
  }
  return undefined;
}

function checkChange(
  state: ControlState,
  path: string,
  value: unknown,
  changes: readonly SettingChange[],
): string | undefined {
  if (value === null) return checkRemoval(state, path, changes);
  const checked = checkSetting(path, value);
  if (checked.isLeft())
    return checked
      .swap()
      .map((problem) => problem.reason)
      .extract();
  const customer = /^keys\/([^/]+)\//.exec(path)?.[1];
  if (customer === undefined) return undefined;
  const isCreated = changes.some(
    (change) => change.path === `customers/${customer}` && change.value !== null,
  );
  if (isCreated || settingAt(state, `customers/${customer}`) !== undefined) return undefined;
  return `customer ${customer} does not exist`;
}

function checkRemoval(
  state: ControlState,
  path: string,
  changes: readonly SettingChange[],
): string | undefined {
  if (settingAt(state, path) === undefined) return 'nothing stands at this path';
  const customer = /^customers\/(.+)$/.exec(path)?.[1];
  if (customer === undefined) return undefined;
  const removed = new Set(
    changes.filter((change) => change.value === null).map((each) => each.path),
  );
  const keptKey = customerKeyPaths(state, customer).find((keyPath) => !removed.has(keyPath));
  return keptKey === undefined ? undefined : `${keptKey} has to be withdrawn first`;
}

function mayChange(state: ControlState, operator: string, path: string): boolean {
  if (operator === BOOTSTRAP_OPERATOR) return true;
  const setting = operatorSetting(state, operator);
  return setting?.subtrees.some((prefix) => isInSubtree(path, prefix)) ?? false;
}

function readPaths(state: ControlState, paths: readonly string[]): SettingChange[] {
  return paths.map((path) => ({ path, value: settingAt(state, path) ?? null }));
}

/** A document that is not newer than the current one is accepted without any change. */
function applyDocumentPut(
  state: ControlState,
  index: number,
  { document }: CommandOf<'document/put'>,
): ApplyResult {
  const current = documentOf(state);
  if (current && document.version <= current.version) {
    return { kind: 'accepted', revision: current.version };
  }
  putRecord(state, index, DOCUMENT_KEY, { kind: 'document', document });
  state.settingsRevision = index;
  return { kind: 'accepted', revision: document.version };
}

function applyAssignment(
  state: ControlState,
  index: number,
  command: CommandOf<'owner/assign'>,
): ApplyResult {
  const { assignment } = command;
  const current = assignmentOf(state, assignment.resource);
  if (assignment.epoch !== (current?.epoch ?? 0) + 1) {
    return { kind: 'superseded', reason: 'the resource was assigned meanwhile' };
  }
  putRecord(state, index, assignment.resource, { kind: 'assignment', assignment });
  return { kind: 'done' };
}

function applyPlaces(
  state: ControlState,
  index: number,
  { group, ownerEpoch, places, coveredTerm, sequence = 0 }: CommandOf<'group/places'>,
): ApplyResult {
  const rejection = checkOwnerEpoch(state, group, ownerEpoch);
  if (rejection) return rejection;
  const record = groupRecordOf(state, group);
  const { placesFrom } = record;
  if (placesFrom?.ownerEpoch === ownerEpoch && sequence < placesFrom.sequence)
    return { kind: 'superseded', reason: 'newer places are on record' };
  const stored = { ...record, places, coveredTerm, placesFrom: { ownerEpoch, sequence } };
  return putGroup(state, index, stored);
}

function applyPrimaryProposal(
  state: ControlState,
  index: number,
  command: CommandOf<'primary/propose'>,
): ApplyResult {
  const rejection = checkOwnerEpoch(state, command.group, command.ownerEpoch);
  if (rejection) return rejection;
  const record = groupRecordOf(state, command.group);
  if (command.term <= record.proposedTerm) {
    return { kind: 'superseded', reason: `term ${record.proposedTerm} was proposed already` };
  }
  const { term, ownerEpoch, successor } = command;
  if (!successor) return putGroup(state, index, { ...record, proposedTerm: term });
  const { place, sequence } = successor;
  const others = (record.places ?? []).filter(({ server }) => server !== place.server);
  const placesFrom = { ownerEpoch, sequence };
  const places = [...others, place];
  return putGroup(state, index, { ...record, proposedTerm: term, places, placesFrom });
}

function applyPrimaryCommit(
  state: ControlState,
  index: number,
  command: CommandOf<'primary/commit'>,
): ApplyResult {
  const rejection = checkOwnerEpoch(state, command.group, command.ownerEpoch);
  if (rejection) return rejection;
  const record = groupRecordOf(state, command.group);
  const { term, server } = command;
  const isFirst = record.primary === undefined && record.proposedTerm === 0;
  if (!isFirst && term !== record.proposedTerm) {
    return { kind: 'superseded', reason: `term ${record.proposedTerm} is the one under way` };
  }
  if (record.term === term && record.primary !== server) {
    return { kind: 'superseded', reason: `term ${term} has a primary already` };
  }
  const servers = record.servers.includes(server) ? record.servers : [...record.servers, server];
  return putGroup(state, index, { ...record, servers, term, proposedTerm: term, primary: server });
}

function checkOwnerEpoch(
  state: ControlState,
  group: GroupName,
  ownerEpoch: number,
): ApplyResult | undefined {
  const epoch = assignmentOf(state, `group/${group}`)?.epoch ?? 0;
  if (epoch === ownerEpoch) return undefined;
  return { kind: 'superseded', reason: `owner epoch ${ownerEpoch} is over, ${epoch} holds` };
}

function putGroup(state: ControlState, index: number, record: GroupRecord): ApplyResult {
  putRecord(state, index, `groups/${record.group}`, { kind: 'group', record });
  return { kind: 'done' };
}

function putRecord(state: ControlState, index: number, key: string, record: ControlRecord): void {
  state.records.set(key, { record, modifiedIndex: index });
}

function evictExpiredOperations(state: ControlState, nowWallClockMs: number): void {
  for (const [id, operation] of state.operations) {
    if (nowWallClockMs - operation.wallClockMs < OPERATION_RETENTION_MS) return;
    state.operations.delete(id);
  }
}

/** Conversion of the control state to and from plain data for snapshots. */
import type { ControlState } from './control-state.js';
import type { HistoryItem, RememberedOperation, StoredRecord } from './types.js';

export interface ControlStateData {
  readonly appliedIndex: number;
  readonly settingsRevision: number;
  readonly records: readonly (readonly [string, StoredRecord])[];
  readonly operations: readonly (readonly [string, RememberedOperation])[];
  readonly history: readonly HistoryItem[];
}

/** Copies the state into plain data that any codec can write. */
export function exportControlState(state: ControlState): ControlStateData {
  return {
    appliedIndex: state.appliedIndex,
    settingsRevision: state.settingsRevision,
    records: [...state.records],
    operations: [...state.operations],
    history: state.history,
  };
}

/** Rebuilds the state from data written by {@link exportControlState}. */
export function importControlState(data: ControlStateData): ControlState {
  return {
    appliedIndex: data.appliedIndex,
    settingsRevision: data.settingsRevision,
    records: new Map(data.records),
    operations: new Map(data.operations),
    history: [...data.history],
  };
}

/** Conversion of the control state to and from serializable data for snapshots. */
import type { ControlState } from './control-state.js';
import type { HistoryItem, CompletedOperation, StoredRecord } from './types.js';

export interface ControlStateData {
  readonly appliedIndex: number;
  readonly settingsRevision: number;
  readonly records: readonly (readonly [string, StoredRecord])[];
  readonly operations: readonly (readonly [string, CompletedOperation])[];
  readonly history: readonly HistoryItem[];
}

/** Converts the state to plain data that any codec can encode. */
export function exportControlState(state: ControlState): ControlStateData {
  return {
    appliedIndex: state.appliedIndex,
    settingsRevision: state.settingsRevision,
    records: [...state.records],
    operations: [...state.operations],
    history: state.history,
  };
}

/** Restores the state from the data of {@link exportControlState}. */
export function importControlState(data: ControlStateData): ControlState {
  return {
    appliedIndex: data.appliedIndex,
    settingsRevision: data.settingsRevision,
    records: new Map(data.records),
    operations: new Map(data.operations),
    history: [...data.history],
  };
}

/** Evacuated zones: records, and the commands that order and withdraw an evacuation. */
import type {
  ApplyResult,
  ControlCommand,
  ControlRecord,
  Evacuation,
  StoredRecord,
} from '../control-state/types.js';
import type { RecordStore } from '../control-state/views.js';

export type EvacuationCommand = Extract<
  ControlCommand,
  { kind: 'evacuation/order' | 'evacuation/withdraw' }
>;

const KEY_PREFIX = 'evacuations/';

/** Key of the record that holds the evacuation of a zone. */
export function evacuationKey(zone: string): string {
  return `${KEY_PREFIX}${zone}`;
}

/**
 * Zones to whose targets nothing may be sent. Reads all records, so callers keep the result until the records
 * change.
 *
 * @example
 * if (evacuatedZones(records).has(target.zone)) return undefined;
 */
export function evacuatedZones(records: RecordStore): ReadonlySet<string> {
  return new Set(listEvacuations(records).map(({ zone }) => zone));
}

/** Whether one zone is evacuated; reads a single record. */
export function isZoneEvacuated(records: RecordStore, zone: string): boolean {
  return records.records.get(evacuationKey(zone))?.record.kind === 'evacuation';
}

/**
 * The evacuations in force, sorted by zone.
 *
 * @example
 * listEvacuations(control); // [{ zone: 'ub-a', orderedAtMs: 1_796_541_000_000 }]
 */
export function listEvacuations(records: RecordStore): Evacuation[] {
  const found: Evacuation[] = [];
  for (const { record } of records.records.values()) {
    if (record.kind === 'evacuation') found.push(record.evacuation);
  }
  return found.sort((left, right) => (left.zone < right.zone ? -1 : 1));
}

/**
 * Log index of the last order or withdrawal of a zone; 0 if there was none. A change is accepted only if it names
 * this index.
 *
 * @example
 * const expectedIndex = evacuationIndexOf(control, 'ub-a');
 * propose({ kind: 'evacuation/withdraw', zone: 'ub-a', expectedIndex });
 */
export function evacuationIndexOf(records: RecordStore, zone: string): number {
  return records.records.get(evacuationKey(zone))?.modifiedIndex ?? 0;
}

/**
 * Applies a committed order or withdrawal. A command that was proposed before the last one of the zone is
 * superseded, so that a delayed message cannot undo a later call. A command that asks for the present state is
 * accepted as well and keeps the time of the order; only the index is updated, because delayed messages that were
 * proposed before this call must not undo it either.
 *
 * @param index log index of the command
 */
export function applyEvacuationChange(
  records: Map<string, StoredRecord>,
  index: number,
  command: EvacuationCommand,
): ApplyResult {
  const { zone, expectedIndex } = command;
  const changedIndex = evacuationIndexOf({ records }, zone);
  if (changedIndex !== expectedIndex) {
    return { kind: 'superseded', reason: `the evacuation of ${zone} changed at ${changedIndex}` };
  }
  const record = recordAfter(records.get(evacuationKey(zone))?.record, command);
  records.set(evacuationKey(zone), { record, modifiedIndex: index });
  return { kind: 'done' };
}

/** The record of a withdrawn order stays as removed: its index rejects delayed orders. */
function recordAfter(
  current: ControlRecord | undefined,
  command: EvacuationCommand,
): ControlRecord {
  if (command.kind === 'evacuation/withdraw') return { kind: 'removed' };
  if (current?.kind === 'evacuation') return current;
  const { zone, wallClockMs } = command;
  return { kind: 'evacuation', evacuation: { zone, orderedAtMs: wallClockMs } };
}

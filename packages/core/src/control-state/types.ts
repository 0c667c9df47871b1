/** The control state machine's records, commands and results. */
import type { EntryId, GroupName, Incarnation, OperationId, ServerName } from '../types/ids.js';
import type { ServerPlace } from '../statements/types.js';
import type { SettingValue } from '../settings/paths.js';

/** Something that one entry holds under the lease of its incarnation: a group or a customer's rate. */
export type Resource = `group/${string}` | `customer/${string}`;

/** Which entry holds a resource. A higher epoch supersedes all lower ones. */
export interface Assignment {
  readonly resource: Resource;
  readonly epoch: number;
  readonly entryId: EntryId;
  readonly incarnation: Incarnation;
  readonly linkAddress: string;
  /** The zone that the resource is wanted in, kept for leaders that come later. */
  readonly wishedZone?: string | undefined;
}

/** What control knows of a database group: its servers, its primary and the term under way. */
export interface GroupRecord {
  readonly group: GroupName;
  readonly servers: readonly ServerName[];
  readonly primary: ServerName | undefined;
  /** The term whose primary was committed. */
  readonly term: number;
  /** The highest term proposed; above `term` while a change of primary is under way. */
  readonly proposedTerm: number;
  /** Where the servers were when an owner last wrote it down, for owners that have heard none yet. */
  readonly places?: readonly ServerPlace[];
}

/** A whole settings document that operators hand in under a version; the highest version holds. */
export interface SettingsDocument {
  readonly version: number;
  /** The document as the operator sent it, in a form that belongs to the adapter that accepted it. */
  readonly body: Uint8Array;
}

export type ControlRecord =
  | { readonly kind: 'setting'; readonly path: string; readonly value: SettingValue }
  | { readonly kind: 'assignment'; readonly assignment: Assignment }
  | { readonly kind: 'group'; readonly record: GroupRecord }
  | { readonly kind: 'document'; readonly document: SettingsDocument }
  | { readonly kind: 'removed' };

export interface StoredRecord {
  readonly record: ControlRecord;
  /** Log index of the command that wrote it. */
  readonly modifiedIndex: number;
}

export interface SettingChange {
  readonly path: string;
  /** `null` removes the path. */
  readonly value: SettingValue | null;
}

export type ControlCommand =
  | {
      readonly kind: 'settings/apply';
      readonly operationId: OperationId;
      readonly operator: string;
      /** `null` applies whatever the revision is. */
      readonly baseRevision: number | null;
      readonly changes: readonly SettingChange[];
      readonly wallClockMs: number;
    }
  | { readonly kind: 'document/put'; readonly document: SettingsDocument }
  | { readonly kind: 'owner/assign'; readonly assignment: Assignment }
  | { readonly kind: 'group/observe'; readonly group: GroupName; readonly server: ServerName }
  | { readonly kind: 'group/forget'; readonly group: GroupName; readonly server: ServerName }
  | {
      readonly kind: 'group/places';
      readonly group: GroupName;
      readonly ownerEpoch: number;
      readonly places: readonly ServerPlace[];
    }
  | {
      readonly kind: 'primary/propose';
      readonly group: GroupName;
      readonly ownerEpoch: number;
      readonly term: number;
    }
  | {
      readonly kind: 'primary/commit';
      readonly group: GroupName;
      readonly ownerEpoch: number;
      readonly term: number;
      readonly server: ServerName;
    };

export type ApplyResult =
  | { readonly kind: 'accepted'; readonly revision: number }
  | {
      readonly kind: 'conflict';
      readonly revision: number;
      /** What stands now at the paths that the refused change named. */
      readonly current: readonly SettingChange[];
    }
  | { readonly kind: 'rejected'; readonly path: string; readonly reason: string }
  | { readonly kind: 'done' }
  | { readonly kind: 'superseded'; readonly reason: string };

export interface HistoryItem {
  readonly revision: number;
  readonly operator: string;
  readonly operationId: OperationId;
  readonly wallClockMs: number;
  readonly changes: readonly SettingChange[];
  /** Values before the change, for rolling forward to an earlier revision. */
  readonly previous: readonly SettingChange[];
}

export interface RememberedOperation {
  readonly result: ApplyResult;
  readonly fingerprint: string;
  readonly wallClockMs: number;
}

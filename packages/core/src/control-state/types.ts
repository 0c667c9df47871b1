/** Records, commands and results of the control state machine. */
import type { EntryId, GroupName, Incarnation, OperationId, ServerName } from '../types/ids.js';
import type { ServerPlace } from '../statements/types.js';
import type { SettingValue } from '../settings/paths.js';

/**
 * A resource held by one entry under its lease: a database group, a customer's rate limit, or the reads of a group
 * at the replicas of one region (`reader/GROUP@REGION`).
 */
export type Resource = `group/${string}` | `customer/${string}` | `reader/${string}@${string}`;

export type ResourceKind = 'group' | 'customer' | 'reader';

export function kindOf(resource: Resource): ResourceKind {
  if (resource.startsWith('group/')) return 'group';
  return resource.startsWith('customer/') ? 'customer' : 'reader';
}

/** Which entry holds a resource. A higher epoch supersedes all lower ones. */
export interface Assignment {
  readonly resource: Resource;
  readonly epoch: number;
  readonly entryId: EntryId;
  readonly incarnation: Incarnation;
  readonly linkAddress: string;
  /** Zone of the holder; absent in assignments of former versions. */
  readonly zone?: string | undefined;
  /** Preferred zone of the resource, stored so that later leaders know it. */
  readonly wishedZone?: string | undefined;
  /**
   * For how long, in milliseconds, the former holder had certainly ended when this assignment was proposed;
   * `undefined` if that is unknown.
   */
  readonly formerEndedForMs?: number | undefined;
  /** Lease of the holder, in milliseconds, stored so that later leaders wait for its end. */
  readonly leaseMs?: number | undefined;
  /** Whether the former holder released the resource, after it had stopped acting on it. */
  readonly isHandedOver?: boolean | undefined;
  /** Whether the group is too heavy for narrow instances; once it is, it stays so. */
  readonly isHeavy?: boolean | undefined;
}

/** The state of a database group in control: its servers, primary and terms. */
export interface GroupRecord {
  readonly group: GroupName;
  readonly servers: readonly ServerName[];
  readonly primary: ServerName | undefined;
  /** Term of the last committed primary. */
  readonly term: number;
  /** The highest proposed term; greater than `term` while a change of primary is in progress. */
  readonly proposedTerm: number;
  /** Places of the servers as last stored by an owner, for owners without announcements yet. */
  readonly places?: readonly ServerPlace[];
  /** The owner that has stored them, and the number of its command; older commands of it are rejected. */
  readonly placesFrom?: { readonly ownerEpoch: number; readonly sequence: number };
  /** The last term of whose primary the replicas among `places` are known to have all commits with which it started. */
  readonly coveredTerm?: number | undefined;
}

/** A complete settings document submitted by operators. The highest version is in force. */
export interface SettingsDocument {
  readonly version: number;
  /** The submitted document, encoded by the adapter that accepted it. */
  readonly body: Uint8Array;
}

/** An order of operators that nothing is sent to the targets of a zone. */
export interface Evacuation {
  readonly zone: string;
  /** Wall-clock time of the order, shown to operators. */
  readonly orderedAtMs: number;
}

export type ControlRecord =
  | { readonly kind: 'setting'; readonly path: string; readonly value: SettingValue }
  | { readonly kind: 'assignment'; readonly assignment: Assignment }
  | { readonly kind: 'group'; readonly record: GroupRecord }
  | { readonly kind: 'document'; readonly document: SettingsDocument }
  | { readonly kind: 'evacuation'; readonly evacuation: Evacuation }
  | { readonly kind: 'removed' };

export interface StoredRecord {
  readonly record: ControlRecord;
  /** Log index of the command that wrote the record. */
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
      /** `null` applies the changes regardless of the current revision. */
      readonly baseRevision: number | null;
      readonly changes: readonly SettingChange[];
      readonly wallClockMs: number;
    }
  | { readonly kind: 'document/put'; readonly document: SettingsDocument }
  | {
      readonly kind: 'evacuation/order';
      readonly zone: string;
      /** Log index of the last order or withdrawal of the zone, as known to the proposer; 0 if there was none. */
      readonly expectedIndex: number;
      readonly wallClockMs: number;
    }
  | { readonly kind: 'evacuation/withdraw'; readonly zone: string; readonly expectedIndex: number }
  | { readonly kind: 'owner/assign'; readonly assignment: Assignment }
  | {
      readonly kind: 'group/observe';
      readonly group: GroupName;
      readonly server: ServerName;
      /** The owner that has found that the server may join the members that it knows, and how many these are. */
      readonly from?: { readonly ownerEpoch: number; readonly memberCount: number };
    }
  | { readonly kind: 'group/forget'; readonly group: GroupName; readonly server: ServerName }
  | {
      readonly kind: 'group/places';
      readonly group: GroupName;
      readonly ownerEpoch: number;
      readonly places: readonly ServerPlace[];
      /** Increases with each command under an epoch, so that one that arrives late does not undo a newer one. */
      readonly sequence?: number;
      readonly coveredTerm?: number | undefined;
    }
  | {
      readonly kind: 'primary/propose';
      readonly group: GroupName;
      readonly ownerEpoch: number;
      readonly term: number;
      /** Where the server is that is to lead, with the number of the command as for `group/places`. */
      readonly successor?: { readonly place: ServerPlace; readonly sequence: number };
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
      /** Current values at the paths of the rejected changes. */
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
  /** Values before the change, for restoring an earlier revision with a new change. */
  readonly previous: readonly SettingChange[];
}

export interface CompletedOperation {
  readonly result: ApplyResult;
  readonly fingerprint: string;
  readonly wallClockMs: number;
}

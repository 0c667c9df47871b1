/** What an entry's client of control offers and needs. */
import type {
  FormerHolder,
  Incarnation,
  RecordDelta,
  Resource,
  StoredRecord,
  TimingSettings,
} from '@bramleykeel/core';
import type { LinkError } from '@bramleykeel/link';
import type { Either } from 'purify-ts';

export interface ControlClient {
  readonly records: ReadonlyMap<string, StoredRecord>;
  readonly settingsRevision: () => number;
  readonly incarnation: () => Incarnation;
  /** Whether the entry holds an unexpired lease. */
  readonly holdsLease: () => boolean;
  /** Whether the settings are recent enough to check customers' keys against. */
  readonly hasFreshSettings: () => boolean;
  /** The epoch under which this entry holds a resource; `undefined` if it does not hold it. */
  readonly heldEpoch: (resource: Resource) => number | undefined;
  /**
   * For how long the former holder of a resource that this entry holds has certainly ended, in milliseconds;
   * 0 if that is unknown.
   */
  readonly formerHolderEndedForMs: (resource: Resource) => number;
  /** What is known about the former holder of a resource that this entry holds; `undefined` if it holds none. */
  readonly formerHolder: (resource: Resource) => FormerHolder | undefined;
  /** Sends a request to the control leader, or to another connected member while there is no link to the leader. */
  readonly call: (method: string, params: unknown) => Promise<Either<LinkError, unknown>>;
  /** Bytes exchanged with control over the links that are open now. */
  readonly traffic: () => { readonly receivedBytes: number; readonly sentBytes: number };
  /** Reports to control, in this and all later renewals, that the entry is stopping. */
  readonly startStopping: () => void;
  readonly close: () => void;
}

export interface ControlClientOptions {
  readonly entryId: string;
  /** Address at which other entries connect to this one. */
  readonly linkAddress: string;
  readonly zone: string;
  readonly linkMbps?: number;
  /** Whether a control member runs on the same instance. */
  readonly isBesideControl?: boolean;
  readonly linkSecret: string;
  readonly timing: TimingSettings;
  /** Link addresses of control members from the settings file; control reports further ones. */
  readonly memberAddresses: () => readonly string[];
}

/** Method names of questions about decisions. */
export type ExplainPart = 'explain/choice' | 'explain/rate';

export interface ControlClientHooks {
  readonly onRecords: (deltas: readonly RecordDelta[]) => void;
  readonly onStatusRequest: () => unknown;
  /** Answers a question of control about a decision of this entry; `undefined` if it cannot. */
  readonly onExplainRequest?: (part: ExplainPart, params: unknown) => unknown;
  /** The instance may have been suspended: time measurements taken before this call are invalid. */
  readonly onSuspension?: () => void;
  /** The lease was lost; everything held under it must be dropped. */
  readonly onLeaseEnded: () => void;
}

/** Messages between the system's own processes, over length-framed CBOR. */
import type { DocumentChange } from '../control-state/document-change.js';
import type { RecordDelta } from '../control-state/views.js';
import type { Intent } from '../route/choose-server.js';
import type { CustomerName, EntryId, GroupName, Incarnation, SessionId } from './ids.js';
import type { LogPosition } from './position.js';
import type { Refusal } from './outcome.js';

/** Transaction status as PostgreSQL reports it with ReadyForQuery. */
export type TransactionStatus = 'idle' | 'in-transaction' | 'failed-transaction';

/** A named prepared statement that a request refers to. */
export interface StatementDefinition {
  /** Name on target connections: the same for the same text and parameter types. */
  readonly name: string;
  /** The Parse message that creates it. */
  readonly parseMessage: Uint8Array;
}

/** How the answer to one message of a request is treated on its way back. */
export type ExpectedAnswer =
  | { readonly kind: 'parse'; readonly isHidden: boolean; readonly statement: string }
  | { readonly kind: 'close'; readonly isHidden: boolean; readonly statement: string };

/** Messages of a caller up to a Sync, a Query or a Flush. */
export interface RequestChunk {
  readonly messages: Uint8Array;
  /** Statements that must exist on the target connection before the messages are sent. */
  readonly statements: readonly StatementDefinition[];
  /** ParseComplete and CloseComplete answers in order, with those to leave out. */
  readonly expected: readonly ExpectedAnswer[];
  /** Whether the chunk ends the request (Sync or Query), so that ReadyForQuery follows. */
  readonly isFinal: boolean;
  /** Whether running the chunk may make changes last: a write on its own, or the end of a transaction. */
  readonly mayCommit: boolean;
}

/** A session setting that a request makes or clears when it succeeds. */
export interface SettingEffect {
  /** `null` clears all session settings. */
  readonly name: string | null;
  /** The SET statement, or `null` when the setting is cleared. */
  readonly text: string | null;
}

/** What an entry sends to the owner of a group. */
export type ToOwnerMessage =
  | {
      readonly kind: 'session/open';
      readonly session: SessionId;
      readonly group: GroupName;
      readonly ownerEpoch: number;
      readonly customer: CustomerName;
      readonly readAgeAllowanceMs: number | null;
      /** The mark the caller brought along, if it did. */
      readonly mark: LogPosition | null;
    }
  | {
      readonly kind: 'request/start';
      readonly session: SessionId;
      readonly number: number;
      readonly intent: Intent;
      readonly readAgeAllowanceMs: number | null;
      /** Session settings by name, each as the SET statement that makes it. */
      readonly settings: Readonly<Record<string, string>>;
      readonly settingEffect: SettingEffect | null;
      readonly chunk: RequestChunk;
    }
  | {
      readonly kind: 'request/more';
      readonly session: SessionId;
      readonly number: number;
      readonly chunk: RequestChunk;
    }
  | { readonly kind: 'request/credit'; readonly session: SessionId; readonly bytes: number }
  | { readonly kind: 'request/cancel'; readonly session: SessionId; readonly number: number }
  | { readonly kind: 'session/close'; readonly session: SessionId };

/** What an owner sends back to an entry. */
export type FromOwnerMessage =
  | {
      readonly kind: 'request/data';
      readonly session: SessionId;
      readonly number: number;
      readonly bytes: Uint8Array;
    }
  | {
      readonly kind: 'request/end';
      readonly session: SessionId;
      readonly number: number;
      readonly status: TransactionStatus;
      readonly mark: LogPosition;
      /** Set when the system itself ended the request; the caller gets this as its error. */
      readonly refusal: Refusal | null;
      /** Whether a replica served it. */
      readonly isFromReplica: boolean;
    }
  | { readonly kind: 'session/lost'; readonly session: SessionId; readonly refusal: Refusal };

/** The answer to an entry that asks what became of a request after a link broke. */
export type RequestFate = 'not-started' | 'may-have-run';

export interface FateQuery {
  /** The owner's epoch that the request was sent under: no other owner can know about it. */
  readonly ownerEpoch: number;
  readonly session: SessionId;
  readonly number: number;
}

/** An entry's renewal of its lease with the control leader. */
export interface LeaseRenewal {
  readonly entryId: EntryId;
  readonly incarnation: Incarnation;
  readonly linkAddress: string;
  readonly zone: string;
  readonly linkMbps?: number | undefined;
  readonly isBesideControl?: boolean | undefined;
  readonly isStopping: boolean;
  /** Index up to which the entry has all control records. */
  readonly knownIndex: number;
  /** Log index of the settings document that the entry has; changes can be told against it. */
  readonly documentIndex?: number | undefined;
  readonly settingsRevision: number;
}

export type LeaseReply =
  | {
      readonly kind: 'renewed';
      /** Validity counted from when the entry sent its renewal. */
      readonly leaseMs: number;
      readonly settingsLeaseMs: number;
      readonly sinceIndex: number;
      readonly deltas: readonly RecordDelta[];
      readonly documentChange?: DocumentChangeDelta;
      readonly appliedIndex: number;
      readonly settingsRevision: number;
      /** Link addresses of all control members, so that an entry finds those added later. */
      readonly memberAddresses?: readonly string[];
    }
  | { readonly kind: 'ended' }
  | {
      readonly kind: 'not-leader';
      readonly leaderId: string | null;
      readonly leaderAddress?: string | null;
      readonly memberAddresses?: readonly string[];
    };

/** A settings document in terms of an earlier one. */
export interface DocumentChangeDelta {
  readonly baseIndex: number;
  readonly modifiedIndex: number;
  readonly version: number;
  readonly change: DocumentChange;
}

/** Changed records, pushed by the leader to every entry that renews with it. */
export interface RecordsPush {
  /** Everything that changed after this index, up to `appliedIndex`, is among the deltas. */
  readonly sinceIndex: number;
  readonly deltas: readonly RecordDelta[];
  /** Stands for the settings document among the deltas where the entry has an earlier one. */
  readonly documentChange?: DocumentChangeDelta;
  readonly appliedIndex: number;
  readonly settingsRevision: number;
}

/** A draw of rate tokens from a customer's home. */
export interface TokenDraw {
  readonly customer: CustomerName;
  readonly epoch: number;
  readonly wanted: number;
  /** Tokens of an earlier draw that were not spent in time. */
  readonly returned: number;
}

export interface TokenGrant {
  readonly granted: number;
  /** Validity counted from when the draw was sent. */
  readonly lifetimeMs: number;
  /** When to ask again if nothing, or too little, was granted. */
  readonly retryAfterMs: number;
}

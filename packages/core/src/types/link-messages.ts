/** Messages between processes of the proxy, encoded as length-prefixed CBOR frames. */
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
  /** Name on target connections; the same for the same text and parameter types. */
  readonly name: string;
  /** The Parse message that creates it. */
  readonly parseMessage: Uint8Array;
}

/** How the answer to one message of a request is handled before it is returned to the caller. */
export type ExpectedAnswer =
  | { readonly kind: 'parse'; readonly isHidden: boolean; readonly statement: string }
  | { readonly kind: 'close'; readonly isHidden: boolean; readonly statement: string };

/** Messages of a caller up to and including a Sync, Query or Flush. */
export interface RequestChunk {
  readonly messages: Uint8Array;
  /** Statements that must exist on the target connection before the messages are sent. */
  readonly statements: readonly StatementDefinition[];
  /** Expected ParseComplete and CloseComplete answers in order, including those hidden from the caller. */
  readonly expected: readonly ExpectedAnswer[];
  /** Whether the chunk ends the request (Sync or Query), so that ReadyForQuery follows. */
  readonly isFinal: boolean;
  /** Whether the chunk may commit changes: a write outside a transaction, or the end of a transaction. */
  readonly mayCommit: boolean;
}

/** A session setting that a request sets or clears if it succeeds. */
export interface SettingEffect {
  /** `null` clears all session settings. */
  readonly name: string | null;
  /** The SET statement, or `null` when the setting is cleared. */
  readonly text: string | null;
}

/** Messages from an entry to the owner of a group. */
export type ToOwnerMessage =
  | {
      readonly kind: 'session/open';
      readonly session: SessionId;
      readonly group: GroupName;
      readonly ownerEpoch: number;
      readonly customer: CustomerName;
      readonly readAgeAllowanceMs: number | null;
      /** The session mark supplied by the caller, if any. */
      readonly mark: LogPosition | null;
    }
  | {
      readonly kind: 'request/start';
      readonly session: SessionId;
      readonly number: number;
      readonly intent: Intent;
      readonly readAgeAllowanceMs: number | null;
      /** SET statements of the session settings, by setting name. */
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

/** Messages from the owner of a group to an entry. */
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
      /** Set if the proxy itself ended the request; returned to the caller as the error. */
      readonly refusal: Refusal | null;
      /** Whether the request was executed on a replica. */
      readonly isFromReplica: boolean;
    }
  | { readonly kind: 'session/lost'; readonly session: SessionId; readonly refusal: Refusal };

/** Answer to a {@link RequestStatusQuery}, which an entry sends after its link to the owner broke. */
export type RequestStatus = 'not-started' | 'may-have-run';

export interface RequestStatusQuery {
  /** Epoch of the owner that the request was sent to; no other owner knows the request. */
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
  /** Time since the process bound `linkAddress`, or since it took this incarnation if that was later. */
  readonly incarnationAgeMs?: number | undefined;
  readonly isStopping: boolean;
  /** Log index up to which the entry has all control records. */
  readonly knownIndex: number;
  /** Log index of the entry's settings document, used as the base of diffs. */
  readonly documentIndex?: number | undefined;
  readonly settingsRevision: number;
  /** Whether the entry can decode records that are packed; entries of earlier versions cannot. */
  readonly acceptsPacked?: boolean | undefined;
  /** Whether the reply shall be without records, because the entry is reading its first copy from a member. */
  readonly omitsRecords?: boolean | undefined;
}

/**
 * A renewal that differs from the last full one of the same incarnation over the same link only in these values:
 * what the entry knows. Renewals are the most frequent messages of an idle system, so they are kept short.
 */
export type RepeatedRenewal = readonly [
  knownIndex: number,
  documentIndex: number | null,
  settingsRevision: number,
];

/** Answer to a repeated renewal if nothing but the lease has changed. */
export type ShortLeaseReply = readonly [leaseMs: number, settingsLeaseMs: number];

/** A value that is encoded once and sent to many peers. */
export interface PackedValue {
  readonly isDeflated: boolean;
  readonly bytes: Uint8Array;
}

/** Records as links carry them: packed for entries that accept it, unless there are none. */
export type CarriedRecords = RecordsPush | { readonly packed: PackedValue };

export type LeaseReply =
  | (CarriedRecords & {
      readonly kind: 'renewed';
      /** Validity in milliseconds, counted from when the entry sent its renewal. */
      readonly leaseMs: number;
      readonly settingsLeaseMs: number;
      /** Link addresses of all control members, so that entries discover members added later. */
      readonly memberAddresses?: readonly string[];
      /** Whether this member accepts {@link RepeatedRenewal}; members of earlier versions do not. */
      readonly acceptsRepeats?: boolean;
    })
  /** The lease is granted; the settings of the entry are not confirmed, because the reply omits the records. */
  | { readonly kind: 'registered'; readonly leaseMs: number }
  | { readonly kind: 'ended' }
  /** The member does not have the full renewal that was repeated; it has to be sent again. */
  | { readonly kind: 'full-renewal-needed' }
  | {
      readonly kind: 'not-leader';
      readonly leaderId: string | null;
      readonly leaderAddress?: string | null;
      readonly memberAddresses?: readonly string[];
    };

/** A settings document, as a diff against an earlier one. */
export interface DocumentChangeDelta {
  readonly baseIndex: number;
  readonly modifiedIndex: number;
  readonly version: number;
  readonly change: DocumentChange;
}

/** Changed records, pushed by the leader to every entry with a lease. */
export interface RecordsPush {
  /** The deltas contain all changes after this index, up to `appliedIndex`. */
  readonly sinceIndex: number;
  readonly deltas: readonly RecordDelta[];
  /** Replaces the settings document in the deltas if the entry has an earlier version of it. */
  readonly documentChange?: DocumentChangeDelta;
  readonly appliedIndex: number;
  readonly settingsRevision: number;
}

/** A request for rate tokens, sent to the entry that holds the customer's rate limit. */
export interface TokenRequest {
  readonly customer: CustomerName;
  readonly epoch: number;
  readonly wanted: number;
  /** Tokens of earlier grants that no operation has used. */
  readonly returned: readonly ReturnedTokens[];
}

/** Tokens of one grant that no operation has used; each is returned at most once. */
export interface ReturnedTokens {
  /** The epoch of the home that granted them; another one cannot credit them. */
  readonly epoch: number;
  readonly drawNumber: number;
  readonly count: number;
}

export interface TokenGrant {
  readonly granted: number;
  /** The epoch of the home, and its number of the draw; zero if nothing was granted, or by homes of earlier versions. */
  readonly epoch: number;
  readonly drawNumber: number;
  /** Validity in milliseconds, counted from when the request was sent. */
  readonly lifetimeMs: number;
  /** Delay in milliseconds before the next request if fewer tokens than wanted were granted. */
  readonly retryAfterMs: number;
}

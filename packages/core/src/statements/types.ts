/**
 * Statement-level requests: one statement of a caller at a time, with its values and prepared names
 * carried along, between an entry and the owner of the group.
 */
import type { CustomerName, GroupName, ServerName } from '../types/ids.js';
import type { LogPosition } from '../types/position.js';

/**
 * What a read may miss.
 *
 * - `newest`: nothing that was acknowledged before it.
 * - `bounded-age`: what was acknowledged less than `maxReadAgeMs` before it.
 * - `own-writes`: the same, but never a commit of its own session.
 */
export type ReadConsistency = 'newest' | 'bounded-age' | 'own-writes';

/** Where a database name leads, and under which terms. */
export interface StatementRoute {
  readonly name: string;
  readonly group: GroupName;
  readonly consistency: ReadConsistency;
  readonly maxReadAgeMs: number;
  readonly statementTimeoutMs: number;
  /** Time in which a whole operation should be answered. */
  readonly objectiveMs: number;
  /** Zero is the highest priority. */
  readonly priority: number;
  readonly isOpenToAll: boolean;
}

export interface StatementCustomer {
  readonly name: CustomerName;
  readonly keys: readonly string[];
  readonly ratePerSecond: number;
  readonly burst: number;
  /** Tokens that a home of its rate starts with when it follows on another. */
  readonly afterMove: number;
}

export interface StatementGroup {
  readonly group: GroupName;
  readonly maxConnections: number;
  /** Whether a commit is acknowledged only once a replica has received it. */
  readonly isSynchronous: boolean;
}

/** An operators' document, decoded into what entries decide by. */
export interface StatementSettings {
  readonly version: number;
  readonly routes: ReadonlyMap<string, StatementRoute>;
  readonly groups: ReadonlyMap<GroupName, StatementGroup>;
  readonly customers: ReadonlyMap<CustomerName, StatementCustomer>;
  readonly customerByKey: ReadonlyMap<string, StatementCustomer>;
  readonly idleTransactionMs: number;
}

/** A server's announcement of itself, as decoded by the adapter. */
/** Where a server is, and how much it takes at a time. */
export interface ServerPlace {
  readonly server: ServerName;
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
}

export interface ServerAnnouncement extends ServerPlace {
  readonly group: GroupName;
  readonly role: 'primary' | 'replica';
  readonly isLeaving: boolean;
  /** Start of the server's process, in milliseconds of the time of day; orders incarnations. */
  readonly bornMs: number;
  readonly sequence: number;
}

/** Whether `next` was said after `known` by the same server. */
export function isNewerAnnouncement(next: ServerAnnouncement, known: ServerAnnouncement): boolean {
  if (next.bornMs !== known.bornMs) return next.bornMs > known.bornMs;
  return next.sequence > known.sequence;
}

export type StatementAccess = 'read' | 'write' | 'commit';

/** What a caller's statement says, in the dialect's own text. */
export type StatementBody =
  | { readonly kind: 'plain'; readonly text: string }
  | {
      readonly kind: 'prepared';
      readonly access: 'read' | 'write';
      readonly shape: string;
      readonly argument: string;
    };

export interface TransactionRef {
  /** Unique at the entry that the caller is connected to. */
  readonly number: number;
  readonly isReadOnly: boolean;
  /** Whether nothing of the transaction was sent to the owner before. */
  readonly isFirst: boolean;
}

export interface StatementRequest {
  /** Unique at the entry that the caller is connected to. */
  readonly number: number;
  /** The caller's own id of the statement, passed on unchanged. */
  readonly tag: string;
  readonly access: StatementAccess;
  readonly body: StatementBody;
  readonly transaction: TransactionRef | null;
  readonly customer: CustomerName;
  readonly priority: number;
  readonly consistency: ReadConsistency;
  readonly maxReadAgeMs: number;
  /** The newest commit of the caller's session. */
  readonly mark: LogPosition | null;
  /** Session values by name. */
  readonly values: Readonly<Record<string, string>>;
  /** Time left for the statement, counted from its arrival at the owner. */
  readonly budgetMs: number;
  /** Time in which it has to be sent to a server, or be refused as not run. */
  readonly startWithinMs: number;
}

/** Why a statement was refused although nothing of it ran. */
export type StatementRefusalReason =
  | 'no-owner'
  | 'no-primary'
  | 'owner-lost-before-start'
  | 'queue-full'
  | 'queue-timeout'
  | 'rate-exceeded'
  | 'rate-home-unreachable'
  | 'settings-lease-expired'
  | 'key-rejected'
  | 'unknown-database'
  | 'entry-stopping'
  | 'unsupported-statement';

/**
 * What became of a statement.
 *
 * - `done`: the server ran it; `signature` is the server's own.
 * - `not-run`: nothing of it ran, and nothing of its transaction is kept.
 * - `aborted`: its transaction is over and nothing of it is kept.
 * - `failed`: the server ran it and reported a failure.
 * - `timed-out`, `unknown`: it may have run.
 */
export type StatementOutcome =
  | {
      readonly kind: 'done';
      readonly rows: readonly string[];
      readonly signature: string;
      /** Position of the server's log after the statement. */
      readonly position: LogPosition | null;
      readonly isFromReplica: boolean;
    }
  | {
      readonly kind: 'not-run';
      readonly reason: StatementRefusalReason;
      readonly retryAfterMs: number;
    }
  | { readonly kind: 'aborted'; readonly reason: string }
  | { readonly kind: 'failed'; readonly text: string }
  | { readonly kind: 'timed-out' }
  | { readonly kind: 'unknown'; readonly reason: string };

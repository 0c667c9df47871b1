/**
 * Types of statement-level requests between an entry and the owner of a group. Each request carries
 * one statement of a caller, with its session values and prepared statement.
 */
import type { CustomerName, GroupName, ServerName } from '../types/ids.js';
import type { Homes } from '../placement/home-regions.js';
import type { LogPosition } from '../types/position.js';

/**
 * Which commits a read is guaranteed to see.
 *
 * - `newest`: every commit acknowledged before the read.
 * - `bounded-age`: every commit acknowledged at least `maxReadAgeMs` before the read.
 * - `own-writes`: as `bounded-age`, and every commit of the read's own session.
 */
export type ReadConsistency = 'newest' | 'bounded-age' | 'own-writes';

/** The group behind a database name, with the consistency and limits that apply. */
export interface StatementRoute {
  readonly name: string;
  readonly group: GroupName;
  readonly consistency: ReadConsistency;
  readonly maxReadAgeMs: number;
  readonly statementTimeoutMs: number;
  /** Response time objective for a whole operation, in milliseconds. */
  readonly objectiveMs: number;
  /** Zero is the highest priority. */
  readonly priority: number;
  readonly isOpenToAll: boolean;
  /** Regions in which its statements may run; empty without a limit. */
  readonly homeRegions: readonly string[];
}

export interface StatementCustomer {
  readonly name: CustomerName;
  readonly keys: readonly string[];
  readonly ratePerSecond: number;
  readonly burst: number;
  /** Tokens that a new home of the customer's rate limit starts with when it takes over from another. */
  readonly afterMove: number;
  /** Regions in which its statements may run; empty without a limit. */
  readonly homeRegions: readonly string[];
}

export interface StatementGroup {
  readonly group: GroupName;
  readonly maxConnections: number;
  /** Whether a commit is acknowledged only once a replica has received it. */
  readonly isSynchronous: boolean;
  /** Requests that a server may get in a second while it is cold; zero without a limit. */
  readonly coldRatePerSecond: number;
}

/** Settings of the entries, decoded from an operators' document. */
export interface StatementSettings {
  readonly version: number;
  readonly routes: ReadonlyMap<string, StatementRoute>;
  readonly groups: ReadonlyMap<GroupName, StatementGroup>;
  readonly customers: ReadonlyMap<CustomerName, StatementCustomer>;
  readonly customerByKey: ReadonlyMap<string, StatementCustomer>;
  readonly idleTransactionMs: number;
}

/** Address, zone and capacity of a server. */
export interface ServerPlace {
  readonly server: ServerName;
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  /** Wall-clock start time of the server's process, in milliseconds; tells its incarnations apart. */
  readonly bornMs?: number;
  /** The announcement that first said that the server leaves; `undefined` while it stays. */
  readonly leavingSince?: AnnouncementNumber | undefined;
}

/** Orders the announcements under one server name: by the start of the process, then within it. */
export interface AnnouncementNumber {
  readonly bornMs: number;
  readonly sequence: number;
}

/** A server's announcement of itself, as decoded by the adapter. */
export interface ServerAnnouncement extends ServerPlace {
  readonly group: GroupName;
  readonly role: 'primary' | 'replica';
  readonly isLeaving: boolean;
  readonly bornMs: number;
  readonly sequence: number;
  /** For how long the server was still cold when it sent the announcement, in milliseconds; absent if it was not. */
  readonly coldLeftMs?: number;
}

/** Returns whether `next` is newer than `current`, an announcement of the same server. */
export function isNewerAnnouncement(
  next: AnnouncementNumber,
  current: AnnouncementNumber,
): boolean {
  if (next.bornMs !== current.bornMs) return next.bornMs > current.bornMs;
  return next.sequence > current.sequence;
}

/**
 * Keeps the first of the announcements that say that a server leaves.
 *
 * @param known the first one that is known so far
 *
 * @example
 * leavingSinceOf({ ...announcement, isLeaving: true, bornMs: 1, sequence: 9 }, undefined); // { bornMs: 1, sequence: 9 }
 */
export function leavingSinceOf(
  { isLeaving, bornMs, sequence, leavingSince }: ServerAnnouncement,
  known: AnnouncementNumber | undefined,
): AnnouncementNumber | undefined {
  return isLeaving ? (known ?? leavingSince ?? { bornMs, sequence }) : undefined;
}

export type StatementAccess = 'read' | 'write' | 'commit';

/** Content of a caller's statement, in the syntax of its protocol. */
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
  /** Whether this is the first statement of the transaction sent to the owner. */
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
  /** Time left for the statement from its arrival at the owner, in milliseconds. */
  readonly budgetMs: number;
  /** Time within which it must be sent to a server or refused as not run, in milliseconds. */
  readonly startWithinMs: number;
  /** Regions in which it may run, and through whose processes it may pass. */
  readonly homes: Homes;
  /** Response time objective of its route, in milliseconds; absent without overload control. */
  readonly objectiveMs?: number;
  /** The database that its caller named; absent while no route or customer is limited to some regions. */
  readonly database?: string;
}

/** Why a statement was refused before it ran. */
export type StatementRefusalReason =
  | 'no-owner'
  | 'no-primary'
  | 'no-home-server'
  | 'overloaded'
  | 'owner-lost-before-start'
  | 'queue-full'
  | 'queue-timeout'
  | 'rate-exceeded'
  | 'rate-home-unreachable'
  | 'settings-lease-expired'
  | 'key-rejected'
  | 'unknown-database'
  | 'entry-stopping'
  | 'memory-pressure'
  | 'too-many-connections'
  /** Its caller has disconnected. */
  | 'withdrawn'
  | 'unsupported-statement';

/**
 * Outcome of a statement.
 *
 * - `done`: the server ran it; `signature` is the one that the server returned.
 * - `not-run`: it did not run, and its transaction, if any, is not committed.
 * - `aborted`: its transaction has ended and was rolled back.
 * - `failed`: the server ran it and reported an error.
 * - `timed-out`, `unknown`: it may have run.
 */
export type StatementOutcome =
  | {
      readonly kind: 'done';
      readonly rows: readonly string[];
      readonly signature: string;
      /** Log position of the server after the statement. */
      readonly position: LogPosition | null;
      readonly isFromReplica: boolean;
    }
  | {
      readonly kind: 'not-run';
      readonly reason: StatementRefusalReason;
      readonly retryAfterMs: number;
      /** Set if certainly no part of it was sent to a target; its rate token is returned then. */
      readonly reachedNoTarget?: boolean;
    }
  | { readonly kind: 'aborted'; readonly reason: string }
  | { readonly kind: 'failed'; readonly text: string }
  | { readonly kind: 'timed-out' }
  | { readonly kind: 'unknown'; readonly reason: string };

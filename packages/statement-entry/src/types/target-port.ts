/** What a dialect offers towards servers: connections that take one order at a time. */
import type { CustomerName, GroupName, LogPosition, ServerName } from '@bramleykeel/core';

/** An order to a server. Those with a `tag` are statements of callers; all others are our own. */
export type TargetOrder =
  | { readonly kind: 'set'; readonly name: string; readonly value: string }
  | { readonly kind: 'reset' }
  | {
      readonly kind: 'prepare';
      readonly name: string;
      readonly access: 'read' | 'write';
      readonly shape: string;
    }
  | { readonly kind: 'begin'; readonly isReadOnly: boolean; readonly after: LogPosition | null }
  | { readonly kind: 'rollback' }
  | {
      readonly kind: 'run';
      readonly tag: string;
      readonly after: LogPosition | null;
      readonly text: string;
    }
  | {
      readonly kind: 'execute';
      readonly tag: string;
      readonly after: LogPosition | null;
      readonly name: string;
      readonly argument: string;
    }
  | { readonly kind: 'status' }
  | { readonly kind: 'pause'; readonly term: number }
  | { readonly kind: 'resume' }
  | { readonly kind: 'demote'; readonly term: number };

export type ConnectionState = 'idle' | 'open' | 'failed';

/** Why a server did not run an order. */
export type TargetRefusal =
  | 'busy'
  | 'lagging'
  | 'read-only'
  | 'unknown-statement'
  | 'misrouted'
  | 'too-many-connections'
  | 'aborted'
  | 'malformed';

export type TargetAnswer =
  | {
      readonly kind: 'done';
      readonly rows: readonly string[];
      readonly signature: string;
      readonly state: ConnectionState;
      readonly position: LogPosition | null;
    }
  | { readonly kind: 'refused'; readonly code: TargetRefusal; readonly state: ConnectionState }
  /** The order ran and failed. */
  | { readonly kind: 'failed'; readonly text: string; readonly state: ConnectionState }
  /** The server gave up on it, or does not know; it may have run. */
  | { readonly kind: 'timed-out'; readonly state: ConnectionState }
  | { readonly kind: 'unknown'; readonly state: ConnectionState }
  /** The connection ended before the whole answer had come. */
  | { readonly kind: 'lost' }
  /** No whole answer came in the time given; the connection is closed. */
  | { readonly kind: 'overdue' };

export interface TargetConnection {
  readonly customer: CustomerName;
  /** Sends an order and waits for its whole answer, `timeoutMs` at most. */
  readonly send: (order: TargetOrder, timeoutMs: number) => Promise<TargetAnswer>;
  readonly isOpen: () => boolean;
  readonly close: () => void;
}

export interface OpenTargetRequest {
  readonly address: string;
  readonly group: GroupName;
  readonly server: ServerName;
  readonly customer: CustomerName;
  readonly timeoutMs: number;
}

export type OpenTargetOutcome =
  | {
      readonly kind: 'open';
      readonly connection: TargetConnection;
      readonly position: LogPosition | null;
    }
  | { readonly kind: 'refused'; readonly code: TargetRefusal }
  /** `refused` by the address, no answer in time, or closed while opening. */
  | { readonly kind: 'failed'; readonly why: 'unreachable' | 'silent' | 'closed' };

export type OpenTarget = (request: OpenTargetRequest) => Promise<OpenTargetOutcome>;

/** What a server says about itself when it is asked. */
export interface TargetStatus {
  readonly role: 'primary' | 'replica';
  readonly term: number;
  readonly position: LogPosition;
  /** The newest term that it was paused or demoted under. */
  readonly heldTerm: number;
}

/** Reads the rows that answer a status, pause or demote order; `undefined` when they make no sense. */
export type ReadTargetStatus = (rows: readonly string[]) => TargetStatus | undefined;

/** The result of asking the platform to promote a server. */
export type PromoteOutcome =
  | 'accepted'
  /** A higher token was seen, or the server does not run. */
  | 'refused'
  | 'try-later'
  | 'unanswered';

export interface PromoteRequest {
  readonly group: GroupName;
  readonly server: ServerName;
  readonly holder: string;
  readonly token: number;
}

export type PromoteServer = (request: PromoteRequest) => Promise<PromoteOutcome>;

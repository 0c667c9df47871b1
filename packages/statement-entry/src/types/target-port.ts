/** Interface between a dialect and servers: connections that handle one order at a time. */
import type { CustomerName, GroupName, LogPosition, ServerName } from '@bramleykeel/core';

/** An order to a server. Orders with a `tag` are callers' statements; all others are the entry's own. */
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
      readonly isWrite: boolean;
      readonly after: LogPosition | null;
      readonly text: string;
    }
  | {
      readonly kind: 'execute';
      readonly tag: string;
      readonly isWrite: boolean;
      readonly after: LogPosition | null;
      readonly name: string;
      readonly argument: string;
    }
  /** Ends the transaction of the connection. */
  | { readonly kind: 'commit'; readonly tag: string; readonly text: string }
  | { readonly kind: 'status' }
  | { readonly kind: 'pause'; readonly term: number }
  | { readonly kind: 'resume' }
  | { readonly kind: 'demote'; readonly term: number };

export type ConnectionState = 'idle' | 'open' | 'failed';

/** Reason why a server did not run an order. */
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
  /** The server timed out, or does not know the outcome; the order may have run. */
  | { readonly kind: 'timed-out'; readonly state: ConnectionState }
  | { readonly kind: 'unknown'; readonly state: ConnectionState }
  /** The connection was closed before the complete answer arrived. */
  | { readonly kind: 'lost' }
  /** No complete answer arrived within the timeout; the connection is closed. */
  | { readonly kind: 'overdue' }
  /**
   * An answer arrived that is not that of the order, or cannot be read; the connection is closed. The order may have run,
   * also outside of the transaction that it belongs to.
   */
  | { readonly kind: 'foreign' };

export interface TargetConnection {
  readonly customer: CustomerName;
  /** Sends an order and waits up to `timeoutMs` for its complete answer. */
  readonly send: (order: TargetOrder, timeoutMs: number) => Promise<TargetAnswer>;
  /** Whether the connection can be sent an order, now or once the pending one is answered. */
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
  /** The address refused the connection, did not answer in time, or closed it while it was being opened. */
  | { readonly kind: 'failed'; readonly why: 'unreachable' | 'silent' | 'closed' };

export type OpenTarget = (request: OpenTargetRequest) => Promise<OpenTargetOutcome>;

/** The status that a server reports. */
export interface TargetStatus {
  readonly role: 'primary' | 'replica';
  readonly term: number;
  readonly position: LogPosition;
  /** The newest term under which the server was paused or demoted. */
  readonly heldTerm: number;
  /** Connections that are open to the server, of all callers together. */
  readonly connections: number;
}

/** Parses the rows that answer a status, pause, resume or demote order; `undefined` if they are malformed. */
export type ReadTargetStatus = (rows: readonly string[]) => TargetStatus | undefined;

/** The result of a request to the platform to promote a server. */
export type PromoteOutcome =
  | 'accepted'
  /** The platform has seen a higher fence token, or the server is not running. */
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

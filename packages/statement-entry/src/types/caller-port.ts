/** Interface between a dialect and callers' sessions: decoded requests, and a port for answers. */
import type { LogPosition, StatementOutcome } from '@bramleykeel/core';
import type { ConnectionState } from './target-port.js';

/** A caller's request, decoded by the dialect. */
export type CallerRequest =
  | { readonly kind: 'begin'; readonly isReadOnly: boolean }
  | { readonly kind: 'commit'; readonly tag: string; readonly text: string }
  | { readonly kind: 'rollback' }
  | {
      readonly kind: 'statement';
      readonly tag: string;
      readonly access: 'read' | 'write';
      readonly text: string;
    }
  | {
      readonly kind: 'execute';
      readonly tag: string;
      readonly name: string;
      readonly argument: string;
    }
  | { readonly kind: 'set'; readonly name: string; readonly value: string }
  | {
      readonly kind: 'prepare';
      readonly name: string;
      readonly access: 'read' | 'write';
      readonly shape: string;
    }
  | { readonly kind: 'deallocate'; readonly name: string }
  | { readonly kind: 'malformed'; readonly reason: string }
  /** A request that is not run because clients have used up the memory that the entry has for them. */
  | { readonly kind: 'overloaded' };

/** Reason why a caller's request has no result. */
export type CallerError =
  | Exclude<StatementOutcome, { kind: 'done' }>
  | { readonly kind: 'malformed'; readonly reason: string }
  | { readonly kind: 'unknown-prepared-name'; readonly name: string };

/** A caller's connection as used by its session. */
export interface CallerPort {
  /** `signature` is `null` for requests that the entry answers itself. */
  readonly answer: (
    rows: readonly string[],
    signature: string | null,
    state: ConnectionState,
    position: LogPosition | null,
  ) => void;
  readonly refuse: (error: CallerError, state: ConnectionState) => void;
  readonly close: () => void;
  /** Called after each request of the session has ended, in their order. */
  readonly endRequest: () => void;
  /** Called with the number of bytes of values and prepared statements that the session keeps. */
  readonly keepState: (bytes: number) => void;
}

/** Types of the change-of-primary decision. */
import type { GroupRecord } from '../control-state/types.js';
import type { GroupView } from '../route/server-view.js';
import type { ServerName } from '../types/ids.js';
import type { FencePromise } from '../types/target.js';

/** What a probe of a server's address has shown. */
export type ProbeResult = 'answered' | 'refused' | 'silent';

export type FailoverPhase =
  /** No primary was ever recorded: waiting for one to announce itself. */
  | { readonly kind: 'adopting'; readonly sinceMs: number }
  | { readonly kind: 'steady' }
  /** A leaving primary takes no new writes while a replica catches up with it. */
  | { readonly kind: 'draining'; readonly sinceMs: number }
  | { readonly kind: 'proposing'; readonly term: number; readonly sentAtMs: number }
  | {
      readonly kind: 'fencing';
      readonly term: number;
      readonly promises: ReadonlyMap<ServerName, FencePromise>;
      readonly sentAtMs: number;
    }
  | {
      readonly kind: 'committing';
      readonly term: number;
      readonly server: ServerName;
      readonly sentAtMs: number;
    }
  | {
      readonly kind: 'promoting';
      readonly term: number;
      readonly server: ServerName;
      readonly sinceMs: number;
      readonly sentAtMs: number;
    };

export interface FailoverState {
  phase: FailoverPhase;
  /** Start of the present run of failed probes of the primary; `undefined` while it answers. */
  failingSinceMs: number | undefined;
  refusedCount: number;
  readonly followSentMs: Map<ServerName, number>;
}

export type FailoverEvent =
  | { readonly kind: 'tick' }
  | { readonly kind: 'probed'; readonly result: ProbeResult }
  | { readonly kind: 'proposed'; readonly term: number; readonly isAccepted: boolean }
  | { readonly kind: 'promised'; readonly promise: FencePromise }
  | { readonly kind: 'committed'; readonly term: number; readonly isAccepted: boolean };

export type FailoverEffect =
  | { readonly kind: 'propose'; readonly term: number }
  | { readonly kind: 'commit'; readonly term: number; readonly server: ServerName }
  | { readonly kind: 'fence'; readonly server: ServerName; readonly term: number }
  | { readonly kind: 'promote'; readonly server: ServerName; readonly term: number }
  | {
      readonly kind: 'follow';
      readonly server: ServerName;
      readonly term: number;
      readonly primary: ServerName;
    };

export interface FailoverTiming {
  /** A primary that is silent this long is given up. */
  readonly suspectAfterMs: number;
  /** Commands without an answer are sent again after this time. */
  readonly resendMs: number;
  /** A promoted server that does not announce itself in this time is given up. */
  readonly promoteTimeoutMs: number;
  /** A leaving primary is replaced after this time even if no replica has caught up. */
  readonly drainTimeoutMs: number;
}

export interface FailoverContext {
  readonly record: GroupRecord;
  readonly view: GroupView;
  readonly timing: FailoverTiming;
  readonly runningWrites: number;
  readonly nowMs: number;
}

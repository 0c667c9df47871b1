/** Types of the failover state machine. */
import type { GroupRecord } from '../control-state/types.js';
import type { GroupView } from '../route/server-view.js';
import type { ServerName } from '../types/ids.js';
import type { FencePromise } from '../types/target.js';

/** Result of a connection attempt to a server's address. */
export type ProbeResult = 'answered' | 'refused' | 'silent';

export type FailoverPhase =
  /** No primary has been recorded yet; waits for a server to announce itself as one. */
  | { readonly kind: 'adopting'; readonly sinceMs: number }
  | { readonly kind: 'steady' }
  /** The primary is leaving or in an evacuated zone: it gets no new writes while a replica catches up. */
  | {
      readonly kind: 'draining';
      readonly sinceMs: number;
      /** Whether the statements that still run were cancelled. */
      readonly hasCancelled: boolean;
    }
  | { readonly kind: 'proposing'; readonly term: number; readonly sentAtMs: number }
  | {
      readonly kind: 'fencing';
      readonly term: number;
      readonly promises: ReadonlyMap<ServerName, FencePromise>;
      readonly sinceMs: number;
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
  /** Time of the first of the current consecutive failed probes; `undefined` while the primary answers. */
  failingSinceMs: number | undefined;
  /** Number of consecutive refused probes. */
  refusedCount: number;
  /** When `follow` was last sent to each server. */
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
  /** Cancel the statements that still run on a server that is drained in this term. */
  | { readonly kind: 'cancel'; readonly server: ServerName; readonly term: number }
  | {
      readonly kind: 'follow';
      readonly server: ServerName;
      readonly term: number;
      readonly primary: ServerName;
    };

export interface FailoverTiming {
  /** A primary that has not answered for this long is replaced. */
  readonly suspectAfterMs: number;
  /** Unanswered commands are sent again after this time. */
  readonly resendMs: number;
  /** A promoted server that has not announced itself as primary within this time is replaced. */
  readonly promoteTimeoutMs: number;
  /** A draining primary is replaced after this time even if no replica has caught up. */
  readonly drainTimeoutMs: number;
  /** The same for one that stays and is replaced for an evacuation, while it runs statements. */
  readonly evacuationDrainMs: number;
  /** Statements that still run there are cancelled this long before that. */
  readonly cancelLeadMs: number;
  /** A server that has not announced itself for this long does not replace a primary in an evacuated zone. */
  readonly staleAnnouncementMs: number;
}

export interface FailoverContext {
  readonly record: GroupRecord;
  readonly view: GroupView;
  readonly timing: FailoverTiming;
  /** Connections in use at the primary, also by idle transactions, and writes that await confirmation. */
  readonly runningWrites: number;
  /** Statements on a drained primary that cannot be run elsewhere instead, and writes that await confirmation. */
  readonly runningStatements: number;
  readonly evacuatedZones: ReadonlySet<string>;
  readonly nowMs: number;
}

/** Types of the replicated control log: entries, membership, messages, events and effects. */
import type { DiskId, MemberId } from '../types/ids.js';

/** A control member as recorded in the log. A member that reports another `diskId` has lost its disk. */
export interface MemberRecord {
  readonly address: string;
  readonly adminAddress: string;
  readonly diskId: DiskId;
  readonly isVoter: boolean;
  /** `false` for a member without persistent storage: it receives the log but never votes. */
  readonly isEligible?: boolean;
}

export type Membership = Readonly<Record<string, MemberRecord>>;

export type LogPayload<Command> =
  | { readonly kind: 'noop' }
  | { readonly kind: 'membership'; readonly membership: Membership }
  | { readonly kind: 'command'; readonly command: Command };

export interface LogEntry<Command> {
  readonly index: number;
  readonly term: number;
  readonly payload: LogPayload<Command>;
}

/** The log position up to which entries are replaced by state machine data. */
export interface SnapshotMeta {
  readonly index: number;
  readonly term: number;
  readonly membership: Membership;
}

export interface Snapshot extends SnapshotMeta {
  readonly data: Uint8Array;
}

export type RaftMessage<Command> =
  | {
      readonly kind: 'vote-request';
      readonly isPreVote: boolean;
      readonly term: number;
      readonly lastIndex: number;
      readonly lastTerm: number;
    }
  | {
      readonly kind: 'vote-reply';
      readonly isPreVote: boolean;
      readonly term: number;
      readonly isGranted: boolean;
      readonly diskId: DiskId;
      /** Milliseconds since the voter last had leader contact, was leader or started, whichever is latest. */
      readonly silentForMs: number;
    }
  | {
      readonly kind: 'append';
      readonly term: number;
      readonly previousIndex: number;
      readonly previousTerm: number;
      readonly entries: readonly LogEntry<Command>[];
      readonly commitIndex: number;
      readonly round: number;
    }
  | {
      readonly kind: 'append-reply';
      readonly term: number;
      readonly isAccepted: boolean;
      /** Last index known to match if accepted; otherwise the last index that could match. */
      readonly matchIndex: number;
      readonly round: number;
      readonly diskId: DiskId;
    }
  | {
      readonly kind: 'install-snapshot';
      readonly term: number;
      readonly snapshot: Snapshot;
      readonly round: number;
    };

export type RaftEvent<Command> =
  | { readonly kind: 'tick' }
  /** A link to another member was opened. */
  | { readonly kind: 'peer-reachable'; readonly peer: MemberId }
  /** Starts a round now instead of with the next heartbeat; ignored unless this member leads. */
  | { readonly kind: 'start-round' }
  | { readonly kind: 'message'; readonly from: MemberId; readonly message: RaftMessage<Command> }
  | { readonly kind: 'propose'; readonly payloads: readonly LogPayload<Command>[] }
  | { readonly kind: 'snapshot-saved'; readonly snapshot: SnapshotMeta };

/** Effects must be executed in order, and each persist effect synced to disk before the next one. */
export type RaftEffect<Command> =
  | {
      readonly kind: 'persist-vote';
      readonly term: number;
      readonly votedFor: MemberId | undefined;
    }
  | { readonly kind: 'persist-entries'; readonly entries: readonly LogEntry<Command>[] }
  | {
      readonly kind: 'restore-snapshot';
      readonly snapshot: Snapshot;
      /** Entries after the snapshot that the member keeps. */
      readonly remaining: readonly LogEntry<Command>[];
    }
  | { readonly kind: 'send'; readonly to: MemberId; readonly message: RaftMessage<Command> }
  | { readonly kind: 'send-snapshot'; readonly to: MemberId; readonly round: number }
  | { readonly kind: 'apply'; readonly entries: readonly LogEntry<Command>[] }
  | { readonly kind: 'role-changed'; readonly role: RaftRole }
  | { readonly kind: 'round-confirmed'; readonly round: number; readonly startedAtMs: number }
  | { readonly kind: 'member-regressed'; readonly member: MemberId };

export type RaftRole = 'follower' | 'pre-candidate' | 'candidate' | 'leader';

export interface RaftTiming {
  readonly heartbeatMs: number;
  readonly electionTimeoutMinMs: number;
  readonly electionTimeoutMaxMs: number;
}

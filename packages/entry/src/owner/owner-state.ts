/** State of a group's owner: its sessions, requests, pools, queue and marks. */
import type { AnswerChannel } from './answer-channel.js';
import {
  type ApplyResult,
  type ControlCommand,
  createFailoverState,
  createFairQueue,
  createGroupView,
  type CustomerName,
  type EntrySettings,
  type FailoverState,
  type FairQueue,
  type GroupName,
  type GroupRecord,
  type GroupSetting,
  type GroupView,
  type Intent,
  type LogPosition,
  type PendingWrite,
  type Refusal,
  type RequestChunk,
  type ServerLoad,
  type ServerName,
  type SessionId,
  type SettingEffect,
  type TransactionStatus,
  ZERO_POSITION,
} from '@bramleykeel/core';
import type { Counters, Log } from '@bramleykeel/link';
import type { AnswerFilter } from './answer-filter.js';
import type { TargetConnection } from '../target/target-connection.js';
import type { TargetPool } from '../target/target-pool.js';

/** Dependencies that an entry provides to its owners. */
export interface OwnerEnvironment {
  readonly settings: EntrySettings;
  readonly counters: Counters;
  readonly log: Log;
  /**
   * Whether this entry currently holds the group's lease under the owner's epoch, by the monotonic
   * clock.
   */
  readonly holdsLease: () => boolean;
  readonly groupRecord: () => GroupRecord;
  readonly groupSetting: () => GroupSetting;
  /** Zones to whose targets nothing may be sent. */
  readonly evacuatedZones: () => ReadonlySet<string>;
  readonly propose: (command: ControlCommand) => Promise<ApplyResult>;
}

/** A connection reserved for one session until its transaction ends. */
export interface PinnedConnection {
  readonly server: ServerName;
  readonly pool: TargetPool;
  readonly connection: TargetConnection;
}

export interface OwnerSession {
  readonly id: SessionId;
  readonly channel: AnswerChannel;
  readonly customer: CustomerName;
  mark: LogPosition;
  pinned: PinnedConnection | undefined;
  pinnedSinceMs: number;
  /** Whether the open transaction runs on a replica; only read-only transactions may. */
  isPinnedToReplica: boolean;
  request: OwnerRequest | undefined;
  /** Bytes sent to the entry that it has not yet reported as delivered to the caller. */
  unacknowledgedBytes: number;
  isClosing: boolean;
}

export type RequestStage = 'queued' | 'acquiring' | 'running' | 'confirming' | 'ended';

export interface OwnerRequest {
  readonly session: OwnerSession;
  readonly number: number;
  intent: Intent;
  readonly readAgeAllowanceMs: number | null;
  readonly settings: Readonly<Record<string, string>>;
  readonly settingEffect: SettingEffect | null;
  readonly chunks: RequestChunk[];
  readonly enqueuedAtMs: number;
  stage: RequestStage;
  mayCommit: boolean;
  hasForwardedAnswer: boolean;
  /** Whether it was cancelled because its server is replaced as primary. */
  isCancelledForChange: boolean;
  attempts: number;
  /** Time before which it is not started again, by the monotonic clock. */
  notBeforeMs: number;
  /** How often a server may have run it without an answer that can be passed on. */
  unansweredRuns: number;
  /** What its caller receives if it does not run again after a run without an answer; `undefined` without such a run. */
  unansweredRefusal: Refusal | undefined;
  filter: AnswerFilter;
  slot: OccupiedSlot | undefined;
  running: RunningRequest | undefined;
  /** All chunks received so far, kept for a retry on another server. */
  readonly allChunks: RequestChunk[];
}

/** A server slot occupied by a request. */
export interface OccupiedSlot {
  readonly server: ServerName;
  readonly pool: TargetPool;
  readonly occupiedSinceMs: number;
}

export interface RunningRequest extends PinnedConnection {
  readonly isOnReplica: boolean;
  /** The group's term when the request was sent. */
  readonly term: number;
  lastSentMs: number;
  /** Whether the end of the request was sent, so that ReadyForQuery is expected. */
  isEndSent: boolean;
  isCheckingConnection: boolean;
}

/** A write whose answer has been received but that is not yet confirmed. */
export interface PendingAcknowledgement {
  readonly request: OwnerRequest;
  readonly write: PendingWrite;
  readonly status: TransactionStatus;
}

export interface Membership {
  readonly members: readonly ServerName[];
  readonly mark: LogPosition;
}

/** Scheduler functions passed to modules that the scheduler itself imports. */
export interface SchedulerCallbacks {
  /** Starts all waiting requests that can start now. */
  readonly schedule: (owner: GroupOwner) => void;
  /** Requeues a request that can safely be run again. */
  readonly requeue: (owner: GroupOwner, request: OwnerRequest) => void;
}

export interface GroupOwner {
  readonly group: GroupName;
  readonly epoch: number;
  readonly environment: OwnerEnvironment;
  readonly scheduler: SchedulerCallbacks;
  readonly view: GroupView;
  readonly pools: Map<ServerName, TargetPool>;
  readonly unusableUntilMs: Map<ServerName, number>;
  readonly queue: FairQueue<OwnerRequest>;
  /**
   * Waiting requests of open transactions. They run on their pinned connection, before new
   * requests.
   */
  readonly pinnedWaiting: OwnerRequest[];
  readonly sessions: Map<SessionId, OwnerSession>;
  /**
   * Sessions whose entry was told that no further request will start, with the time of revocation.
   */
  readonly revokedSessions: Map<SessionId, number>;
  /** The latest request of each session of which any byte may have reached a target. */
  readonly lastSentRequests: Map<SessionId, { readonly number: number; readonly atMs: number }>;
  /** When this owner learnt of each evacuation in force. */
  readonly evacuatedSinceMs: Map<string, number>;
  readonly startedAtMs: number;
  readonly customerMarks: Map<CustomerName, LogPosition>;
  /**
   * A position at or past every write acknowledged by earlier owners. While unset, reads go to the
   * primary.
   */
  baseMark: LogPosition | undefined;
  /** The members on record, and a position that covers all that was acknowledged before they were the members. */
  membership: Membership | undefined;
  highestSeen: LogPosition;
  readonly pendingAcknowledgements: Set<PendingAcknowledgement>;
  readonly runningByCustomer: Map<string, number>;
  /** Measured slot times, by server. */
  readonly loads: Map<ServerName, ServerLoad>;
  failover: FailoverState;
  lastProbeMs: number;
  /** The term for which superseded requests were last terminated. */
  lastHandledTerm: number;
  isStopping: boolean;
  isClosed: boolean;
  timers: NodeJS.Timeout[];
}

export function createGroupOwner(
  group: GroupName,
  epoch: number,
  environment: OwnerEnvironment,
  scheduler: SchedulerCallbacks,
): GroupOwner {
  const { maxWaitingPerCustomer } = environment.settings.requests;
  return {
    group,
    epoch,
    environment,
    scheduler,
    view: createGroupView(),
    pools: new Map(),
    unusableUntilMs: new Map(),
    queue: createFairQueue(maxWaitingPerCustomer),
    pinnedWaiting: [],
    sessions: new Map(),
    revokedSessions: new Map(),
    lastSentRequests: new Map(),
    evacuatedSinceMs: new Map(),
    startedAtMs: performance.now(),
    customerMarks: new Map(),
    baseMark: undefined,
    membership: undefined,
    highestSeen: ZERO_POSITION,
    pendingAcknowledgements: new Set(),
    runningByCustomer: new Map(),
    loads: new Map(),
    failover: createFailoverState(environment.groupRecord(), performance.now()),
    lastProbeMs: 0,
    lastHandledTerm: environment.groupRecord().term,
    isStopping: false,
    isClosed: false,
    timers: [],
  };
}

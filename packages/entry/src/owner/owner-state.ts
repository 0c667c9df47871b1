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
  type RequestChunk,
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

/** What an owner needs from the rest of its entry. */
export interface OwnerEnvironment {
  readonly settings: EntrySettings;
  readonly counters: Counters;
  readonly log: Log;
  /** Whether this entry holds the group now, under the owner's epoch, by the monotonic clock. */
  readonly holdsLease: () => boolean;
  readonly groupRecord: () => GroupRecord;
  readonly groupSetting: () => GroupSetting;
  readonly propose: (command: ControlCommand) => Promise<ApplyResult>;
}

/** A connection that belongs to one session until its transaction ends. */
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
  /** Whether the open transaction runs on a replica, as a read-only one may. */
  isPinnedToReplica: boolean;
  request: OwnerRequest | undefined;
  /** Bytes sent to the entry that it has not passed on to the caller yet. */
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
  hasForwarded: boolean;
  attempts: number;
  filter: AnswerFilter;
  slot: HeldSlot | undefined;
  running: RunningRequest | undefined;
  /** All chunks so far, for another attempt on another server. */
  readonly allChunks: RequestChunk[];
}

/** A slot of a server that a request occupies. */
export interface HeldSlot {
  readonly server: ServerName;
  readonly pool: TargetPool;
  readonly sinceMs: number;
}

export interface RunningRequest extends PinnedConnection {
  readonly isOnReplica: boolean;
  /** The group's term when the request was sent. */
  readonly term: number;
  lastSentMs: number;
  /** Whether the end of the request was sent, so that ReadyForQuery is owed. */
  isEndSent: boolean;
  isCheckingSilence: boolean;
}

/** A write whose answer has come and waits to be confirmed. */
export interface PendingAcknowledgement {
  readonly request: OwnerRequest;
  readonly write: PendingWrite;
  readonly status: TransactionStatus;
}

/** Calls back into the scheduler from the parts that it starts. */
export interface Dispatch {
  /** Starts everything that can start now. */
  readonly schedule: (owner: GroupOwner) => void;
  /** Puts back a request of which nothing was run. */
  readonly requeue: (owner: GroupOwner, request: OwnerRequest) => void;
}

export interface GroupOwner {
  readonly group: GroupName;
  readonly epoch: number;
  readonly environment: OwnerEnvironment;
  readonly dispatch: Dispatch;
  readonly view: GroupView;
  readonly pools: Map<ServerName, TargetPool>;
  readonly unusableUntilMs: Map<ServerName, number>;
  readonly queue: FairQueue<OwnerRequest>;
  /** Requests of open transactions: they run before new ones, on the connection they have. */
  readonly pinnedWaiting: OwnerRequest[];
  readonly sessions: Map<SessionId, OwnerSession>;
  /** Sessions whose entry was told that nothing of them will be started any more. */
  readonly revoked: Map<SessionId, number>;
  /** The newest request of each session of which a byte may have reached a target. */
  readonly touched: Map<SessionId, { readonly number: number; readonly atMs: number }>;
  readonly customerMarks: Map<CustomerName, LogPosition>;
  /** A position at or past everything acknowledged before this owner; reads need the primary until then. */
  baseMark: LogPosition | undefined;
  highestSeen: LogPosition;
  readonly pendingAcknowledgements: Set<PendingAcknowledgement>;
  readonly runningByCustomer: Map<string, number>;
  failover: FailoverState;
  lastProbeMs: number;
  /** The term that running requests were last compared with. */
  seenTerm: number;
  isStopping: boolean;
  isClosed: boolean;
  timers: NodeJS.Timeout[];
}

export function createGroupOwner(
  group: GroupName,
  epoch: number,
  environment: OwnerEnvironment,
  dispatch: Dispatch,
): GroupOwner {
  const { maxWaitingPerCustomer } = environment.settings.requests;
  return {
    group,
    epoch,
    environment,
    dispatch,
    view: createGroupView(),
    pools: new Map(),
    unusableUntilMs: new Map(),
    queue: createFairQueue(maxWaitingPerCustomer),
    pinnedWaiting: [],
    sessions: new Map(),
    revoked: new Map(),
    touched: new Map(),
    customerMarks: new Map(),
    baseMark: undefined,
    highestSeen: ZERO_POSITION,
    pendingAcknowledgements: new Set(),
    runningByCustomer: new Map(),
    failover: createFailoverState(environment.groupRecord(), performance.now()),
    lastProbeMs: 0,
    seenTerm: environment.groupRecord().term,
    isStopping: false,
    isClosed: false,
    timers: [],
  };
}

/** State of a statement group's owner: servers, connections, queue, transactions, positions. */
import {
  type ApplyResult,
  type ControlCommand,
  type CustomerName,
  type FairQueue,
  type GroupName,
  type GroupRecord,
  type LogPosition,
  type AcknowledgedPositions,
  type ServerAnnouncement,
  type ServerName,
  type StatementGroup,
  type StatementOutcome,
  type StatementRequest,
  ZERO_POSITION,
} from '@bramleykeel/core';
import type { Counters, Log } from '@bramleykeel/link';
import { ownConnections } from '../target/connection-budget.js';
import type { PoolContext } from '../target/connection-pool.js';
import type {
  OpenTarget,
  PromoteServer,
  ReadTargetStatus,
  TargetConnection,
} from '../types/target-port.js';

/** What an owner needs from the rest of its entry. */
export interface OwnerEnvironment {
  readonly entryId: string;
  readonly zone: string;
  /** The region of a zone; zones of a region are near to each other. */
  readonly regionOf: (zone: string) => string;
  readonly log: Log;
  readonly counters: Counters;
  /** Whether this entry holds the group now, under the owner's epoch, by the steady clock. */
  readonly holdsLease: () => boolean;
  readonly groupRecord: () => GroupRecord;
  readonly groupSettings: () => StatementGroup | undefined;
  /** Customers by the settings in force, those with the highest rates first. */
  readonly customers: () => readonly CustomerName[];
  readonly idleTransactionMs: () => number;
  readonly propose: (command: ControlCommand) => Promise<ApplyResult>;
  readonly openTarget: OpenTarget;
  readonly readTargetStatus: ReadTargetStatus;
  readonly promoteServer: PromoteServer;
}

/** The way back to one entry. */
export interface OwnerChannel {
  readonly answer: (number: number, outcome: StatementOutcome) => void;
}

/** A connection to a server with what was set up on it. */
export interface PooledConnection {
  readonly connection: TargetConnection;
  readonly server: ServerState;
  readonly openedAtMs: number;
  values: Readonly<Record<string, string>>;
  valuesKey: string;
  readonly prepared: Set<string>;
  lastUsedMs: number;
  isDiscarded: boolean;
}

export interface ServerState {
  announcement: ServerAnnouncement;
  heardAtMs: number;
  readonly idle: PooledConnection[];
  /** Connections open or being opened, idle ones included. */
  connectionCount: number;
  /** Customers that connections were opened for, to open none for them ahead again. */
  readonly connectedCustomers: Set<CustomerName>;
  /** Set once nothing is kept open to it any more: it is gone, or another entry owns the group. */
  isRetired: boolean;
  /** Statements under way: each occupies a slot. */
  runningCount: number;
  /** The newest position that its reads are known to see. */
  position: LogPosition;
  laggingUntilMs: number;
  /** The last pause of a replica that lags, in milliseconds; zero once it has answered a read. */
  laggingPauseMs: number;
  busyUntilMs: number;
  /** Set while connections to it fail. */
  failingSinceMs: number | undefined;
  refusedCount: number;
  lastAnswerMs: number;
  /** The shortest time in which it has answered an order of the owner's own, in milliseconds. */
  roundTripMs: number | undefined;
  isProbing: boolean;
}

export interface OpenTransaction {
  readonly key: string;
  readonly channel: OwnerChannel;
  readonly isReadOnly: boolean;
  readonly customer: CustomerName;
  pooled: PooledConnection | undefined;
  isBusy: boolean;
  lastUsedMs: number;
}

export interface Job {
  readonly channel: OwnerChannel;
  readonly request: StatementRequest;
  readonly valuesKey: string;
  readonly arrivedAtMs: number;
  readonly deadlineMs: number;
  /** Until when it may wait for a server. */
  readonly startByMs: number;
  /** Set once a server may have run it: then it is never refused as not run. */
  mayHaveRun: boolean;
  transaction: OpenTransaction | undefined;
  attempts: number;
  isEnded: boolean;
}

/** Who is the primary, as far as this owner has made sure. */
export type Leadership =
  | { readonly kind: 'unknown'; readonly sinceMs: number }
  | { readonly kind: 'led'; readonly server: ServerName; readonly sinceMs: number }
  | { readonly kind: 'changing'; readonly sinceMs: number; readonly reason: string };

export interface StatementOwner {
  readonly group: GroupName;
  readonly epoch: number;
  readonly environment: OwnerEnvironment;
  readonly startedAtMs: number;
  readonly pools: PoolContext;
  /** Entries that read at replicas near them, with the time when they last asked. */
  readonly nearReaders: Map<string, { readonly zone: string; readonly atMs: number }>;
  readonly servers: Map<ServerName, ServerState>;
  readonly queues: Map<number, FairQueue<Job>>;
  readonly pinnedWaiting: Job[];
  readonly transactions: Map<string, OpenTransaction>;
  readonly running: Set<Job>;
  leadership: Leadership;
  /** `undefined` until a position that covers everything acknowledged earlier is known. */
  owed: AcknowledgedPositions | undefined;
  isStopping: boolean;
  isClosed: boolean;
  isDispatching: boolean;
  lastPromotionMs: number;
  replicasCheckedMs: number;
  /** When the servers' places were last handed to control. */
  placesRecordedMs: number;
  /** Commits and writes that were outstanding for too long, lately. */
  stalledCommits: { readonly server: ServerState; readonly atMs: number }[];
  timers: NodeJS.Timeout[];
}

export function createStatementOwner(
  group: GroupName,
  epoch: number,
  environment: OwnerEnvironment,
): StatementOwner {
  const nowMs = performance.now();
  const nearReaders: StatementOwner['nearReaders'] = new Map();
  const context = { environment, nearReaders, startedAtMs: nowMs, epoch };
  return {
    group,
    epoch,
    environment,
    startedAtMs: nowMs,
    nearReaders,
    pools: {
      group,
      openTarget: environment.openTarget,
      counters: environment.counters,
      maxConnections: (server) => ownConnections(context, server),
    },
    servers: new Map(),
    queues: new Map(),
    pinnedWaiting: [],
    transactions: new Map(),
    running: new Set(),
    leadership: { kind: 'unknown', sinceMs: nowMs },
    owed: undefined,
    isStopping: false,
    isClosed: false,
    isDispatching: false,
    lastPromotionMs: Number.NEGATIVE_INFINITY,
    replicasCheckedMs: Number.NEGATIVE_INFINITY,
    placesRecordedMs: Number.NEGATIVE_INFINITY,
    stalledCommits: [],
    timers: [],
  };
}

export function createServerState(announcement: ServerAnnouncement, nowMs: number): ServerState {
  return {
    announcement,
    heardAtMs: nowMs,
    idle: [],
    connectionCount: 0,
    connectedCustomers: new Set(),
    isRetired: false,
    runningCount: 0,
    position: ZERO_POSITION,
    laggingUntilMs: 0,
    laggingPauseMs: 0,
    busyUntilMs: 0,
    failingSinceMs: undefined,
    refusedCount: 0,
    lastAnswerMs: nowMs,
    roundTripMs: undefined,
    isProbing: false,
  };
}

/** The server that statements for the primary go to now, if there is one. */
export function primaryOf(owner: StatementOwner): ServerState | undefined {
  const { leadership } = owner;
  return leadership.kind === 'led' ? owner.servers.get(leadership.server) : undefined;
}

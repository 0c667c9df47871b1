/** State of the owner of a statement group: servers, connections, queues, transactions and log positions. */
import {
  type AnnouncementNumber,
  type ApplyResult,
  type ArrivalRates,
  type Assignment,
  type ControlCommand,
  type Coverage,
  createArrivalRates,
  createCoverage,
  createStatementFates,
  createServerHealth,
  createRecordedServers,
  createServerLoad,
  createShareClock,
  createStartOrder,
  type CustomerName,
  type FairQueue,
  type FormerHolder,
  type GroupName,
  isPrimaryCovered,
  type GroupRecord,
  type HeldCommit,
  type HomeRules,
  leavingSinceOf,
  type HomesClaim,
  type LogPosition,
  type PlacementBounds,
  type ReadDistribution,
  type RecordedServers,
  type AcknowledgedPositions,
  type ServerAnnouncement,
  type ServerHealth,
  type ServerLoad,
  type ServerName,
  type ServerPlace,
  type ShareClock,
  type StartOrder,
  type StatementFates,
  type StatementGroup,
  type StatementOutcome,
  type StatementRequest,
  ZERO_POSITION,
} from '@bramleykeel/core';
import type { Counters, Log } from '@bramleykeel/link';
import { maxOwnerConnections } from '../target/connection-budget.js';
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
  /** The region of a zone; zones of one region are near each other. */
  readonly regionOf: (zone: string) => string;
  /** Zones on whose servers nothing starts. */
  readonly evacuatedZones: () => ReadonlySet<string>;
  readonly readDistribution: ReadDistribution;
  readonly placementBounds: PlacementBounds;
  /** Whether statements that cannot start in time are refused at once. */
  readonly overloadControl?: boolean;
  /** Regions in which the primary should be; `undefined` without a limit, or if the routes contradict each other. */
  readonly homeRegions: () => readonly string[] | undefined;
  /** The homes of statements by the settings in force here; `undefined` without settings. */
  readonly homeRules: () => HomeRules | undefined;
  readonly log: Log;
  readonly counters: Counters;
  /** Whether this entry holds the group's lease under the owner's epoch, by the monotonic clock. */
  readonly holdsLease: () => boolean;
  /** The former owner of the group; `undefined` without the lease. */
  readonly formerOwner: () => FormerHolder | undefined;
  /** The group's reader in a region, if there is one. */
  readonly readerIn: (region: string) => Assignment | undefined;
  /** Has the reader of a region close its connections to a server; returns whether all are closed. */
  readonly releaseFromReader: (region: string, server: ServerName) => Promise<boolean>;
  readonly groupRecord: () => GroupRecord;
  readonly groupSettings: () => StatementGroup | undefined;
  /** Customers in the current settings, in descending order of rate. */
  readonly customers: () => readonly CustomerName[];
  readonly idleTransactionMs: () => number;
  readonly propose: (command: ControlCommand) => Promise<ApplyResult>;
  readonly openTarget: OpenTarget;
  readonly readTargetStatus: ReadTargetStatus;
  readonly promoteServer: PromoteServer;
}

/** Returns outcomes to one entry. */
export interface OwnerChannel {
  /** Whether it is within this process: its entry never asks which statements have started. False if absent. */
  readonly isLocal?: boolean;
  readonly answer: (number: number, outcome: StatementOutcome) => void;
}

/** A connection to a server and the session state set up on it. */
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
  /** The announcement that first said that the server leaves, here or at a former owner; `undefined` while it stays. */
  leavingSince: AnnouncementNumber | undefined;
  /** When the last announcement arrived; for a server loaded from a record, when it was loaded. */
  lastAnnouncementMs: number;
  readonly idle: PooledConnection[];
  /** Open connections, including idle ones and those being opened. */
  connectionCount: number;
  /**
   * Connections of others that the server reported in its last status; `undefined` if it has reported none.
   */
  otherConnections: number | undefined;
  /** Customers with a connection opened before; warm-up opens none for them. */
  readonly connectedCustomers: Set<CustomerName>;
  /** Set once no connections are kept: the server was removed, or the owner closed. */
  isRetired: boolean;
  /** Running statements; each occupies a slot. */
  runningCount: number;
  /** The newest log position that reads on this server are known to see. */
  position: LogPosition;
  laggingUntilMs: number;
  /** The last pause after a refusal because of lag, in milliseconds; zero once a replica has answered a read. */
  laggingPauseMs: number;
  busyUntilMs: number;
  /** Start of the current run of connection failures, if any. */
  failingSinceMs: number | undefined;
  refusedCount: number;
  lastAnswerMs: number;
  /** Whether it has answered this owner, or control has it on record; other writers may announce what does not exist. */
  isVerified: boolean;
  /** The shortest response time to an order of the owner itself, in milliseconds. */
  roundTripMs: number | undefined;
  isProbing: boolean;
  /** Until when the server is cold, by the monotonic clock. */
  coldUntilMs: number;
  /** Start times of the requests that count towards its limit while it is cold. */
  readonly coldStartsMs: number[];
  /** What this process has measured from answers of the server. */
  readonly load: ServerLoad;
  /** How the server answered reads of this process. */
  readonly health: ServerHealth;
}

export interface OpenTransaction {
  readonly key: string;
  readonly channel: OwnerChannel;
  readonly isReadOnly: boolean;
  readonly customer: CustomerName;
  pooled: PooledConnection | undefined;
  readonly homesClaim: HomesClaim;
  isBusy: boolean;
  /** Whether a statement was answered in it, which shows that the server has begun it. */
  hasBegun: boolean;
  /** Whether a write was sent in it, so that its commit waits for a replica. */
  mayHaveWritten: boolean;
  lastUsedMs: number;
}

export interface Job {
  readonly channel: OwnerChannel;
  readonly request: StatementRequest;
  readonly valuesKey: string;
  readonly homesClaim: HomesClaim;
  readonly arrivedAtMs: number;
  readonly deadlineMs: number;
  /** Latest time to start on a server. */
  readonly startByMs: number;
  /** Set once a server may have run the statement; it is then never answered as `not-run`. */
  mayHaveRun: boolean;
  /** Set once an order was sent to a server on its behalf; its rate token is not returned then. */
  hasReachedTarget: boolean;
  /** The leadership under which its commit was sent to the primary; `undefined` if it was not. */
  committedUnder: number | undefined;
  transaction: OpenTransaction | undefined;
  attempts: number;
  /** How often a server may have run it without an answer that can be passed on. */
  unansweredRuns: number;
  /** How often a server was asked to take or prepare it and gave a reason that neither time nor another server mends. */
  failedPreparations: number;
  /** Whether no replica could run it when it was judged last; set under overload control. */
  isOnlyForPrimary?: boolean;
  /** The forecast of its wait on arrival, in milliseconds; set under overload control. */
  predictedWaitMs?: number;
  /** When it was judged again last while it waits; set under overload control. */
  judgedAtMs?: number;
  /** Settles once its outcome is known; set while the acknowledgement of its commit is held. */
  confirmation?: Promise<void>;
  /** Whether its caller has disconnected; it is not sent to a server any more. */
  isWithdrawn: boolean;
  isEnded: boolean;
}

/** The primary as verified by this owner. */
export type Leadership =
  | { readonly kind: 'unknown'; readonly sinceMs: number }
  | {
      readonly kind: 'led';
      readonly server: ServerName;
      readonly sinceMs: number;
      /** What the server held when it was chosen; `undefined` if this owner has not promoted it. */
      readonly chosenPosition: LogPosition | undefined;
    }
  | ChangingLeadership;

export interface ChangingLeadership {
  readonly kind: 'changing';
  readonly sinceMs: number;
  readonly reason: string;
  readonly former: ServerName | undefined;
  /** Whether open transactions on the former primary start no further statements. */
  readonly holdsTransactions: boolean;
  /** What the successor holds; `undefined` until one is chosen. */
  readonly chosenPosition: LogPosition | undefined;
  /** Whether no successor can be chosen before another server returns. */
  readonly isBlocked: boolean;
}

export interface StatementOwner {
  readonly group: GroupName;
  readonly epoch: number;
  readonly environment: OwnerEnvironment;
  readonly startedAtMs: number;
  readonly pools: PoolContext;
  /** Regions whose reader has asked this owner for an offer. */
  readonly readerRegions: Set<string>;
  /** Servers to which readers had connections before a promotion, and have closed them. */
  readonly releasedByReader: Set<ServerName>;
  readonly servers: Map<ServerName, ServerState>;
  /** Whether the group's replicas hold all commits that former ones may have acknowledged. */
  readonly coverage: Coverage<ServerPlace>;
  /** The servers that control has on record. */
  readonly recordedServers: RecordedServers;
  readonly heldCommits: Set<HeldCommit>;
  /** Whether no server of the group was on record when this owner started; no commit is acknowledged before. */
  readonly isFirstOfGroup: boolean;
  /** When the group was last seen to have a primary, by the monotonic clock; the start of the owner before that. */
  lastLedMs: number;
  readonly queues: Map<number, FairQueue<Job>>;
  /** Slot time of the customers over all priorities under overload control. */
  readonly shareClock: ShareClock;
  /** Order of priorities under overload control. */
  readonly startOrder: StartOrder;
  /** Admitted statements under overload control. */
  readonly arrivalRates: ArrivalRates;
  readonly pinnedWaiting: Job[];
  readonly transactions: Map<string, OpenTransaction>;
  readonly running: Set<Job>;
  /** When this owner has learnt of the evacuation of each zone. */
  readonly evacuationsLearntAtMs: Map<string, number>;
  readonly fates: StatementFates;
  /** Number of statements accepted under this epoch. */
  acceptedCount: number;
  leadership: Leadership;
  /** Counts the primaries that this owner has had; a primary that leads on in its term is not counted again. */
  leadershipNumber: number;
  /** Term of the primary that leads or led last. */
  leadershipTerm: number | undefined;
  /** `undefined` until a position that covers all earlier acknowledged writes is known. */
  acknowledgedPositions: AcknowledgedPositions | undefined;
  /** What the owner has acknowledged that ran here under this epoch until its lease was lost; `undefined` without one. */
  acknowledgedBefore: LogPosition | undefined;
  isStopping: boolean;
  /** Whether statements of open transactions start no longer either, because the group is about to be handed over. */
  isFinishing: boolean;
  isClosed: boolean;
  isDispatching: boolean;
  lastPromotionMs: number;
  /** When a change last began that only moves the primary into a home region. */
  homeChangeMs: number;
  /** Whether it has accepted statements that are limited to some regions. */
  hasRestrictedStatements: boolean;
  replicasCheckedMs: number;
  /** When the servers' addresses were last proposed to control. */
  placesRecordedMs: number;
  /** The servers that were last proposed to control as leaving. */
  proposedLeaving: string;
  /** The covered term that was last proposed to control with them. */
  proposedCoveredTerm: number | undefined;
  /** Writes and commits whose answers were recently overdue. */
  stalledCommits: { readonly server: ServerState; readonly atMs: number }[];
  timers: NodeJS.Timeout[];
  /** Checks a server at once if it is the primary; set by what watches the primary. */
  suspect: (server: ServerState) => void;
}

export function createStatementOwner(
  group: GroupName,
  epoch: number,
  environment: OwnerEnvironment,
): StatementOwner {
  const nowMs = performance.now();
  const { places } = environment.groupRecord();
  const owner: StatementOwner = {
    group,
    epoch,
    environment,
    startedAtMs: nowMs,
    readerRegions: new Set(),
    releasedByReader: new Set(),
    pools: {
      group,
      openTarget: environment.openTarget,
      counters: environment.counters,
      maxConnections: (server) => maxOwnerConnections(owner, server),
    },
    servers: new Map(),
    coverage: createCoverage(isPrimaryCovered(environment.groupRecord())),
    recordedServers: createRecordedServers((places ?? []).map(({ server }) => server)),
    heldCommits: new Set(),
    isFirstOfGroup: places === undefined,
    lastLedMs: nowMs,
    queues: new Map(),
    shareClock: createShareClock(),
    startOrder: createStartOrder(),
    arrivalRates: createArrivalRates(),
    pinnedWaiting: [],
    transactions: new Map(),
    running: new Set(),
    evacuationsLearntAtMs: new Map(),
    fates: createStatementFates(nowMs),
    acceptedCount: 0,
    leadership: { kind: 'unknown', sinceMs: nowMs },
    leadershipNumber: 0,
    leadershipTerm: undefined,
    acknowledgedPositions: undefined,
    acknowledgedBefore: undefined,
    isStopping: false,
    isFinishing: false,
    isClosed: false,
    isDispatching: false,
    lastPromotionMs: Number.NEGATIVE_INFINITY,
    homeChangeMs: Number.NEGATIVE_INFINITY,
    hasRestrictedStatements: false,
    replicasCheckedMs: Number.NEGATIVE_INFINITY,
    placesRecordedMs: Number.NEGATIVE_INFINITY,
    proposedLeaving: '',
    proposedCoveredTerm: undefined,
    stalledCommits: [],
    timers: [],
    suspect: () => undefined,
  };
  return owner;
}

export function createServerState(announcement: ServerAnnouncement, nowMs: number): ServerState {
  return {
    announcement,
    leavingSince: leavingSinceOf(announcement, undefined),
    lastAnnouncementMs: nowMs,
    idle: [],
    connectionCount: 0,
    otherConnections: undefined,
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
    isVerified: false,
    roundTripMs: undefined,
    isProbing: false,
    coldUntilMs: nowMs + (announcement.coldLeftMs ?? 0),
    coldStartsMs: [],
    load: createServerLoad(),
    health: createServerHealth(),
  };
}

/** Whether the owner may acknowledge statements. */
export function isActiveOwner(owner: StatementOwner): boolean {
  return !owner.isClosed && owner.environment.holdsLease();
}

/** The verified primary, if there is one. */
export function primaryOf(owner: StatementOwner): ServerState | undefined {
  const { leadership } = owner;
  return leadership.kind === 'led' ? owner.servers.get(leadership.server) : undefined;
}

/**
 * Reads that the reader of a group runs at the replicas of its region, for all entries there. The owner
 * offers a log position that includes all writes acknowledged before the request; reads may use it until
 * it is older than the route's allowed read age.
 */
import { setTimeout as delay } from 'node:timers/promises';
import {
  areFormerConnectionsClosed,
  chooseLeastDelay,
  connectionLimit,
  type CustomerName,
  type FormerHolder,
  type GroupName,
  createHomesClaim,
  type HomeRules,
  homesInForce,
  homesSubjectOf,
  isHome,
  latestPosition,
  type LogPosition,
  NEW_CONNECTION_MS,
  type ReadDistribution,
  recordOthers,
  type ServerAnnouncement,
  type StatementOutcome,
  takesRead,
} from '@bramleykeel/core';
import type { Counters, Log } from '@bramleykeel/link';
import type { StatementDraft } from '../locate/owner-client.js';
import {
  createServerState,
  type PooledConnection,
  type ServerState,
} from '../owner/owner-state.js';
import {
  acquireConnection,
  discardConnection,
  closeIdleConnections,
  type PoolContext,
  releaseConnection,
  retireServer,
} from '../target/connection-pool.js';
import {
  recordSetup,
  setupOrders,
  statementOrder,
  valuesKeyOf,
} from '../target/connection-setup.js';
import { judgeServers } from '../target/judge-servers.js';
import { sendMeasured } from '../target/measured-order.js';
import type { OpenTarget, TargetAnswer } from '../types/target-port.js';
import { createReadAttempt, type ReadAttempt } from './read-attempt.js';
import type { NearServer, ReaderOffer, RunningCounts } from './reader-offer.js';
import { mayReadAtReplica } from './reader-client.js';

export interface ReplicaReadsOptions {
  readonly regionOf: (zone: string) => string;
  /** Zones on whose servers nothing starts. */
  readonly evacuatedZones: () => ReadonlySet<string>;
  /** The homes of statements by the settings in force here; `undefined` without settings. */
  readonly homeRules: () => HomeRules | undefined;
  readonly readDistribution: ReadDistribution;
  /** Whether the group's servers are limited while they are cold. */
  readonly mayBeCold: (group: GroupName) => boolean;
  readonly openTarget: OpenTarget;
  readonly counters: Counters;
  readonly log: Log;
  /**
   * Requests an offer from the group's owner, with the statements that run here on each server; `undefined` if it
   * makes none.
   */
  readonly requestOffer: (
    group: GroupName,
    running: RunningCounts,
  ) => Promise<ReaderOffer | undefined>;
  /** The former reader of the group in this region; `undefined` while this entry does not hold the role. */
  readonly formerReader: (group: GroupName) => FormerHolder | undefined;
  /** Maximum number of connections to one server of the group, of all callers together. */
  readonly maxServerConnections: (group: GroupName) => number;
}

interface ReadGroup {
  readonly group: GroupName;
  readonly pools: PoolContext;
  readonly servers: Map<string, ServerState>;
  /** When connections to a server broke, unless an offer that was requested later lists the server again. */
  readonly brokenAtMs: Map<ServerState, number>;
  /** Offered positions, oldest first; each includes all writes acknowledged before its request. */
  readonly positions: { readonly requestedAtMs: number; readonly position: LogPosition }[];
  lastRequestMs: number;
  isRequesting: boolean;
}

export interface ReplicaReads {
  readonly options: ReplicaReadsOptions;
  readonly groups: Map<GroupName, ReadGroup>;
  isStopping: boolean;
}

/**
 * Interval at which an offer is renewed while reads arrive, in milliseconds. The users' shortest read
 * age is 1.5 s; an offer has to be renewed before it reaches that age, less READ_AGE_MARGIN_MS and the
 * round trip to the owner.
 */
const OFFER_RENEWAL_INTERVAL_MS = 1_000;
/** Delay before the next request to an owner that made no offer, in milliseconds. */
const NO_OFFER_RETRY_MS = 200;
/** Enough for about 3 s of offers; the users' longest read age is 2.5 s. */
const MAX_KEPT_POSITIONS = 4;
/** Part of a read's allowed age that is reserved for its transit to the replica, in milliseconds. */
const READ_AGE_MARGIN_MS = 200;
/** Time without direct reads after a replica's connection failed; the owner runs the reads meanwhile. */
const FAILED_PAUSE_MS = 1_500;
const BUSY_PAUSE_MS = 30;
const LAGGING_PAUSE_MS = 60;
const HANDOVER_POLL_MS = 10;
/** Reads sent to a replica at a time, as a multiple of its slots; the others are run by the owner. */
const READS_PER_SLOT = 2;
/** Fraction of a statement's remaining time that the replica gets; after that the owner runs it. */
const REPLICA_TIMEOUT_FRACTION = 0.5;
const SETUP_TIMEOUT_MS = 300;

export function createReplicaReads(options: ReplicaReadsOptions): ReplicaReads {
  return { options, groups: new Map(), isStopping: false };
}

/** Discards all offers: after the process was suspended, their measured age cannot be trusted. */
export function discardOffers(reads: ReplicaReads): void {
  for (const group of reads.groups.values()) {
    group.positions.length = 0;
    group.lastRequestMs = Number.NEGATIVE_INFINITY;
  }
}

/**
 * Tries to run a read at a replica of the region, as the group's reader.
 *
 * @param attempt records how far the read got
 * @returns the outcome, or `undefined` if the owner has to run it; the read leaves no state behind
 */
export async function readAtReplica(
  reads: ReplicaReads,
  group: GroupName,
  draft: StatementDraft,
  deadlineMs: number,
  attempt: ReadAttempt = createReadAttempt(),
): Promise<StatementOutcome | undefined> {
  const { homeRules, regionOf } = reads.options;
  if (!mayReadAtReplica(draft) || reads.isStopping) return undefined;
  if (!reads.options.formerReader(group)) return undefined;
  const readGroup = getOrCreateGroup(reads, group);
  refreshOffer(reads, readGroup);
  const after = requiredPositionOf(readGroup, draft);
  const homesClaim = createHomesClaim(homesSubjectOf(group, draft), draft.homes);
  const isHomeNow = ({ announcement }: ServerState) =>
    isHome(homesInForce(homesClaim, homeRules()), regionOf(announcement.zone));
  const server = after && findAvailableServer(reads, readGroup, draft.customer, isHomeNow);
  if (!after || !server) return undefined;
  server.runningCount += 1;
  try {
    const read = { draft, isHomeNow, after, deadlineMs, attempt };
    return await runOnServer(reads, readGroup, server, read);
  } finally {
    server.runningCount -= 1;
  }
}

/** Closes the connections of groups that this entry is no longer the reader of. */
export function closeEndedReaders(reads: ReplicaReads): void {
  for (const group of reads.groups.keys()) {
    if (!reads.options.formerReader(group)) closeReader(reads, group);
  }
}

/** Closes a group's connections to replicas; those in use are closed once their read has ended. */
export function closeReader(reads: ReplicaReads, group: GroupName): void {
  for (const server of reads.groups.get(group)?.servers.values() ?? []) retireServer(server);
  reads.groups.delete(group);
}

/**
 * Closes the connections to a server that became the primary, which readers do not use; returns whether all of
 * them are closed.
 */
export function releaseServer(reads: ReplicaReads, group: GroupName, server: string): boolean {
  const readGroup = reads.groups.get(group);
  if (!readGroup) return true;
  const isServer = ({ announcement }: ServerState) => announcement.server === server;
  for (const state of [...readGroup.servers.values()].filter(isServer)) retireServer(state);
  return ![...readGroup.servers.values()].some(
    (state) => isServer(state) && state.connectionCount > 0,
  );
}

/** Stops reading, and hands each group over once its reads have ended or `graceMs` has passed. */
export async function handOverReaders(
  reads: ReplicaReads,
  graceMs: number,
  release: (group: GroupName) => Promise<void>,
): Promise<void> {
  reads.isStopping = true;
  const untilMs = performance.now() + graceMs;
  const handOver = async ({ group, servers }: ReadGroup) => {
    const isReading = () => [...servers.values()].some(({ runningCount }) => runningCount > 0);
    while (isReading() && performance.now() < untilMs) await delay(HANDOVER_POLL_MS);
    closeReader(reads, group);
    await release(group);
  };
  await Promise.all([...reads.groups.values()].map(handOver));
}

function getOrCreateGroup(reads: ReplicaReads, group: GroupName): ReadGroup {
  const existing = reads.groups.get(group);
  if (existing) return existing;
  const { openTarget, counters } = reads.options;
  const created: ReadGroup = {
    group,
    pools: {
      group,
      openTarget,
      counters,
      maxConnections: ({ announcement: { slots } }) => maxConnections(reads, group, slots),
    },
    servers: new Map(),
    brokenAtMs: new Map(),
    positions: [],
    lastRequestMs: Number.NEGATIVE_INFINITY,
    isRequesting: false,
  };
  reads.groups.set(group, created);
  return created;
}

function maxConnections({ options }: ReplicaReads, group: GroupName, slots: number): number {
  const former = options.formerReader(group);
  const isSettled = former !== undefined && areFormerConnectionsClosed(former);
  const server = { maxConnections: options.maxServerConnections(group), slots };
  return connectionLimit(server, 'reader', isSettled);
}

function refreshOffer(reads: ReplicaReads, readGroup: ReadGroup): void {
  const requestedAtMs = performance.now();
  if (readGroup.isRequesting || requestedAtMs - readGroup.lastRequestMs < OFFER_RENEWAL_INTERVAL_MS)
    return;
  readGroup.isRequesting = true;
  readGroup.lastRequestMs = requestedAtMs;
  const running = reads.options.readDistribution === 'even' ? runningCountsOf(readGroup) : [];
  void reads.options.requestOffer(readGroup.group, running).then((offer) => {
    readGroup.isRequesting = false;
    // Offers were discarded while this request was in progress, which reset lastRequestMs.
    if (readGroup.lastRequestMs !== requestedAtMs) return;
    if (!offer) {
      readGroup.lastRequestMs = requestedAtMs - OFFER_RENEWAL_INTERVAL_MS + NO_OFFER_RETRY_MS;
      return;
    }
    readGroup.positions.push({ requestedAtMs, position: offer.position });
    if (readGroup.positions.length > MAX_KEPT_POSITIONS) readGroup.positions.shift();
    updateServers(readGroup, offer.servers, requestedAtMs);
  });
}

function runningCountsOf({ servers }: ReadGroup): RunningCounts {
  return [...servers.values()].map(
    ({ announcement: { server }, runningCount }) => [server, runningCount] as const,
  );
}

function updateServers(
  readGroup: ReadGroup,
  servers: readonly NearServer[],
  requestedAtMs: number,
): void {
  const nowMs = performance.now();
  const offered = new Map(servers.map((server) => [`${server.server}@${server.address}`, server]));
  for (const [key, state] of readGroup.servers) {
    if (offered.has(key)) continue;
    retireServer(state);
    readGroup.servers.delete(key);
    readGroup.brokenAtMs.delete(state);
  }
  for (const [state, atMs] of readGroup.brokenAtMs)
    if (state.isRetired || atMs < requestedAtMs) readGroup.brokenAtMs.delete(state);
  for (const [key, server] of offered) {
    const { ownerRunning, ...place } = server;
    const existing = readGroup.servers.get(key);
    const announcement: ServerAnnouncement = {
      ...place,
      group: readGroup.group,
      role: 'replica',
      isLeaving: false,
      bornMs: 0,
      sequence: 0,
    };
    const state = existing?.isRetired === false ? existing : createServerState(announcement, nowMs);
    readGroup.servers.set(key, state);
    if (ownerRunning !== undefined) recordOthers(state.load, ownerRunning, nowMs);
  }
}

/**
 * The log position that the read must see at least; `undefined` if all offers are too old. Uses the
 * oldest position that is recent enough, because replicas receive the newest commits with a delay.
 */
function requiredPositionOf(readGroup: ReadGroup, draft: StatementDraft): LogPosition | undefined {
  const oldestAllowedMs = performance.now() - (draft.maxReadAgeMs - READ_AGE_MARGIN_MS);
  const offered = readGroup.positions.find(({ requestedAtMs }) => requestedAtMs >= oldestAllowedMs);
  if (!offered) return undefined;
  if (draft.consistency !== 'own-writes' || !draft.mark) return offered.position;
  return latestPosition(offered.position, draft.mark);
}

function findAvailableServer(
  reads: ReplicaReads,
  { group, servers, brokenAtMs }: ReadGroup,
  customer: CustomerName,
  isHomeNow: (server: ServerState) => boolean,
): ServerState | undefined {
  const { counters, log, mayBeCold, readDistribution } = reads.options;
  const isEven = readDistribution === 'even';
  const isColdPossible = mayBeCold(group);
  if (isEven) judgeServers(servers.values(), { group, path: 'reader', counters, log });
  const nowMs = performance.now();
  const available = [...servers.values()].filter(
    (server) =>
      !server.isRetired &&
      !isEvacuated(reads, server) &&
      isHomeNow(server) &&
      // It may have restarted, and its owner does not offer it while it is cold.
      !(isColdPossible && brokenAtMs.has(server)) &&
      (!isEven || takesRead(server.health, server.runningCount, Math.random())) &&
      server.runningCount < server.announcement.slots * READS_PER_SLOT &&
      nowMs >= server.busyUntilMs &&
      nowMs >= server.laggingUntilMs &&
      (server.failingSinceMs === undefined || nowMs - server.failingSinceMs > FAILED_PAUSE_MS),
  );
  if (!isEven) return available[0];
  const candidates = available.map((server) => ({
    server,
    slots: server.announcement.slots,
    running: server.runningCount,
    others: server.load.others,
    serviceMs: server.load.service.get('read')?.meanMs,
    extraMs: hasIdleConnection(server, customer) ? 0 : NEW_CONNECTION_MS,
  }));
  return chooseLeastDelay(candidates, nowMs, Math.random())?.server;
}

function hasIdleConnection({ idle }: ServerState, customer: CustomerName): boolean {
  return idle.some(({ connection }) => connection.customer === customer);
}

function isEvacuated({ options }: ReplicaReads, { announcement }: ServerState): boolean {
  return options.evacuatedZones().has(announcement.zone);
}

interface ReplicaRead {
  readonly draft: StatementDraft;
  /** Whether the read may run on a server by the homes in force. */
  readonly isHomeNow: (server: ServerState) => boolean;
  readonly after: LogPosition;
  readonly deadlineMs: number;
  readonly attempt: ReadAttempt;
}

async function runOnServer(
  reads: ReplicaReads,
  readGroup: ReadGroup,
  server: ServerState,
  { draft, isHomeNow, after, deadlineMs, attempt }: ReplicaRead,
): Promise<StatementOutcome | undefined> {
  const valuesKey = valuesKeyOf(draft.values);
  if (server.failingSinceMs !== undefined) server.failingSinceMs = undefined;
  const acquired = await acquireConnection(readGroup.pools, server, draft.customer, valuesKey);
  if (acquired.kind === 'unavailable') {
    recordIfBroken(readGroup, server);
    return undefined;
  }
  const { pooled } = acquired;
  // An order or other homes may have arrived while the connection was being opened.
  if (isEvacuated(reads, server) || !isHomeNow(server)) {
    releaseConnection(pooled);
    return undefined;
  }
  attempt.hasReachedTarget = true;
  for (const order of setupOrders({ ...draft, valuesKey }, pooled, undefined)) {
    const setupAnswer = await pooled.connection.send(order, SETUP_TIMEOUT_MS);
    if (setupAnswer.kind !== 'done') {
      handleBrokenConnection(readGroup, server, pooled);
      return undefined;
    }
    recordSetup(pooled, order);
  }
  if (!isHomeNow(server)) {
    releaseConnection(pooled);
    return undefined;
  }
  const remainingMs = deadlineMs - performance.now();
  attempt.mayHaveRun = true;
  const answer = await sendMeasured(
    pooled,
    statementOrder(draft, after),
    'read',
    remainingMs * REPLICA_TIMEOUT_FRACTION,
  );
  attempt.mayHaveRun = answer.kind !== 'refused';
  reads.options.counters.count(`near.${answer.kind}`);
  return settleRead(readGroup, server, pooled, answer);
}

function settleRead(
  readGroup: ReadGroup,
  server: ServerState,
  pooled: PooledConnection,
  answer: TargetAnswer,
): StatementOutcome | undefined {
  const nowMs = performance.now();
  if (answer.kind === 'done') {
    releaseConnection(pooled);
    const { rows, signature, position } = answer;
    return { kind: 'done', rows, signature, position, isFromReplica: true };
  }
  if (answer.kind === 'lost' || answer.kind === 'overdue') {
    handleBrokenConnection(readGroup, server, pooled);
    return undefined;
  }
  if (answer.state === 'idle') releaseConnection(pooled);
  else discardConnection(pooled);
  if (answer.kind === 'failed') return { kind: 'failed', text: answer.text };
  if (answer.kind !== 'refused') return undefined;
  if (answer.code === 'busy') server.busyUntilMs = nowMs + BUSY_PAUSE_MS;
  if (answer.code === 'lagging') server.laggingUntilMs = nowMs + LAGGING_PAUSE_MS;
  if (answer.code === 'unknown-statement') pooled.prepared.clear();
  return undefined;
}

function recordIfBroken({ brokenAtMs }: ReadGroup, server: ServerState): void {
  if (server.failingSinceMs !== undefined) brokenAtMs.set(server, performance.now());
}

/** Closes the connection and the server's idle ones, which may be broken as well. */
function handleBrokenConnection(
  { brokenAtMs }: ReadGroup,
  server: ServerState,
  pooled: PooledConnection,
): void {
  server.failingSinceMs = performance.now();
  brokenAtMs.set(server, server.failingSinceMs);
  discardConnection(pooled);
  closeIdleConnections(server, () => true);
}

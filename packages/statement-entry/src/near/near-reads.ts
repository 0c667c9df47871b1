/**
 * Near reads: reads of routes that allow stale data, run directly on a replica in the entry's region.
 * The owner offers a log position that includes all writes acknowledged before the request; reads may
 * use it until it is older than the route's allowed read age.
 */
import {
  type GroupName,
  latestPosition,
  type LogPosition,
  type ServerAnnouncement,
  type StatementOutcome,
} from '@bramleykeel/core';
import type { Counters } from '@bramleykeel/link';
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
import type { OpenTarget, TargetAnswer } from '../types/target-port.js';
import type { NearOffer, NearServer } from './near-offer.js';

export interface NearReadsOptions {
  readonly zone: string;
  readonly openTarget: OpenTarget;
  readonly counters: Counters;
  /** Requests an offer from the group's owner; `undefined` if it makes none. */
  readonly requestOffer: (group: GroupName) => Promise<NearOffer | undefined>;
}

interface NearGroup {
  readonly group: GroupName;
  readonly pools: PoolContext;
  readonly servers: Map<string, ServerState>;
  /** The newest offer, for the servers and the connection limit. */
  offer: NearOffer | undefined;
  /** Offered positions, oldest first; each includes all writes acknowledged before its request. */
  readonly positions: { readonly requestedAtMs: number; readonly position: LogPosition }[];
  lastRequestMs: number;
  isRequesting: boolean;
}

export interface NearReads {
  readonly options: NearReadsOptions;
  readonly groups: Map<GroupName, NearGroup>;
}

/**
 * Interval at which an offer is renewed while reads arrive, in milliseconds. The users' shortest read
 * age is 1.5 s; an offer has to be renewed before it reaches that age, less READ_AGE_MARGIN_MS and the
 * round trip to the owner.
 */
const OFFER_RENEWAL_INTERVAL_MS = 1_000;
/** Enough for about 3 s of offers; the users' longest read age is 2.5 s. */
const MAX_KEPT_POSITIONS = 4;
/** Part of a read's allowed age that is reserved for its transit to the replica, in milliseconds. */
const READ_AGE_MARGIN_MS = 200;
/** Time without direct reads after a replica's connection failed; the owner runs the reads meanwhile. */
const FAILED_PAUSE_MS = 1_500;
const BUSY_PAUSE_MS = 30;
const LAGGING_PAUSE_MS = 60;
/** Fraction of a statement's remaining time that the replica gets; after that the owner runs it. */
const REPLICA_TIMEOUT_FRACTION = 0.5;
const SETUP_TIMEOUT_MS = 300;

export function createNearReads(options: NearReadsOptions): NearReads {
  return { options, groups: new Map() };
}

/** Discards all offers: after the process was suspended, their measured age cannot be trusted. */
export function discardOffers(near: NearReads): void {
  for (const group of near.groups.values()) {
    group.offer = undefined;
    group.positions.length = 0;
    group.lastRequestMs = Number.NEGATIVE_INFINITY;
  }
}

/**
 * Tries to run a read on a replica in the entry's region.
 *
 * @returns the outcome, or `undefined` if the owner has to run it; the read leaves no state behind
 */
export async function tryNearRead(
  near: NearReads,
  group: GroupName,
  draft: StatementDraft,
  deadlineMs: number,
): Promise<StatementOutcome | undefined> {
  if (draft.access !== 'read' || draft.transaction || draft.consistency === 'newest') {
    return undefined;
  }
  const nearGroup = nearGroupOf(near, group);
  refreshOffer(near, nearGroup);
  const after = requiredPositionOf(nearGroup, draft);
  const server = after && findAvailableServer(nearGroup);
  if (!after || !server) return undefined;
  server.runningCount += 1;
  try {
    return await runOnServer(near, nearGroup, server, draft, after, deadlineMs);
  } finally {
    server.runningCount -= 1;
  }
}

function nearGroupOf(near: NearReads, group: GroupName): NearGroup {
  const existing = near.groups.get(group);
  if (existing) return existing;
  const { openTarget, counters } = near.options;
  const created: NearGroup = {
    group,
    pools: {
      group,
      openTarget,
      counters,
      maxConnections: () => created.offer?.maxConnections ?? 1,
    },
    servers: new Map(),
    offer: undefined,
    positions: [],
    lastRequestMs: Number.NEGATIVE_INFINITY,
    isRequesting: false,
  };
  near.groups.set(group, created);
  return created;
}

function refreshOffer(near: NearReads, nearGroup: NearGroup): void {
  const requestedAtMs = performance.now();
  if (nearGroup.isRequesting || requestedAtMs - nearGroup.lastRequestMs < OFFER_RENEWAL_INTERVAL_MS)
    return;
  nearGroup.isRequesting = true;
  nearGroup.lastRequestMs = requestedAtMs;
  void near.options.requestOffer(nearGroup.group).then((offer) => {
    nearGroup.isRequesting = false;
    // Offers were discarded while this request was in progress, which reset lastRequestMs.
    if (!offer || nearGroup.lastRequestMs !== requestedAtMs) return;
    nearGroup.offer = offer;
    nearGroup.positions.push({ requestedAtMs, position: offer.position });
    if (nearGroup.positions.length > MAX_KEPT_POSITIONS) nearGroup.positions.shift();
    updateServers(near, nearGroup, offer.servers);
  });
}

function updateServers(
  near: NearReads,
  nearGroup: NearGroup,
  servers: readonly NearServer[],
): void {
  const nowMs = performance.now();
  const offered = new Map(servers.map((server) => [`${server.server}@${server.address}`, server]));
  for (const [key, state] of nearGroup.servers) {
    if (offered.has(key)) continue;
    retireServer(state);
    nearGroup.servers.delete(key);
  }
  for (const [key, server] of offered) {
    if (nearGroup.servers.has(key)) continue;
    const announcement: ServerAnnouncement = {
      ...server,
      group: nearGroup.group,
      zone: near.options.zone,
      role: 'replica',
      isLeaving: false,
      bornMs: 0,
      sequence: 0,
    };
    nearGroup.servers.set(key, createServerState(announcement, nowMs));
  }
}

/**
 * The log position that the read must see at least; `undefined` if all offers are too old. Uses the
 * oldest position that is recent enough, because replicas receive the newest commits with a delay.
 */
function requiredPositionOf(nearGroup: NearGroup, draft: StatementDraft): LogPosition | undefined {
  const oldestAllowedMs = performance.now() - (draft.maxReadAgeMs - READ_AGE_MARGIN_MS);
  const offered = nearGroup.positions.find(({ requestedAtMs }) => requestedAtMs >= oldestAllowedMs);
  if (!offered) return undefined;
  if (draft.consistency !== 'own-writes' || !draft.mark) return offered.position;
  return latestPosition(offered.position, draft.mark);
}

function findAvailableServer({ servers }: NearGroup): ServerState | undefined {
  const nowMs = performance.now();
  return [...servers.values()].find(
    (server) =>
      server.runningCount < Math.ceil(server.announcement.slots / 2) &&
      nowMs >= server.busyUntilMs &&
      nowMs >= server.laggingUntilMs &&
      (server.failingSinceMs === undefined || nowMs - server.failingSinceMs > FAILED_PAUSE_MS),
  );
}

async function runOnServer(
  near: NearReads,
  nearGroup: NearGroup,
  server: ServerState,
  draft: StatementDraft,
  after: LogPosition,
  deadlineMs: number,
): Promise<StatementOutcome | undefined> {
  const valuesKey = valuesKeyOf(draft.values);
  if (server.failingSinceMs !== undefined) server.failingSinceMs = undefined;
  const acquired = await acquireConnection(nearGroup.pools, server, draft.customer, valuesKey);
  if (acquired.kind === 'unavailable') return undefined;
  const { pooled } = acquired;
  for (const order of setupOrders({ ...draft, valuesKey }, pooled, undefined)) {
    const setupAnswer = await pooled.connection.send(order, SETUP_TIMEOUT_MS);
    if (setupAnswer.kind !== 'done') {
      handleBrokenConnection(server, pooled);
      return undefined;
    }
    recordSetup(pooled, order);
  }
  const remainingMs = deadlineMs - performance.now();
  const answer = await pooled.connection.send(
    statementOrder(draft, after),
    remainingMs * REPLICA_TIMEOUT_FRACTION,
  );
  near.options.counters.count(`near.${answer.kind}`);
  return settleRead(server, pooled, answer);
}

function settleRead(
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
    handleBrokenConnection(server, pooled);
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

/** Closes the connection and the server's idle ones, which may be broken as well. */
function handleBrokenConnection(server: ServerState, pooled: PooledConnection): void {
  server.failingSinceMs = performance.now();
  discardConnection(pooled);
  closeIdleConnections(server, () => true);
}

/**
 * Reads that may miss what was acknowledged a moment ago go straight to a replica in the entry's own
 * zone. The owner says which position covers everything acknowledged when it was asked; that holds
 * for as long as the route's reads may be old.
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
  /** Asks the group's owner; `undefined` when it has nothing to offer. */
  readonly askOwner: (group: GroupName) => Promise<NearOffer | undefined>;
}

interface NearGroup {
  readonly group: GroupName;
  readonly pools: PoolContext;
  readonly servers: Map<string, ServerState>;
  /** The newest offer: which servers there are, and how many connections. */
  offer: NearOffer | undefined;
  /** Offered positions, oldest first: each covers what was acknowledged until it was asked for. */
  readonly positions: { readonly askedAtMs: number; readonly position: LogPosition }[];
  askedAtMs: number;
  isAsking: boolean;
}

export interface NearReads {
  readonly options: NearReadsOptions;
  readonly groups: Map<GroupName, NearGroup>;
}

/**
 * An offer is renewed this often while reads come, in milliseconds: before one is too old for reads of 1.5 s at
 * most, less the margin below and the way to the owner, which are the users' shortest.
 */
const ASK_EVERY_MS = 1_000;
/** Offers cover some 3 s: the oldest reads that the users allow are 2.5 s old. */
const KEPT_POSITIONS = 4;
/** Part of a read's allowed age that is kept back for its own way to the replica, in milliseconds. */
const AGE_MARGIN_MS = 200;
/** A replica whose connections failed is left to the owner's judgement for this long. */
const FAILED_PAUSE_MS = 1_500;
const BUSY_PAUSE_MS = 30;
const LAGGING_PAUSE_MS = 60;
/** Share of a statement's time that the replica gets before the owner is asked instead. */
const TRY_SHARE = 0.5;
const SETUP_TIMEOUT_MS = 300;

export function createNearReads(options: NearReadsOptions): NearReads {
  return { options, groups: new Map() };
}

/** After a suspension no time that has passed can be trusted. */
export function forgetOffers(near: NearReads): void {
  for (const group of near.groups.values()) {
    group.offer = undefined;
    group.positions.length = 0;
    group.askedAtMs = Number.NEGATIVE_INFINITY;
  }
}

/**
 * Runs a read at a replica nearby.
 *
 * @returns its outcome, or `undefined` when the owner has to run it: nothing of it is kept either way
 */
export async function readNear(
  near: NearReads,
  group: GroupName,
  draft: StatementDraft,
  deadlineMs: number,
): Promise<StatementOutcome | undefined> {
  if (draft.access !== 'read' || draft.transaction || draft.consistency === 'newest') {
    return undefined;
  }
  const known = groupOf(near, group);
  refreshOffer(near, known);
  const after = owedPosition(known, draft);
  const server = after && freeServer(known);
  if (!after || !server) return undefined;
  server.runningCount += 1;
  try {
    return await runAt(near, known, server, draft, after, deadlineMs);
  } finally {
    server.runningCount -= 1;
  }
}

function groupOf(near: NearReads, group: GroupName): NearGroup {
  const known = near.groups.get(group);
  if (known) return known;
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
    askedAtMs: Number.NEGATIVE_INFINITY,
    isAsking: false,
  };
  near.groups.set(group, created);
  return created;
}

function refreshOffer(near: NearReads, known: NearGroup): void {
  const askedAtMs = performance.now();
  if (known.isAsking || askedAtMs - known.askedAtMs < ASK_EVERY_MS) return;
  known.isAsking = true;
  known.askedAtMs = askedAtMs;
  void near.options.askOwner(known.group).then((offer) => {
    known.isAsking = false;
    // A suspension while the question was on its way has reset the time of asking.
    if (!offer || known.askedAtMs !== askedAtMs) return;
    known.offer = offer;
    known.positions.push({ askedAtMs, position: offer.position });
    if (known.positions.length > KEPT_POSITIONS) known.positions.shift();
    keepServers(near, known, offer.servers);
  });
}

function keepServers(near: NearReads, known: NearGroup, servers: readonly NearServer[]): void {
  const nowMs = performance.now();
  const offered = new Map(servers.map((server) => [`${server.server}@${server.address}`, server]));
  for (const [key, state] of known.servers) {
    if (offered.has(key)) continue;
    retireServer(state);
    known.servers.delete(key);
  }
  for (const [key, server] of offered) {
    if (known.servers.has(key)) continue;
    const announcement: ServerAnnouncement = {
      ...server,
      group: known.group,
      zone: near.options.zone,
      role: 'replica',
      isLeaving: false,
      bornMs: 0,
      sequence: 0,
    };
    known.servers.set(key, createServerState(announcement, nowMs));
  }
}

/**
 * The position that the read is owed; `undefined` when the last offer is too old to tell. The oldest one
 * that is recent enough is asked for, because replicas lack the newest commits for a while.
 */
function owedPosition(known: NearGroup, draft: StatementDraft): LogPosition | undefined {
  const sinceMs = performance.now() - (draft.maxReadAgeMs - AGE_MARGIN_MS);
  const offered = known.positions.find(({ askedAtMs }) => askedAtMs >= sinceMs);
  if (!offered) return undefined;
  if (draft.consistency !== 'own-writes' || !draft.mark) return offered.position;
  return latestPosition(offered.position, draft.mark);
}

function freeServer({ servers }: NearGroup): ServerState | undefined {
  const nowMs = performance.now();
  return [...servers.values()].find(
    (server) =>
      server.runningCount < Math.ceil(server.announcement.slots / 2) &&
      nowMs >= server.busyUntilMs &&
      nowMs >= server.laggingUntilMs &&
      (server.failingSinceMs === undefined || nowMs - server.failingSinceMs > FAILED_PAUSE_MS),
  );
}

async function runAt(
  near: NearReads,
  known: NearGroup,
  server: ServerState,
  draft: StatementDraft,
  after: LogPosition,
  deadlineMs: number,
): Promise<StatementOutcome | undefined> {
  const valuesKey = valuesKeyOf(draft.values);
  if (server.failingSinceMs !== undefined) server.failingSinceMs = undefined;
  const acquired = await acquireConnection(known.pools, server, draft.customer, valuesKey);
  if (acquired.kind === 'unavailable') return undefined;
  const { pooled } = acquired;
  for (const order of setupOrders({ ...draft, valuesKey }, pooled, undefined)) {
    const setUp = await pooled.connection.send(order, SETUP_TIMEOUT_MS);
    if (setUp.kind !== 'done') {
      fail(server, pooled);
      return undefined;
    }
    recordSetup(pooled, order);
  }
  const leftMs = deadlineMs - performance.now();
  const answer = await pooled.connection.send(statementOrder(draft, after), leftMs * TRY_SHARE);
  near.options.counters.count(`near.${answer.kind}`);
  return settle(server, pooled, answer);
}

function settle(
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
    fail(server, pooled);
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

/** Connections that were opened before may be dead as well. */
function fail(server: ServerState, pooled: PooledConnection): void {
  server.failingSinceMs = performance.now();
  discardConnection(pooled);
  closeIdleConnections(server, () => true);
}

/**
 * Reads that the reader of a group runs at the replicas of its region, for all entries there. The owner
 * offers a log position that includes all writes acknowledged before the request; reads may use it until
 * it is older than the route's allowed read age.
 */
import { setTimeout as delay } from 'node:timers/promises';
import {
  areFormerConnectionsClosed,
  connectionLimit,
  type GroupName,
  createHomesClaim,
  homesInForce,
  homesSubjectOf,
  isHome,
  recordOthers,
  type ServerAnnouncement,
  type StatementOutcome,
} from '@bramleykeel/core';
import type { StatementDraft } from '../locate/owner-client.js';
import { createServerState, type ServerState } from '../owner/owner-state.js';
import { retireServer } from '../target/connection-pool.js';
import { findAvailableServer, isEvacuated, requiredPositionOf } from './choose-replica.js';
import { createReadAttempt, type ReadAttempt } from './read-attempt.js';
import type { ReadGroup, ReplicaReads, ReplicaReadsOptions } from './read-group.js';
import type { NearServer, RunningCounts } from './reader-offer.js';
import { mayReadAtReplica } from './reader-client.js';
import { runOnReplica } from './run-on-replica.js';

export type { ReplicaReads } from './read-group.js';

/**
 * Interval at which an offer is renewed while reads arrive, in milliseconds. The users' shortest read
 * age is 1.5 s; an offer has to be renewed before it reaches that age, less the margin for a read's transit and the
 * round trip to the owner.
 */
const OFFER_RENEWAL_INTERVAL_MS = 1_000;
/** Delay before the next request to an owner that made no offer, in milliseconds. */
const NO_OFFER_RETRY_MS = 200;
/** Enough for about 3 s of offers; the users' longest read age is 2.5 s. */
const MAX_KEPT_POSITIONS = 4;
const HANDOVER_POLL_MS = 10;

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
  const homesNow = () => homesInForce(homesClaim, homeRules());
  const isHomeNow = ({ announcement }: ServerState) =>
    isHome(homesNow(), regionOf(announcement.zone));
  const sought = { customer: draft.customer, homes: homesNow() };
  const server = after && findAvailableServer(reads, readGroup, sought);
  if (!after || !server) return undefined;
  server.runningCount += 1;
  try {
    const read = { draft, isHomeNow, after, deadlineMs, attempt };
    return await runOnReplica(readGroup, server, read);
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
    isEvacuated: (server) => isEvacuated(reads, server),
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

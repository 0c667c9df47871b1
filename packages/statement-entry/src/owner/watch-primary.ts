/** Monitors the primary by announcements, outstanding answers and probes, and replaces it if it is lost. */
import { setTimeout as delay } from 'node:timers/promises';
import { type PlannedChangeReason, recordDeparture, type ServerName } from '@bramleykeel/core';
import { match } from 'ts-pattern';
import { retireServer, closeExcessIdleConnections } from '../target/connection-pool.js';
import { mayReaderUse } from '../target/connection-budget.js';
import { warmUpConnections } from '../target/connection-warmup.js';
import {
  closeControlConnection,
  sendControlOrderToAll,
  probeServer,
} from '../target/server-control.js';
import { LOST_FOR_GOOD_MS } from './membership.js';
import { isLost } from './is-lost.js';
import { isActiveOwner, primaryOf, type ServerState, type StatementOwner } from './owner-state.js';
import { plannedReasonFor } from './placement.js';
import { placeOf, recordServerPlaces } from './server-places.js';
import { newestPrimary } from './set-primary.js';
import { takeOver } from './take-over.js';
import { changePrimary } from './change-primary.js';
import { handleStalledCommits, checkReplicas } from './watch-replicas.js';

const SUSPECT_PROBE_MS = 80;
const IDLE_PROBE_MS = 500;
/** The primary is probed once an answer has been outstanding for this long, in milliseconds. */
const UNANSWERED_PROBE_MS = 500;
/**
 * A write that stalls while the server answers other orders is a sign that the primary cannot reach its
 * replicas. It counts for this long, in milliseconds.
 */
const STALLED_WRITE_WINDOW_MS = 1_500;
/** Stalled commits cause no further change of primary for this long after a promotion, in milliseconds. */
const MIN_STALL_CHANGE_INTERVAL_MS = 6_000;
/** A server that has never answered is taken to be lost after this time, in milliseconds. */
const NEVER_REACHED_MS = 12_000;

const PLANNED_REASON_TEXTS: Readonly<Record<PlannedChangeReason, string>> = {
  leaving: 'the primary is leaving',
  evacuated: 'the zone of the primary is evacuated',
  'outside-homes': 'the primary is outside the home regions of its routes',
};

/** Checks the server immediately if it is the primary. */
export function suspectPrimary(owner: StatementOwner, server: ServerState): void {
  if (primaryOf(owner) === server && !server.isProbing) void checkPrimary(owner, server, true);
}

/** Periodic check of the primary and the other servers; does nothing without the lease. */
export function watchPrimary(owner: StatementOwner): void {
  if (owner.isClosed || !owner.environment.holdsLease()) return;
  removeStaleServers(owner);
  for (const server of owner.servers.values()) {
    closeExcessIdleConnections(owner.pools, server);
    if (server.failingSinceMs !== undefined && server !== primaryOf(owner))
      probeFailingServer(owner, server);
  }
  recordServerPlaces(owner);
  const { leadership } = owner;
  switch (leadership.kind) {
    case 'unknown':
      void takeOver(owner);
      return;
    case 'led': {
      owner.lastLedMs = performance.now();
      const primary = owner.servers.get(leadership.server);
      void checkReplicas(owner);
      void warmUpConnections(owner);
      if (primary && mayReaderUse(owner, primary)) void releaseFromReader(owner, primary);
      if (primary) void checkPrimary(owner, primary, false);
      else void changePrimary(owner, 'the primary was removed from the group', false);
      return;
    }
    case 'changing':
  }
}

/** Takes over the connections of a server that was promoted from its region's reader. */
async function releaseFromReader(owner: StatementOwner, primary: ServerState): Promise<void> {
  const { server, zone } = primary.announcement;
  const { environment } = owner;
  const isReleased = await environment.releaseFromReader(environment.regionOf(zone), server);
  if (!isReleased || primaryOf(owner) !== primary || owner.releasedByReader.has(server)) return;
  owner.releasedByReader.add(server);
  environment.log(`the reader has closed its connections to ${server}, the new primary`, {
    group: owner.group,
    sincePromotionMs: Math.round(performance.now() - owner.lastPromotionMs),
  });
}

function probeFailingServer(owner: StatementOwner, server: ServerState): void {
  const nowMs = performance.now();
  if (server.isProbing || nowMs - server.lastAnswerMs < IDLE_PROBE_MS) return;
  if (nowMs - (server.failingSinceMs ?? nowMs) > IDLE_PROBE_MS && Math.random() > 0.2) return;
  void probeServer(owner, server);
}

function removeStaleServers(owner: StatementOwner): void {
  const nowMs = performance.now();
  for (const [name, server] of owner.servers) {
    const limitMs = server.isVerified ? LOST_FOR_GOOD_MS : NEVER_REACHED_MS;
    const isStale =
      nowMs - server.lastAnnouncementMs > limitMs && server.failingSinceMs !== undefined;
    if (isStale) removeServer(owner, name);
  }
}

/** Removes a server that has left, was replaced, restarted or became unreachable, and closes its connections. */
export function removeServer(owner: StatementOwner, name: ServerName): void {
  const server = owner.servers.get(name);
  if (!server) return;
  owner.environment.log(`server ${name} of ${owner.group} removed`);
  owner.servers.delete(name);
  if (!isLastPrimary(owner, name))
    recordDeparture(owner.coverage, placeOf(server), performance.now());
  retireServer(server);
  closeControlConnection(server);
}

/** Whether the server is the primary that leads or led last; its commits are acknowledged by others. */
function isLastPrimary({ leadership }: StatementOwner, name: ServerName): boolean {
  return match(leadership)
    .with({ kind: 'led' }, ({ server }) => server === name)
    .with({ kind: 'changing' }, ({ former }) => former === name)
    .with({ kind: 'unknown' }, () => false)
    .exhaustive();
}

/** Decides from announcements, outstanding answers and probes whether the primary has to be replaced. */
async function checkPrimary(
  owner: StatementOwner,
  primary: ServerState,
  isSuspected: boolean,
): Promise<void> {
  const { leadership } = owner;
  if (leadership.kind !== 'led') return;
  const { announcement, lastAnnouncementMs } = primary;
  const plannedReason = plannedReasonFor(owner, primary);
  if (plannedReason !== undefined) {
    if (plannedReason === 'outside-homes') owner.homeChangeMs = performance.now();
    await changePrimary(owner, PLANNED_REASON_TEXTS[plannedReason], true);
    return;
  }
  const announcesReplicaRole =
    announcement.role === 'replica' && lastAnnouncementMs > leadership.sinceMs;
  const otherPrimary = [...owner.servers.values()].find(
    (server) =>
      server !== primary &&
      server.announcement.role === 'primary' &&
      server.lastAnnouncementMs > leadership.sinceMs,
  );
  if (announcesReplicaRole || otherPrimary) {
    await verifyPrimary(owner, primary);
    return;
  }
  if (hasStalledCommits(owner, primary)) {
    owner.stalledCommits = [];
    await handleStalledCommits(owner, primary);
    return;
  }
  if (!isSuspected && primary.failingSinceMs === undefined && !isUnanswered(primary)) return;
  if (primary.isProbing) return;
  const isAlive = await probeServer(owner, primary);
  if (isAlive) {
    if (isSuspected) await verifyPrimary(owner, primary);
    return;
  }
  if (isLost(primary)) {
    await changePrimary(owner, 'the primary does not answer', false);
    return;
  }
  await delay(SUSPECT_PROBE_MS);
  if (isActiveOwner(owner)) await checkPrimary(owner, primary, false);
}

function isUnanswered(primary: ServerState): boolean {
  const nowMs = performance.now();
  if (nowMs - primary.lastAnswerMs < UNANSWERED_PROBE_MS) return false;
  const isWaiting = primary.runningCount > 0;
  const isSilent = nowMs - primary.lastAnnouncementMs > IDLE_PROBE_MS * 6;
  return isWaiting || isSilent;
}

function hasStalledCommits(owner: StatementOwner, primary: ServerState): boolean {
  const nowMs = performance.now();
  if (nowMs - owner.lastPromotionMs < MIN_STALL_CHANGE_INTERVAL_MS) return false;
  owner.stalledCommits = owner.stalledCommits.filter(
    ({ server, atMs }) => server === primary && nowMs - atMs < STALLED_WRITE_WINDOW_MS,
  );
  return owner.stalledCommits.length > 0;
}

const ownersBeingVerified = new WeakSet<StatementOwner>();

async function verifyPrimary(owner: StatementOwner, primary: ServerState): Promise<void> {
  if (ownersBeingVerified.has(owner)) return;
  ownersBeingVerified.add(owner);
  const statuses = await sendControlOrderToAll(owner, () => ({ kind: 'status' }));
  ownersBeingVerified.delete(owner);
  if (!isActiveOwner(owner) || owner.leadership.kind !== 'led') return;
  const newest = newestPrimary(statuses);
  if (newest?.server === primary) return;
  const primaryStatus = statuses.find(({ server }) => server === primary);
  if (newest && newest.status.term > (primaryStatus?.status.term ?? 0)) {
    owner.environment.log(
      `${newest.server.announcement.server} is primary of ${owner.group} under a newer term`,
    );
    owner.leadership = { kind: 'unknown', sinceMs: performance.now() };
    await takeOver(owner);
    return;
  }
  if (primaryStatus?.status.role === 'replica')
    await changePrimary(owner, 'the primary became a replica', false);
}

/** What an owner does about targets in evacuated zones. */
import { refuse, type ServerName } from '@bramleykeel/core';
import { discardConnection } from '../target/target-pool.js';
import type { GroupOwner, OwnerSession } from './owner-state.js';
import { reportLostTransaction } from './request-end.js';

/** How long an open transaction may continue after its zone was evacuated, in milliseconds. */
const OPEN_TRANSACTION_GRACE_MS = 3_000;

/** Whether nothing may be started at a target, because its zone is evacuated. */
export function isEvacuated({ environment, view }: GroupOwner, server: ServerName): boolean {
  const zone = view.servers.get(server)?.announcement.zone;
  return zone !== undefined && environment.evacuatedZones().has(zone);
}

/**
 * Whether no target of the group can run anything until the evacuations change: none outside the evacuated zones
 * is announced. An owner that has just started waits for the announcements of the servers on record.
 */
export function hasOnlyEvacuatedTargets(owner: GroupOwner): boolean {
  const { environment, view } = owner;
  if (environment.evacuatedZones().size === 0) return false;
  const { staleAnnouncementMs } = environment.settings.targets;
  const nowMs = performance.now();
  const { servers, primary } = environment.groupRecord();
  const isStarting = nowMs - owner.startedAtMs < staleAnnouncementMs;
  if (isStarting && servers.some((server) => !view.servers.has(server))) return false;
  return ![...view.servers.values()].some(({ server, announcement, heardAtMs }) => {
    if (isEvacuated(owner, server) || nowMs - heardAtMs > staleAnnouncementMs) return false;
    return !announcement.isLeaving || server === primary;
  });
}

/** Records when this owner learnt of each evacuation in force. */
export function trackEvacuations({ environment, evacuatedSinceMs }: GroupOwner): void {
  const zones = environment.evacuatedZones();
  for (const zone of evacuatedSinceMs.keys()) {
    if (!zones.has(zone)) evacuatedSinceMs.delete(zone);
  }
  for (const zone of zones) {
    if (!evacuatedSinceMs.has(zone)) evacuatedSinceMs.set(zone, performance.now());
  }
}

/**
 * Aborts transactions that are still open at evacuated targets after the grace period. A statement that a target
 * already runs is left to finish; its transaction is aborted afterwards.
 */
export function abortEvacuatedTransactions(owner: GroupOwner): void {
  if (owner.evacuatedSinceMs.size === 0) return;
  const nowMs = performance.now();
  for (const session of owner.sessions.values()) {
    const { pinned, request } = session;
    const zone = pinned && owner.view.servers.get(pinned.server)?.announcement.zone;
    const sinceMs = zone === undefined ? undefined : owner.evacuatedSinceMs.get(zone);
    if (sinceMs === undefined || nowMs - sinceMs < OPEN_TRANSACTION_GRACE_MS) continue;
    if (!request || request.stage === 'queued') abortTransaction(owner, session);
  }
}

function abortTransaction(owner: GroupOwner, session: OwnerSession): void {
  const { pinned, request } = session;
  if (!pinned) return;
  session.pinned = undefined;
  discardConnection(pinned.pool, pinned.connection);
  owner.environment.counters.count('transaction.evacuated');
  // A waiting statement of the session is refused by the scheduler, which finds no connection for it.
  if (request) return;
  const refusal = refuse('transaction-lost', 'the zone of its server is evacuated');
  reportLostTransaction(owner, session, refusal);
}

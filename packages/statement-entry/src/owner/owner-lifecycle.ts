/** Lifecycle of the owner of a statement group: starts with a lease, ends with its loss or a handover. */
import { setTimeout as delay } from 'node:timers/promises';
import {
  type GroupName,
  isNewerAnnouncement,
  leavingSinceOf,
  type ServerAnnouncement,
  type ServerName,
  type ServerPlace,
  withdrawDeparture,
} from '@bramleykeel/core';
import { retireServer } from '../target/connection-pool.js';
import { closeControlConnection } from '../target/server-control.js';
import { dispatch, expireWaiting } from './dispatch.js';
import { notRun } from './end-job.js';
import { dropWaiting, hasWaiting } from './job-queue.js';
import { dropHeldCommits } from './hold-commits.js';
import {
  createServerState,
  createStatementOwner,
  type OwnerEnvironment,
  type StatementOwner,
} from './owner-state.js';
import { abortMisplacedTransactions, followEvacuations } from './placement.js';
import { loadRecordedServers, recordServerPlaces, UNKNOWN_BORN_MS } from './server-places.js';
import { dropTransaction } from './transactions.js';
import { removeServer, suspectPrimary, watchPrimary } from './watch-primary.js';

const EXPIRE_EVERY_MS = 25;
const WATCH_EVERY_MS = 100;
const HOUSEKEEPING_EVERY_MS = 500;
const DRAIN_POLL_MS = 10;
/** Time that running statements get after the grace of transactions, in milliseconds; the group waits meanwhile. */
const FINISH_MS = 1_000;

export function startStatementOwner(
  group: GroupName,
  epoch: number,
  environment: OwnerEnvironment,
): StatementOwner {
  const owner = createStatementOwner(group, epoch, environment);
  owner.suspect = (server) => {
    suspectPrimary(owner, server);
  };
  loadRecordedServers(owner);
  owner.timers = [
    setInterval(() => {
      if (!hasWaiting(owner)) return;
      expireWaiting(owner);
      dispatch(owner);
    }, EXPIRE_EVERY_MS),
    setInterval(() => {
      followEvacuations(owner);
      abortMisplacedTransactions(owner);
      watchPrimary(owner);
    }, WATCH_EVERY_MS),
    setInterval(() => {
      endIdleTransactions(owner);
    }, HOUSEKEEPING_EVERY_MS),
  ];
  environment.log(`this entry owns ${group}, epoch ${epoch}`);
  return owner;
}

/** Applies an announcement of a server, unless it is older than the known one or from an earlier process. */
export function applyServerAnnouncement(
  owner: StatementOwner,
  announcement: ServerAnnouncement,
): void {
  const existing = owner.servers.get(announcement.server);
  if (existing && !isNewerAnnouncement(announcement, existing.announcement)) return;
  // A former owner has heard of the departure; this announcement was sent before it.
  if (existing?.leavingSince && isNewerAnnouncement(existing.leavingSince, announcement)) return;
  const nowMs = performance.now();
  const isRestarted =
    existing &&
    existing.announcement.bornMs !== UNKNOWN_BORN_MS &&
    existing.announcement.bornMs !== announcement.bornMs;
  const isMoved = existing && existing.announcement.address !== announcement.address;
  if (existing && (isRestarted === true || isMoved === true)) {
    owner.environment.log(
      `server ${announcement.server} of ${owner.group} has restarted or changed its address`,
    );
    removeServer(owner, announcement.server);
  }
  const current = owner.servers.get(announcement.server);
  if (current) {
    current.announcement = announcement;
    current.leavingSince = leavingSinceOf(announcement, current.leavingSince);
    current.lastAnnouncementMs = nowMs;
    current.coldUntilMs = nowMs + (announcement.coldLeftMs ?? 0);
  } else {
    removeFormerServers(owner, announcement);
    withdrawDeparture(owner.coverage, (place) => isSameProcess(place, announcement));
    owner.servers.set(announcement.server, createServerState(announcement, nowMs));
    const { server, address, role } = announcement;
    owner.environment.log(`server ${server} of ${owner.group} is at ${address}, ${role}`);
  }
  recordServerPlaces(owner);
  if (owner.leadership.kind !== 'changing') watchPrimary(owner);
  dispatch(owner);
}

/** Whether a server that counted as gone has announced itself again, as after a late notice of its end. */
function isSameProcess(place: ServerPlace, { server, address, bornMs }: ServerPlace): boolean {
  return place.server === server && place.address === address && place.bornMs === bornMs;
}

/** Only one process can be bound to an address, so earlier servers at the same address have ended. */
function removeFormerServers(owner: StatementOwner, { address, bornMs }: ServerAnnouncement): void {
  for (const [name, { announcement }] of owner.servers) {
    if (announcement.address === address && announcement.bornMs < bornMs) removeServer(owner, name);
  }
}

/** Removes a server after its planned shutdown. */
export function handleServerLeave(owner: StatementOwner, server: ServerName): void {
  const state = owner.servers.get(server);
  // The record may have to keep it for its commits.
  if (state) state.leavingSince ??= state.announcement;
  removeServer(owner, server);
  recordServerPlaces(owner);
}

/**
 * Stops accepting statements and waits up to `graceMs` for open transactions. Those that remain end; statements that have
 * reached a server are waited for a little longer, because their outcome would be unknown otherwise.
 */
export async function drainStatementOwner(owner: StatementOwner, graceMs: number): Promise<void> {
  owner.isStopping = true;
  const untilMs = performance.now() + graceMs;
  dropWaiting(owner, (job) => job.transaction?.pooled === undefined, notRun('no-owner'));
  while (owner.running.size + owner.transactions.size > 0 && performance.now() < untilMs) {
    await delay(DRAIN_POLL_MS);
  }
  owner.isFinishing = true;
  for (const transaction of [...owner.transactions.values()])
    if (!transaction.isBusy) dropTransaction(owner, transaction);
  // A first statement has begun nothing yet, and runs under the next owner.
  dropWaiting(owner, ({ request }) => request.transaction?.isFirst === false, {
    kind: 'aborted',
    reason: 'the group is handed over',
  });
  const finishedByMs = performance.now() + FINISH_MS;
  while (owner.running.size > 0 && performance.now() < finishedByMs) await delay(DRAIN_POLL_MS);
}

/** Closes the owner; it runs and acknowledges nothing afterwards. */
export function closeStatementOwner(owner: StatementOwner): void {
  if (owner.isClosed) return;
  dropWaiting(owner, () => true, notRun('no-owner'));
  owner.isClosed = true;
  dropHeldCommits(owner);
  for (const timer of owner.timers) clearInterval(timer);
  for (const transaction of [...owner.transactions.values()]) dropTransaction(owner, transaction);
  for (const server of owner.servers.values()) {
    retireServer(server);
    closeControlConnection(server);
  }
  owner.environment.log(`this entry no longer owns ${owner.group}`);
}

function endIdleTransactions(owner: StatementOwner): void {
  const limitMs = performance.now() - owner.environment.idleTransactionMs();
  for (const transaction of [...owner.transactions.values()]) {
    if (transaction.isBusy || transaction.lastUsedMs > limitMs) continue;
    owner.environment.log(`transaction ${transaction.key} ended: idle timeout exceeded`);
    dropTransaction(owner, transaction);
  }
}

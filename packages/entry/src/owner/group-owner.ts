/** Lifecycle of a group's owner: it starts with a lease, and ends with it or with a handover. */
import { setTimeout as delay } from 'node:timers/promises';
import {
  type Announcement,
  type GroupName,
  latestPosition,
  recordAnnouncement,
  type ServerName,
  waitingCount,
} from '@bramleykeel/core';
import {
  closePool,
  createTargetPool,
  type TargetPool,
  updateLimits,
  warmPool,
} from '../target/target-pool.js';
import { settleAcknowledgements } from './acknowledge.js';
import { advanceFailover, probePrimary } from './failover-runner.js';
import { closeSession, endIdleTransactions, forgetOldFates } from './owner-app.js';
import { createGroupOwner, type GroupOwner, type OwnerEnvironment } from './owner-state.js';
import { checkSilence, dropSuperseded } from './request-run.js';
import { expireWaiting, requeue, schedule } from './scheduler.js';

const SCHEDULE_EVERY_MS = 10;
const DUTIES_EVERY_MS = 50;
const HOUSEKEEPING_EVERY_MS = 1_000;

/** Starts to act as the owner of a group. */
export function startGroupOwner(
  group: GroupName,
  epoch: number,
  environment: OwnerEnvironment,
): GroupOwner {
  const owner = createGroupOwner(group, epoch, environment, { schedule, requeue });
  owner.timers = [
    setInterval(() => {
      if (waitingCount(owner.queue) === 0 && owner.pinnedWaiting.length === 0) return;
      expireWaiting(owner);
      schedule(owner);
    }, SCHEDULE_EVERY_MS),
    setInterval(() => {
      runDuties(owner);
    }, DUTIES_EVERY_MS),
    setInterval(() => {
      endIdleTransactions(owner);
      forgetOldFates(owner);
    }, HOUSEKEEPING_EVERY_MS),
  ];
  environment.log(`this entry owns ${group}, epoch ${epoch}`);
  return owner;
}

function runDuties(owner: GroupOwner): void {
  settleAcknowledgements(owner);
  checkSilence(owner);
  advanceFailover(owner, { kind: 'tick' });
  void probePrimary(owner);
  for (const pool of owner.pools.values()) void warmPool(pool);
}

/** Takes in an announcement of one of the group's servers. */
export function takeAnnouncement(owner: GroupOwner, announcement: Announcement): void {
  if (!recordAnnouncement(owner.view, announcement, performance.now())) return;
  owner.highestSeen = latestPosition(owner.highestSeen, announcement.position);
  keepPool(owner, announcement);
  observeServer(owner, announcement.server);
  settleAcknowledgements(owner);
  advanceFailover(owner, { kind: 'tick' });
  schedule(owner);
}

function keepPool(owner: GroupOwner, announcement: Announcement): void {
  const { server, address } = announcement;
  const known = owner.pools.get(server);
  if (known?.address === address) {
    updateLimits(known, announcement);
    return;
  }
  if (known) closePool(known);
  const { user, password, connectTimeoutMs, idleCheckMs } = owner.environment.settings.targets;
  const credentials = { user, password, database: owner.group };
  const pool = createTargetPool(announcement, { credentials, connectTimeoutMs, idleCheckMs });
  pool.onPosition = (position) => {
    owner.highestSeen = latestPosition(owner.highestSeen, position);
    if (owner.baseMark === undefined && isPrimaryPool(owner, pool)) {
      owner.baseMark = position;
      owner.environment.log(`base mark of ${owner.group} is ${position.term}/${position.offset}`);
    }
  };
  owner.pools.set(server, pool);
}

function isPrimaryPool(owner: GroupOwner, pool: TargetPool): boolean {
  const { primary } = owner.environment.groupRecord();
  return primary !== undefined && owner.pools.get(primary) === pool;
}

/** Control keeps the list of a group's servers, so that a new owner knows what a quorum is. */
function observeServer(owner: GroupOwner, server: ServerName): void {
  if (owner.environment.groupRecord().servers.includes(server)) return;
  void owner.environment.propose({ kind: 'group/observe', group: owner.group, server });
}

/** Looks at everything again after control has changed the group's record or settings. */
export function handleRecordChange(owner: GroupOwner): void {
  const { term } = owner.environment.groupRecord();
  if (term > owner.seenTerm) {
    owner.seenTerm = term;
    dropSuperseded(owner);
  }
  settleAcknowledgements(owner);
  advanceFailover(owner, { kind: 'tick' });
  schedule(owner);
}

/** Stops taking new transactions and waits for what runs, `graceMs` at most. */
export async function drainGroupOwner(owner: GroupOwner, graceMs: number): Promise<void> {
  owner.isStopping = true;
  const untilMs = performance.now() + graceMs;
  while (isBusy(owner) && performance.now() < untilMs) await delay(SCHEDULE_EVERY_MS);
}

function isBusy(owner: GroupOwner): boolean {
  if (waitingCount(owner.queue) > 0) return true;
  return [...owner.sessions.values()].some(({ request, pinned }) => request ?? pinned);
}

/** Ends the owner: nothing is run or acknowledged by it after this. */
export function closeGroupOwner(owner: GroupOwner): void {
  if (owner.isClosed) return;
  settleAcknowledgements(owner);
  owner.isClosed = true;
  for (const timer of owner.timers) clearInterval(timer);
  for (const id of [...owner.sessions.keys()]) closeSession(owner, id);
  for (const pool of owner.pools.values()) {
    closePool(pool);
    for (const connection of pool.inUse) connection.socket.destroy();
  }
  owner.environment.log(`this entry no longer owns ${owner.group}`);
}

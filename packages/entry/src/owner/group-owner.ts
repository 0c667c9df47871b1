/** Lifecycle of a group's owner: starts when a lease is granted, ends on lease loss or handover. */
import { setTimeout as delay } from 'node:timers/promises';
import {
  type Announcement,
  type GroupName,
  latestPosition,
  recordAnnouncement,
  waitingCount,
} from '@bramleykeel/core';
import { limitLog } from '@bramleykeel/link';
import {
  closePool,
  createTargetPool,
  type TargetPool,
  updateLimits,
  warmPool,
} from '../target/target-pool.js';
import type { OutOfStepReport } from '../target/out-of-step.js';
import { evaluateAcknowledgements } from './acknowledge.js';
import { abortEvacuatedTransactions, isEvacuated, trackEvacuations } from './evacuated-targets.js';
import { advanceFailover, probePrimary } from './failover-runner.js';
import { closeSession, endIdleTransactions, purgeExpiredRequestStatuses } from './owner-app.js';
import { createGroupOwner, type GroupOwner, type OwnerEnvironment } from './owner-state.js';
import { registerServer, trackMembership } from './register-server.js';
import { checkSilentConnections, terminateSuperseded } from './request-run.js';
import { expireWaiting, requeue, schedule } from './scheduler.js';

const SCHEDULE_INTERVAL_MS = 10;
const PERIODIC_TASKS_INTERVAL_MS = 50;
const HOUSEKEEPING_INTERVAL_MS = 1_000;

const OUT_OF_STEP_COUNTERS: Readonly<Record<OutOfStepReport['moment'], string>> = {
  unused: 'message-unexpected',
  'in-request': 'answer-foreign',
  copy: 'answer-repeated',
  unreadable: 'message-unreadable',
};

/** Starts the owner of a group under the given epoch. */
export function startGroupOwner(
  group: GroupName,
  epoch: number,
  environment: OwnerEnvironment,
): GroupOwner {
  const owner = createGroupOwner(group, epoch, environment, { schedule, requeue });
  trackEvacuations(owner);
  owner.timers = [
    setInterval(() => {
      if (waitingCount(owner.queue) === 0 && owner.pinnedWaiting.length === 0) return;
      expireWaiting(owner);
      schedule(owner);
    }, SCHEDULE_INTERVAL_MS),
    setInterval(() => {
      runPeriodicTasks(owner);
    }, PERIODIC_TASKS_INTERVAL_MS),
    setInterval(() => {
      endIdleTransactions(owner);
      purgeExpiredRequestStatuses(owner);
    }, HOUSEKEEPING_INTERVAL_MS),
  ];
  environment.log(`became owner of ${group}, epoch ${epoch}`);
  return owner;
}

function runPeriodicTasks(owner: GroupOwner): void {
  evaluateAcknowledgements(owner);
  checkSilentConnections(owner);
  abortEvacuatedTransactions(owner);
  advanceFailover(owner, { kind: 'tick' });
  void probePrimary(owner);
  for (const [server, pool] of owner.pools) if (!isEvacuated(owner, server)) void warmPool(pool);
}

/** Processes an announcement from one of the group's servers. */
export function handleAnnouncement(owner: GroupOwner, announcement: Announcement): void {
  if (!recordAnnouncement(owner.view, announcement, performance.now())) return;
  owner.highestSeen = latestPosition(owner.highestSeen, announcement.position);
  trackMembership(owner);
  createOrUpdatePool(owner, announcement);
  registerServer(owner, announcement.server);
  evaluateAcknowledgements(owner);
  advanceFailover(owner, { kind: 'tick' });
  schedule(owner);
}

function createOrUpdatePool(owner: GroupOwner, announcement: Announcement): void {
  const { server, address } = announcement;
  const existingPool = owner.pools.get(server);
  if (existingPool?.address === address) {
    updateLimits(existingPool, announcement);
    return;
  }
  if (existingPool) closePool(existingPool);
  const { user, password, connectTimeoutMs, idleCheckMs } = owner.environment.settings.targets;
  const credentials = { user, password, database: owner.group };
  const pool = createTargetPool(announcement, { credentials, connectTimeoutMs, idleCheckMs });
  const limitedLog = limitLog(owner.environment.log);
  pool.onOutOfStep = (report) => {
    owner.environment.counters.count(`target.${OUT_OF_STEP_COUNTERS[report.moment]}`);
    const message =
      report.moment === 'unreadable'
        ? 'server sent a message that cannot be read; closing the connection'
        : 'server sent a message that nothing asked for';
    limitedLog(message, {
      ...{ group: owner.group, server, ...report, isClosed: report.moment !== 'copy' },
    });
  };
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

/** Re-evaluates pending work after control has changed the group's record, settings or evacuations. */
export function handleRecordChange(owner: GroupOwner): void {
  trackEvacuations(owner);
  trackMembership(owner);
  const { term } = owner.environment.groupRecord();
  if (term > owner.lastHandledTerm) {
    owner.lastHandledTerm = term;
    terminateSuperseded(owner);
  }
  evaluateAcknowledgements(owner);
  advanceFailover(owner, { kind: 'tick' });
  schedule(owner);
}

/**
 * Stops accepting new transactions and waits up to `graceMs` milliseconds for current work to end.
 */
export async function drainGroupOwner(owner: GroupOwner, graceMs: number): Promise<void> {
  owner.isStopping = true;
  const untilMs = performance.now() + graceMs;
  while (isBusy(owner) && performance.now() < untilMs) await delay(SCHEDULE_INTERVAL_MS);
}

function isBusy(owner: GroupOwner): boolean {
  if (waitingCount(owner.queue) > 0) return true;
  return [...owner.sessions.values()].some(({ request, pinned }) => request ?? pinned);
}

/** Closes the owner. It runs and acknowledges nothing afterwards. */
export function closeGroupOwner(owner: GroupOwner): void {
  if (owner.isClosed) return;
  evaluateAcknowledgements(owner);
  owner.isClosed = true;
  for (const timer of owner.timers) clearInterval(timer);
  for (const id of [...owner.sessions.keys()]) closeSession(owner, id);
  for (const pool of owner.pools.values()) {
    closePool(pool);
    for (const connection of pool.inUse) connection.socket.destroy();
  }
  owner.environment.log(`stopped being owner of ${owner.group}`);
}

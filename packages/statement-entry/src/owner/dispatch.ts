/** The owner's queue: assigns waiting statements to servers and expires those that waited too long. */
import {
  dequeue,
  enqueue,
  isQueueFull,
  type QueuedItem,
  removeWaiting,
  type ServerName,
  type TargetView,
  removeExpired,
  takeNext,
  waitingCount,
} from '@bramleykeel/core';
import { judgeArrival, recordWait, removeLate, withoutNeededPrimary } from './admission.js';
import { endJob, isOverloadControlled, notRun, RETRY_AFTER_MS } from './end-job.js';
import { hasWaiting, queueOf } from './job-queue.js';
import type { Job, ServerState, StatementOwner } from './owner-state.js';
import {
  homesOf,
  isGraceOver,
  isHomeOf,
  isWhollyEvacuated,
  lacksHomeServer,
  lacksPlaceForPrimary,
  recordStart,
} from './placement.js';
import { runJob } from './run-job.js';
import {
  chooseServerFor,
  requirementsKeyOf,
  freeSlots,
  isForPrimary,
  listTargetViews,
  targetViewOf,
} from './server-choice.js';
import { dropTransaction } from './transactions.js';

/** Retry delay sent to callers while a change of primary waits for a server to return, in milliseconds. */
const BLOCKED_RETRY_AFTER_MS = 1_000;

/** Why a statement is not queued, and when its caller may try again. */
export interface ArrivalRefusal {
  readonly reason: 'no-primary' | 'no-home-server' | 'overloaded' | 'queue-full';
  readonly retryAfterMs: number;
}

/** Queues a statement; it runs immediately if a server is free. */
export function submitJob(owner: StatementOwner, job: Job): void {
  if (homesOf(owner, job)) owner.hasRestrictedStatements = true;
  const refusal = refusalOnArrival(owner, job);
  if (refusal?.reason === 'overloaded') {
    endOverloaded(owner, job, refusal.retryAfterMs);
    return;
  }
  if (refusal) {
    endJob(owner, job, notRun(refusal.reason, refusal.retryAfterMs));
    return;
  }
  if (job.transaction?.pooled) {
    owner.pinnedWaiting.push(job);
  } else {
    const { customer, priority } = job.request;
    const queued = { item: job, customer, deadlineMs: job.startByMs };
    enqueue(queueOf(owner, priority), queued, performance.now());
  }
  dispatch(owner);
}

/**
 * Whether an arriving statement is refused at once. Counts it as an arrival if it is judged by its predicted wait and
 * admitted.
 *
 * @param random as for `listTargetViews`
 */
export function refusalOnArrival(
  owner: StatementOwner,
  job: Job,
  random: () => number = Math.random,
): ArrivalRefusal | undefined {
  const reason = immediateRefusal(owner, job);
  if (reason) return { reason, retryAfterMs: BLOCKED_RETRY_AFTER_MS };
  if (job.transaction?.pooled) return undefined;
  // With nothing waiting it starts at once, or is the next to start.
  const isToBeJudged = isOverloadControlled(owner) && hasWaiting(owner);
  const verdict = isToBeJudged ? judgeArrival(owner, job, random) : undefined;
  if (verdict?.kind === 'refuse')
    return { reason: 'overloaded', retryAfterMs: verdict.retryAfterMs };
  const { customer, priority } = job.request;
  const queue = owner.queues.get(priority);
  const isFull = queue !== undefined && isQueueFull(queue, customer);
  return isFull ? { reason: 'queue-full', retryAfterMs: RETRY_AFTER_MS } : undefined;
}

function endOverloaded(owner: StatementOwner, job: Job, retryAfterMs: number): void {
  const { counters } = owner.environment;
  counters.count(`refusal.overloaded.priority-${job.request.priority}`);
  endJob(owner, job, notRun('overloaded', retryAfterMs));
}

/** Why a statement would only expire: no server may run it before another returns or an order is withdrawn. */
function immediateRefusal(
  owner: StatementOwner,
  job: Job,
): 'no-primary' | 'no-home-server' | undefined {
  if (job.transaction?.pooled) return undefined;
  if (isBlocked(owner) && isForPrimary(job)) return 'no-primary';
  if (owner.environment.evacuatedZones().size > 0 && isWhollyEvacuated(owner)) return 'no-primary';
  const isUnplaced = lacksHomeServer(owner, homesOf(owner, job), isForPrimary(job));
  return isUnplaced ? 'no-home-server' : undefined;
}

/** Whether some statements may have to be refused at once. */
function mayRefuseAtOnce(owner: StatementOwner): boolean {
  const hasOrders = owner.environment.evacuatedZones().size > 0;
  // A statement that waits may have become limited by a change of settings.
  const hasLimits = owner.environment.homeRules()?.isLimited === true;
  return isBlocked(owner) || hasOrders || hasLimits || owner.hasRestrictedStatements;
}

/** Whether no server can lead before another one returns or an evacuation is withdrawn. */
function isBlocked(owner: StatementOwner): boolean {
  const { leadership } = owner;
  if (leadership.kind === 'changing') return leadership.isBlocked;
  return leadership.kind === 'led' && lacksPlaceForPrimary(owner);
}

/** Starts all waiting statements that a server can run now. */
export function dispatch(owner: StatementOwner): void {
  if (owner.isDispatching || owner.isClosed || !owner.environment.holdsLease()) return;
  owner.isDispatching = true;
  startPinned(owner);
  if (isOverloadControlled(owner)) {
    startQueued(
      owner,
      () => hasWaiting(owner),
      (canStart) => takeNext(owner.startOrder, owner.queues, performance.now(), canStart),
    );
  } else {
    const priorities = [...owner.queues.keys()].sort((left, right) => left - right);
    for (const priority of priorities) {
      const queue = queueOf(owner, priority);
      startQueued(
        owner,
        () => waitingCount(queue) > 0,
        (canStart) => dequeue(queue, (job) => canStart(job)),
      );
    }
  }
  owner.isDispatching = false;
}

/** Runs a statement; what it has occupied goes to the next ones. */
function startJob(owner: StatementOwner, job: Job, server: ServerState | undefined): void {
  void runJob(owner, job, server).finally(() => {
    dispatch(owner);
  });
}

/** Statements of open transactions go first because they hold a connection while they wait. */
function startPinned(owner: StatementOwner): void {
  for (const job of [...owner.pinnedWaiting]) {
    let server = job.transaction?.pooled?.server;
    if (server && job.transaction && mustLeave(owner, job, server)) {
      dropTransaction(owner, job.transaction);
      server = undefined;
    }
    if (server && (freeSlots(owner, server) <= 0 || isHeld(owner, job, server))) continue;
    owner.pinnedWaiting.splice(owner.pinnedWaiting.indexOf(job), 1);
    if (server) recordStart(owner, server, job);
    startJob(owner, job, server);
  }
}

/** Whether a transaction may not go on where it is open. */
function mustLeave(owner: StatementOwner, job: Job, server: ServerState): boolean {
  return isGraceOver(owner, server) || !isHomeOf(owner, homesOf(owner, job), server);
}

/** Whether a statement waits because its transaction cannot commit any more on a primary that is replaced. */
function isHeld({ leadership }: StatementOwner, job: Job, server: ServerState): boolean {
  if (leadership.kind !== 'changing' || job.transaction?.isReadOnly === true) return false;
  return leadership.holdsTransactions && server.announcement.server === leadership.former;
}

/**
 * @param isAnyLeft whether statements wait; without any, the servers need not be examined
 * @param take takes the next waiting statement that can start
 */
function startQueued(
  owner: StatementOwner,
  isAnyLeft: () => boolean,
  take: (canStart: (job: Job, isDue?: boolean) => boolean) => QueuedItem<Job> | undefined,
): void {
  if (owner.isStopping) return;
  let known: TargetView[] | undefined;
  while (isAnyLeft()) {
    const views = (known ??= listTargetViews(owner));
    if (!views.some(({ freeSlots: free, isUsable }) => isUsable && free > 0)) return;
    let chosen: ServerName | undefined;
    // In a long queue most statements wait for the same reason, so that it is found once for all of them.
    const withoutServer = new Set<string>();
    const next = take((job, isDue = false): boolean => {
      if (withoutServer.size > 0 && withoutServer.has(requirementsKeyOf(owner, job, isDue)))
        return false;
      const allowed = isDue ? withoutNeededPrimary(job, views) : views;
      chosen = chooseServerFor(owner, job, allowed);
      if (chosen === undefined) withoutServer.add(requirementsKeyOf(owner, job, isDue));
      return chosen !== undefined;
    });
    const server = chosen === undefined ? undefined : owner.servers.get(chosen);
    if (!next || !server) return;
    recordStart(owner, server, next.item);
    if (isOverloadControlled(owner)) recordWait(owner, next.item);
    startJob(owner, next.item, server);
    // A start changes the state of its server alone.
    views.splice(
      views.findIndex((view) => view.server === chosen),
      1,
      targetViewOf(owner, server),
    );
  }
}

/**
 * Refuses queued statements whose wait has expired as not run (`endJob` corrects this for those that may have
 * run). Expired statements of open transactions are passed to `runJob`.
 */
export function expireWaiting(owner: StatementOwner): void {
  const nowMs = performance.now();
  if (isOverloadControlled(owner)) {
    for (const { job, retryAfterMs } of removeLate(owner)) endOverloaded(owner, job, retryAfterMs);
  }
  for (const queue of owner.queues.values()) {
    const blocked = mayRefuseAtOnce(owner)
      ? removeWaiting(queue, (job) => immediateRefusal(owner, job) !== undefined)
      : [];
    for (const { item } of blocked) {
      const reason = immediateRefusal(owner, item) ?? 'no-primary';
      endJob(owner, item, notRun(reason, BLOCKED_RETRY_AFTER_MS));
    }
    for (const { item } of removeExpired(queue, nowMs)) {
      endJob(owner, item, notRun(owner.leadership.kind === 'led' ? 'queue-timeout' : 'no-primary'));
    }
  }
  for (const job of owner.pinnedWaiting.filter(({ deadlineMs }) => deadlineMs <= nowMs)) {
    owner.pinnedWaiting.splice(owner.pinnedWaiting.indexOf(job), 1);
    startJob(owner, job, undefined);
  }
}

/** The owner's queue: assigns waiting statements to servers and expires those that waited too long. */
import {
  createFairQueue,
  dequeue,
  enqueue,
  type FairQueue,
  isQueueFull,
  newestAcknowledged,
  type QueuedItem,
  removeWaiting,
  type ServerName,
  type StatementOutcome,
  type TargetView,
  removeExpired,
  takeNext,
  waitingCount,
} from '@bramleykeel/core';
import type { LogFields } from '@bramleykeel/link';
import { judgeArrival, recordWait, removeLate, withoutNeededPrimary } from './admission.js';
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

const MAX_WAITING_PER_CUSTOMER = 400;
/** Retry delay sent to callers with refusals, in milliseconds. */
const RETRY_AFTER_MS = 200;
/** The same while a change of primary waits for a server to return, which takes seconds. In milliseconds. */
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

function queueOf(owner: StatementOwner, priority: number): FairQueue<Job> {
  const existing = owner.queues.get(priority);
  if (existing) return existing;
  // Under overload control the predicted wait limits what waits.
  const created = isOverloadControlled(owner)
    ? createFairQueue<Job>(Number.POSITIVE_INFINITY, owner.shareClock)
    : createFairQueue<Job>(MAX_WAITING_PER_CUSTOMER);
  owner.queues.set(priority, created);
  return created;
}

export function isOverloadControlled({ environment }: StatementOwner): boolean {
  return environment.overloadControl === true;
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
    void runJob(owner, job, server);
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
    void runJob(owner, next.item, server);
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
    void runJob(owner, job, undefined);
  }
}

/** Returns a statement to the queue under its original deadline, or ends it if that has passed or the owner is closed. */
export function requeueJob(owner: StatementOwner, job: Job): void {
  job.attempts += 1;
  if (job.isEnded) return;
  if (job.isWithdrawn) {
    endJob(owner, job, notRun('withdrawn'));
    return;
  }
  owner.environment.log('statement requeued', describeJob(owner, job));
  if (performance.now() >= job.startByMs || owner.isClosed) {
    endJob(owner, job, notRun('queue-timeout'));
    return;
  }
  const { customer, priority } = job.request;
  const queue = queueOf(owner, priority);
  enqueue(queue, { item: job, customer, deadlineMs: job.startByMs }, performance.now());
}

/** Ends matching waiting statements with `outcome`, for example after their channel has closed. */
export function dropWaiting(
  owner: StatementOwner,
  isDropped: (job: Job) => boolean,
  outcome: StatementOutcome,
): void {
  for (const queue of owner.queues.values()) {
    for (const { item } of removeWaiting(queue, isDropped)) endJob(owner, item, outcome);
  }
  for (const job of owner.pinnedWaiting.filter(isDropped)) {
    owner.pinnedWaiting.splice(owner.pinnedWaiting.indexOf(job), 1);
    endJob(owner, job, outcome);
  }
}

/** Answers a statement; later calls do nothing. One that may have run is never answered as `not-run`. */
export function endJob(owner: StatementOwner, job: Job, proposed: StatementOutcome): void {
  if (job.isEnded) return;
  job.isEnded = true;
  const contradictsExecution = proposed.kind === 'not-run' && job.mayHaveRun;
  const outcome = contradictsExecution
    ? ({ kind: 'timed-out' } as const)
    : withReach(job, proposed);
  owner.environment.counters.count(
    outcome.kind === 'not-run' ? `refusal.${outcome.reason}` : `statement.${outcome.kind}`,
  );
  if (outcome.kind === 'done') owner.environment.counters.timing('owner.statement', ageOf(job));
  else {
    owner.environment.log('statement ended without a result', {
      ...describeJob(owner, job),
      outcome: outcome.kind,
      reason: 'reason' in outcome ? outcome.reason : undefined,
    });
  }
  job.channel.answer(job.request.number, outcome);
}

function withReach({ hasReachedTarget }: Job, outcome: StatementOutcome): StatementOutcome {
  const isUntouched = outcome.kind === 'not-run' && !hasReachedTarget;
  return isUntouched ? { ...outcome, reachedNoTarget: true } : outcome;
}

function ageOf({ arrivedAtMs }: Job): number {
  return Math.round(performance.now() - arrivedAtMs);
}

/** Log fields with the state that the decision depends on. */
function describeJob(owner: StatementOwner, job: Job): LogFields {
  const { request, attempts, unansweredRuns, mayHaveRun, transaction } = job;
  const { leadership } = owner;
  const newest = owner.acknowledgedPositions && newestAcknowledged(owner.acknowledgedPositions);
  return {
    request: request.tag,
    group: owner.group,
    epoch: owner.epoch,
    customer: request.customer,
    access: request.access,
    transaction: transaction?.key,
    attempts,
    unansweredRuns,
    mayHaveRun,
    ageMs: ageOf(job),
    startWithinMs: Math.round(request.startWithinMs),
    priority: isOverloadControlled(owner) ? request.priority : undefined,
    predictedWaitMs: job.predictedWaitMs,
    leadership: leadership.kind,
    leadershipSinceMs: Math.round(performance.now() - leadership.sinceMs),
    primary: leadership.kind === 'led' ? leadership.server : undefined,
    acknowledged: newest && `${newest.term}.${newest.offset}`,
  };
}

export function notRun(
  reason: Extract<StatementOutcome, { kind: 'not-run' }>['reason'],
  retryAfterMs = RETRY_AFTER_MS,
): StatementOutcome {
  return { kind: 'not-run', reason, retryAfterMs };
}

/** Whether any statement is waiting for a server. */
export function hasWaiting(owner: StatementOwner): boolean {
  if (owner.pinnedWaiting.length > 0) return true;
  return [...owner.queues.values()].some((queue) => waitingCount(queue) > 0);
}

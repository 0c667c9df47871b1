/** The owner's queue: assigns waiting statements to servers and expires those that waited too long. */
import {
  chooseTarget,
  createFairQueue,
  dequeue,
  enqueue,
  type FairQueue,
  newestAcknowledged,
  newestAcknowledgedAtMs,
  requiredPosition,
  removeWaiting,
  type ServerName,
  type StatementOutcome,
  removeExpired,
  takesRead,
  type TargetRequirements,
  type TargetView,
  waitingCount,
  ZERO_POSITION,
} from '@bramleykeel/core';
import type { LogFields } from '@bramleykeel/link';
import { hasAvailableConnection } from '../target/connection-pool.js';
import { judgeServers } from '../target/judge-servers.js';
import { type Job, primaryOf, type ServerState, type StatementOwner } from './owner-state.js';
import {
  coldAllowanceOf,
  isCold,
  isEvacuated,
  isGraceOver,
  isHomeOf,
  isToBeReplaced,
  isWhollyEvacuated,
  lacksHomeServer,
  lacksPlaceForPrimary,
  recordStart,
  requestCountOf,
} from './placement.js';
import { runJob } from './run-job.js';
import { dropTransaction } from './transactions.js';

const MAX_WAITING_PER_CUSTOMER = 400;
/** Retry delay sent to callers with refusals, in milliseconds. */
const RETRY_AFTER_MS = 200;
/** The same while a change of primary waits for a server to return, which takes seconds. In milliseconds. */
const BLOCKED_RETRY_AFTER_MS = 1_000;
/**
 * Time after the start of an owner in which commits of a former owner may still finish, in milliseconds. Until
 * then `newest` reads go only to the primary.
 */
const FORMER_OWNER_COMMIT_MS = 2_000;
/** Typical run time of a statement on a server, in milliseconds; the means of the sites are 3 to 55 ms. */
const TYPICAL_STATEMENT_MS = 15;
/** Limit of statements sent beyond a server's slots, as a multiple of the slots. */
const MAX_PIPELINED_PER_SLOT = 2;

/** Queues a statement; it runs immediately if a server is free. */
export function submitJob(owner: StatementOwner, job: Job): void {
  if (job.request.homes) owner.hasRestrictedStatements = true;
  const refusal = immediateRefusal(owner, job);
  if (refusal) {
    endJob(owner, job, notRun(refusal, BLOCKED_RETRY_AFTER_MS));
    return;
  }
  if (job.transaction?.pooled) {
    owner.pinnedWaiting.push(job);
  } else {
    const { customer, priority } = job.request;
    const queued = { item: job, customer, deadlineMs: job.startByMs };
    if (enqueue(queueOf(owner, priority), queued, performance.now()) === 'full') {
      endJob(owner, job, notRun('queue-full'));
      return;
    }
  }
  dispatch(owner);
}

function queueOf(owner: StatementOwner, priority: number): FairQueue<Job> {
  const existing = owner.queues.get(priority);
  if (existing) return existing;
  const created = createFairQueue<Job>(MAX_WAITING_PER_CUSTOMER);
  owner.queues.set(priority, created);
  return created;
}

/** Why a statement would only expire: no server may run it before another returns or an order is withdrawn. */
function immediateRefusal(
  owner: StatementOwner,
  job: Job,
): 'no-primary' | 'no-home-server' | undefined {
  if (job.transaction?.pooled) return undefined;
  if (isBlocked(owner) && isForPrimary(job)) return 'no-primary';
  if (owner.environment.evacuatedZones().size > 0 && isWhollyEvacuated(owner)) return 'no-primary';
  const isUnplaced = lacksHomeServer(owner, job.request.homes, isForPrimary(job));
  return isUnplaced ? 'no-home-server' : undefined;
}

/** Whether some statements may have to be refused at once. */
function mayRefuseAtOnce(owner: StatementOwner): boolean {
  const hasOrders = owner.environment.evacuatedZones().size > 0;
  return isBlocked(owner) || hasOrders || owner.hasRestrictedStatements;
}

/** Whether no server can lead before another one returns or an evacuation is withdrawn. */
function isBlocked(owner: StatementOwner): boolean {
  const { leadership } = owner;
  if (leadership.kind === 'changing') return leadership.isBlocked;
  return leadership.kind === 'led' && lacksPlaceForPrimary(owner);
}

/** Whether a statement or its transaction can only start on the primary. */
function isForPrimary({ request, transaction }: Job): boolean {
  if (transaction?.pooled) return false;
  return request.transaction ? !request.transaction.isReadOnly : request.access !== 'read';
}

/** Starts all waiting statements that a server can run now. */
export function dispatch(owner: StatementOwner): void {
  if (owner.isDispatching || owner.isClosed || !owner.environment.holdsLease()) return;
  owner.isDispatching = true;
  startPinned(owner);
  const priorities = [...owner.queues.keys()].sort((left, right) => left - right);
  for (const priority of priorities) startQueued(owner, queueOf(owner, priority));
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
  return isGraceOver(owner, server) || !isHomeOf(owner, job.request.homes, server);
}

/** Whether a statement waits because its transaction cannot commit any more on a primary that is replaced. */
function isHeld({ leadership }: StatementOwner, job: Job, server: ServerState): boolean {
  if (leadership.kind !== 'changing' || job.transaction?.isReadOnly === true) return false;
  return leadership.holdsTransactions && server.announcement.server === leadership.former;
}

function startQueued(owner: StatementOwner, queue: FairQueue<Job>): void {
  if (owner.isStopping || waitingCount(queue) === 0) return;
  for (;;) {
    const views = listTargetViews(owner);
    if (!views.some(({ freeSlots: free, isUsable }) => isUsable && free > 0)) return;
    let chosen: ServerName | undefined;
    const next = dequeue(queue, (job) => {
      chosen = chooseServerFor(owner, job, views);
      return chosen !== undefined;
    });
    const server = chosen === undefined ? undefined : owner.servers.get(chosen);
    if (!next || !server) return;
    recordStart(owner, server, next.item);
    void runJob(owner, next.item, server);
  }
}

function listTargetViews(owner: StatementOwner): TargetView[] {
  const primary = primaryOf(owner);
  const { regionOf, zone, counters, log } = owner.environment;
  judgeServers(owner.servers.values(), { group: owner.group, path: 'owner', counters, log });
  return [...owner.servers.values()].map((server) => ({
    server: server.announcement.server,
    // One that was promoted for its log while it leaves may be past the time in which it takes statements.
    isPrimary: server === primary && !isToBeReplaced(owner, server),
    isLeaving: server.announcement.isLeaving,
    isUsable:
      server.failingSinceMs === undefined &&
      !isEvacuated(owner, server) &&
      hasAvailableConnection(owner.pools, server),
    isInSameRegion: regionOf(server.announcement.zone) === regionOf(zone),
    freeSlots: freeSlots(owner, server),
    takesRead: takesRead(server.health, server.runningCount, Math.random()),
    runningCount: server.runningCount,
    others: server.load.others,
    serviceMs: server.load.service.get('read')?.meanMs,
    connectedCustomers: new Set(server.idle.map(({ connection }) => connection.customer)),
    position: server.position,
    laggingUntilMs: server.laggingUntilMs,
  }));
}

function freeSlots(owner: StatementOwner, server: ServerState): number {
  if (performance.now() < server.busyUntilMs) return 0;
  const { slots } = server.announcement;
  const free = slots + pipelineAllowance(server) - server.runningCount;
  return Math.min(free, coldAllowanceOf(owner, server));
}

/** Extra statements that may be in transit to or from a distant server while its slots are busy. */
function pipelineAllowance({ announcement: { slots }, roundTripMs = 0 }: ServerState): number {
  return Math.min(
    slots * MAX_PIPELINED_PER_SLOT,
    Math.floor((slots * roundTripMs) / TYPICAL_STATEMENT_MS),
  );
}

function chooseServerFor(
  owner: StatementOwner,
  job: Job,
  views: readonly TargetView[],
): ServerName | undefined {
  const { request, attempts } = job;
  const { acknowledgedPositions } = owner;
  if (!acknowledgedPositions) return undefined;
  const nowMs = performance.now();
  const { access, transaction, consistency } = request;
  const isRead = transaction ? transaction.isReadOnly : access === 'read';
  const mayMissFormerCommits =
    nowMs - owner.startedAtMs < FORMER_OWNER_COMMIT_MS && consistency === 'newest';
  const requirements: TargetRequirements = {
    customer: request.customer,
    mustBePrimary: !isRead || mayMissFormerCommits,
    requiredPosition: isRead
      ? requiredPosition(acknowledgedPositions, request, nowMs)
      : ZERO_POSITION,
    requiredSinceMs:
      consistency === 'newest'
        ? newestAcknowledgedAtMs(acknowledgedPositions)
        : nowMs - request.maxReadAgeMs,
    mayAssumeCaughtUp: attempts === 0,
  };
  return chooseTarget(viewsFor(owner, job, views), requirements, nowMs, Math.random());
}

/** Servers that may run a statement. Reads use cold ones only if no other has a free slot. */
function viewsFor(
  owner: StatementOwner,
  job: Job,
  views: readonly TargetView[],
): readonly TargetView[] {
  const isAnyCold = [...owner.servers.values()].some((server) => isCold(owner, server));
  const { homes } = job.request;
  if (!isAnyCold && homes === null) return views;
  const count = requestCountOf(job);
  const allowed = views.filter(({ server }) => {
    const state = owner.servers.get(server);
    return state && isHomeOf(owner, homes, state) && coldAllowanceOf(owner, state) >= count;
  });
  if (!isAnyCold || isForPrimary(job)) return allowed;
  const warm = allowed.filter(({ server, freeSlots: free, isUsable }) => {
    const state = owner.servers.get(server);
    return state && !isCold(owner, state) && free > 0 && isUsable;
  });
  return warm.length > 0 ? warm : allowed;
}

/**
 * Refuses queued statements whose wait has expired as not run (`endJob` corrects this for those that may have
 * run). Expired statements of open transactions are passed to `runJob`.
 */
export function expireWaiting(owner: StatementOwner): void {
  const nowMs = performance.now();
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
  const { request, attempts, mayHaveRun, transaction } = job;
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
    mayHaveRun,
    ageMs: ageOf(job),
    startWithinMs: Math.round(request.startWithinMs),
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

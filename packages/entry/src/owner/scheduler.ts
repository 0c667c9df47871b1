/**
 * Schedules waiting requests: fair between customers, routed by mark and read age, limited by
 * server slots.
 */
import {
  acceptsWrites,
  chooseServer,
  comparePositions,
  type CustomerName,
  dequeue,
  enqueue,
  extendDeadlines,
  hasOtherActiveCustomer,
  isQueueFull,
  type LogPosition,
  refuse,
  type Route,
  type RouteContext,
  type RouteRequest,
  type ServerName,
  startUnqueued,
  removeExpired,
} from '@bramleykeel/core';
import type { TargetConnection } from '../target/target-connection.js';
import { acquireConnection, freeSlots, type TargetPool } from '../target/target-pool.js';
import { hasOnlyEvacuatedTargets, isEvacuated } from './evacuated-targets.js';
import type { GroupOwner, OwnerRequest, RunningRequest } from './owner-state.js';
import { endRequest } from './request-end.js';
import { startOnConnection } from './request-run.js';
import { releaseSlot, runningCountOf, acquireSlot } from './slots.js';

/** How long a server is not used after a failed connection attempt. */
const CONNECT_FAILURE_BACKOFF_MS = 200;
/** Share of a server's slots that one customer may hold while another is active. */
const CUSTOMER_SLOT_SHARE = 0.5;
/** A customer may use every slot of a server only if no other customer was active for this time. */
const SOLE_CUSTOMER_AFTER_MS = 10_000;

/** Queues a new request, or runs it on the pinned connection if its session has one. */
export function submitRequest(owner: GroupOwner, request: OwnerRequest): void {
  if (request.session.pinned) {
    owner.pinnedWaiting.push(request);
    schedule(owner);
    return;
  }
  if (owner.isStopping) {
    endRequest(owner, request, 'idle', refuse('owner-stopping'));
    return;
  }
  addToQueue(owner, request);
  schedule(owner);
}

function addToQueue(owner: GroupOwner, request: OwnerRequest): void {
  const { queueTimeoutMs, failoverWaitMs } = owner.environment.settings.requests;
  const { customer } = request.session;
  const refusal = queueRefusal(owner, customer);
  if (refusal) {
    endRequest(owner, request, 'idle', refuse(refusal));
    return;
  }
  const hasPrimary = primaryForWrites(owner) !== undefined;
  const waitMs = hasPrimary ? queueTimeoutMs : failoverWaitMs;
  const deadlineMs = request.enqueuedAtMs + waitMs;
  request.stage = 'queued';
  enqueue(owner.queue, { item: request, customer, deadlineMs }, performance.now());
}

/** Why a request of a customer is refused instead of queued; `undefined` if it is queued. */
export function queueRefusal(
  owner: GroupOwner,
  customer: CustomerName,
): 'no-primary' | 'queue-full' | undefined {
  if (hasOnlyEvacuatedTargets(owner)) return 'no-primary';
  return isQueueFull(owner.queue, customer) ? 'queue-full' : undefined;
}

/** Requeues a request that can safely be run again. */
export function requeue(owner: GroupOwner, request: OwnerRequest): void {
  request.running = undefined;
  if (request.session.isClosing) {
    endRequest(owner, request, 'idle', refuse('owner-stopping'));
    return;
  }
  addToQueue(owner, request);
  setImmediate(() => {
    schedule(owner);
  });
}

/** Extends the deadlines of waiting requests to cover a failover. */
export function extendForFailover(owner: GroupOwner): void {
  const { failoverWaitMs } = owner.environment.settings.requests;
  extendDeadlines(owner.queue, performance.now() + failoverWaitMs);
}

/** The primary that accepts writes, or `undefined` during a failover and while its zone is evacuated. */
export function primaryForWrites(owner: GroupOwner): ServerName | undefined {
  const record = owner.environment.groupRecord();
  const { primary } = record;
  if (primary === undefined || isEvacuated(owner, primary)) return undefined;
  return acceptsWrites(owner.failover, record) ? primary : undefined;
}

/** Starts all waiting requests that can start now. */
export function schedule(owner: GroupOwner): void {
  if (owner.isClosed || !owner.environment.holdsLease()) return;
  startPinned(owner);
  const context = createRouteContext(owner);
  for (;;) {
    let chosen: ServerName | undefined;
    const queued = dequeue(owner.queue, (request) => {
      if (request.notBeforeMs > context.nowMs) return false;
      const route = routeRequest(owner, request, context);
      if (route.kind !== 'run') return false;
      if (isAtCustomerLimit(owner, request.session.customer, route.server)) return false;
      chosen = route.server;
      return true;
    });
    if (!queued || chosen === undefined) return;
    void startRequest(owner, queued.item, chosen);
  }
}

function startPinned(owner: GroupOwner): void {
  const waiting = owner.pinnedWaiting.splice(0);
  for (const request of waiting) {
    const { pinned } = request.session;
    if (!pinned) {
      endRequest(owner, request, 'idle', refuse('transaction-lost'));
      continue;
    }
    if (pinned.pool.runningCount >= pinned.pool.slots) {
      owner.pinnedWaiting.push(request);
      continue;
    }
    startUnqueued(owner.queue, request.session.customer);
    acquireSlot(owner, request, pinned);
    const running = createRunning(owner, pinned.server, pinned.pool, pinned.connection);
    void startOnConnection(owner, request, running);
  }
}

/** Refuses requests that cannot be served or whose queue deadline has passed; none of them was executed. */
export function expireWaiting(owner: GroupOwner): void {
  const reason = primaryForWrites(owner) === undefined ? 'no-primary' : 'queue-timeout';
  const expiredBeforeMs = hasOnlyEvacuatedTargets(owner)
    ? Number.POSITIVE_INFINITY
    : performance.now();
  for (const { item } of removeExpired(owner.queue, expiredBeforeMs)) {
    const isAhead = isMarkAhead(owner, item.session.mark);
    endRequest(owner, item, 'idle', refuse(isAhead ? 'mark-ahead-of-group' : reason));
  }
}

/** The state that routing depends on, now. */
export function createRouteContext(owner: GroupOwner): RouteContext {
  const record = owner.environment.groupRecord();
  const nowMs = performance.now();
  return {
    view: owner.view,
    primary: primaryForWrites(owner),
    term: record.term,
    nowMs,
    staleAnnouncementMs: owner.environment.settings.targets.staleAnnouncementMs,
    replicaWaitMs: owner.environment.settings.requests.replicaWaitMs,
    isUsable: (server) => {
      if (server === record.primary && primaryForWrites(owner) === undefined) return false;
      if (isEvacuated(owner, server)) return false;
      return owner.pools.has(server) && (owner.unusableUntilMs.get(server) ?? 0) <= nowMs;
    },
    freeSlots: (server) => {
      const pool = owner.pools.get(server);
      return pool ? freeSlots(pool) : 0;
    },
  };
}

function routeRequest(owner: GroupOwner, request: OwnerRequest, context: RouteContext): Route {
  const { session, intent, readAgeAllowanceMs } = request;
  const waitedMs = context.nowMs - request.enqueuedAtMs;
  const { mark } = session;
  const routed = toRouteRequest(owner, { intent, mark, readAgeAllowanceMs, waitedMs });
  return routed ? chooseServer(routed, context) : { kind: 'wait' };
}

/**
 * The request as it is routed, with the writes that the owner knows to be acknowledged; `undefined` if it has to
 * wait because its mark is past every position seen in the group.
 */
export function toRouteRequest(owner: GroupOwner, request: RouteRequest): RouteRequest | undefined {
  if (isMarkAhead(owner, request.mark)) return undefined;
  const base = owner.baseMark;
  // Without a base mark, earlier acknowledged writes are unknown, so only the primary can serve
  // reads.
  const intent = base === undefined ? 'write' : request.intent;
  return { ...request, intent, mark: latestOrBase(request.mark, base) };
}

function latestOrBase(mark: LogPosition, base: LogPosition | undefined): LogPosition {
  return base && comparePositions(base, mark) > 0 ? base : mark;
}

/**
 * Whether a mark is past every position seen in the group, so that this system cannot have issued
 * it.
 */
function isMarkAhead(owner: GroupOwner, mark: LogPosition): boolean {
  return owner.baseMark !== undefined && comparePositions(mark, owner.highestSeen) > 0;
}

/**
 * While several customers are active, none may occupy more than half of a server's slots. Running
 * statements are not preempted, so long ones would block other customers despite the fair queue.
 */
export function isAtCustomerLimit(
  owner: GroupOwner,
  customer: CustomerName,
  server: ServerName,
): boolean {
  const pool = owner.pools.get(server);
  if (!pool || pool.slots < 2) return false;
  const limit = Math.max(1, Math.floor(pool.slots * CUSTOMER_SLOT_SHARE));
  if (runningCountOf(owner, customer, server) < limit) return false;
  return hasOtherActiveCustomer(owner.queue, customer, performance.now() - SOLE_CUSTOMER_AFTER_MS);
}

async function startRequest(
  owner: GroupOwner,
  request: OwnerRequest,
  server: ServerName,
): Promise<void> {
  const pool = owner.pools.get(server);
  if (!pool) return;
  request.stage = 'acquiring';
  request.attempts += 1;
  acquireSlot(owner, request, { server, pool });
  const acquired = await acquireConnection(pool);
  if (acquired.kind === 'failed') {
    owner.unusableUntilMs.set(server, performance.now() + CONNECT_FAILURE_BACKOFF_MS);
    owner.environment.counters.count(`retry.connect-${acquired.failure.kind}`);
    releaseSlot(owner, request);
    requeue(owner, request);
    return;
  }
  await startOnConnection(owner, request, createRunning(owner, server, pool, acquired.connection));
}

function createRunning(
  owner: GroupOwner,
  server: ServerName,
  pool: TargetPool,
  connection: TargetConnection,
): RunningRequest {
  const record = owner.environment.groupRecord();
  const nowMs = performance.now();
  return {
    server,
    pool,
    connection,
    isOnReplica: server !== record.primary,
    term: record.term,
    lastSentMs: nowMs,
    isEndSent: false,
    isCheckingConnection: false,
  };
}

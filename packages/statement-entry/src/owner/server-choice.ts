/** Which servers of a group may run a waiting statement, and which of them does. */
import {
  chooseNearestTarget,
  chooseTarget,
  newestAcknowledgedAtMs,
  requiredPosition,
  type ServerName,
  takesRead,
  type TargetRequirements,
  type TargetView,
  ZERO_POSITION,
} from '@bramleykeel/core';
import { hasAvailableConnection } from '../target/connection-pool.js';
import { judgeServers } from '../target/judge-servers.js';
import { type Job, primaryOf, type ServerState, type StatementOwner } from './owner-state.js';
import {
  coldAllowanceOf,
  homesOf,
  isCold,
  isEvacuated,
  isHomeOf,
  isToBeReplaced,
  requestCountOf,
} from './placement.js';

/**
 * Time after the start of an owner in which commits of a former owner may still finish, in milliseconds. Until
 * then `newest` reads go only to the primary.
 */
const FORMER_OWNER_COMMIT_MS = 2_000;
/** Typical run time of a statement on a server, in milliseconds; the means of the sites are 3 to 55 ms. */
const TYPICAL_STATEMENT_MS = 15;
/** Limit of statements sent beyond a server's slots, as a multiple of the slots. */
const MAX_PIPELINED_PER_SLOT = 2;

/** Whether a statement or its transaction can only start on the primary. */
export function isForPrimary({ request, transaction }: Job): boolean {
  if (transaction?.pooled) return false;
  return request.transaction ? !request.transaction.isReadOnly : request.access !== 'read';
}

/**
 * The servers of the group as the choice of a server for a statement sees them.
 *
 * @param random decides which servers take a part of their reads only; random numbers in [0, 1)
 */
export function listTargetViews(
  owner: StatementOwner,
  random: () => number = Math.random,
): TargetView[] {
  const { readDistribution, counters, log } = owner.environment;
  if (readDistribution === 'even') {
    judgeServers(owner.servers.values(), { group: owner.group, path: 'owner', counters, log });
  }
  return Array.from(owner.servers.values(), (server) => targetViewOf(owner, server, random));
}

/** One server as the choice of a server for a statement sees it. */
export function targetViewOf(
  owner: StatementOwner,
  server: ServerState,
  random: () => number = Math.random,
): TargetView {
  const { regionOf, zone, readDistribution } = owner.environment;
  const isEven = readDistribution === 'even';
  return {
    server: server.announcement.server,
    // One that was promoted for its log while it leaves may be past the time in which it takes statements.
    isPrimary: server === primaryOf(owner) && !isToBeReplaced(owner, server),
    isLeaving: server.announcement.isLeaving,
    isUsable:
      server.failingSinceMs === undefined &&
      !isEvacuated(owner, server) &&
      hasAvailableConnection(owner.pools, server),
    isInSameRegion: regionOf(server.announcement.zone) === regionOf(zone),
    freeSlots: freeSlots(owner, server),
    takesRead: !isEven || takesRead(server.health, server.runningCount, random()),
    runningCount: server.runningCount,
    others: server.load.others,
    serviceMs: server.load.service.get('read')?.meanMs,
    // A set of all customers would be built for each start, and few of them are asked for.
    connectedCustomers: {
      has: (customer) => server.idle.some(({ connection }) => connection.customer === customer),
    },
    position: server.position,
    laggingUntilMs: server.laggingUntilMs,
  };
}

/** Number of statements that may be sent to a server now. */
export function freeSlots(owner: StatementOwner, server: ServerState): number {
  const nowMs = performance.now();
  if (nowMs < server.busyUntilMs) return 0;
  const { slots } = server.announcement;
  const free = slots + pipelineAllowance(server) - server.runningCount;
  return Math.min(free, coldAllowanceOf(owner, server, nowMs));
}

/** Extra statements that may be in transit to or from a distant server while its slots are busy. */
function pipelineAllowance({ announcement: { slots }, roundTripMs = 0 }: ServerState): number {
  return Math.min(
    slots * MAX_PIPELINED_PER_SLOT,
    Math.floor((slots * roundTripMs) / TYPICAL_STATEMENT_MS),
  );
}

/** Chooses a server with a free slot for a statement; `undefined` if it has to wait. */
export function chooseServerFor(
  owner: StatementOwner,
  job: Job,
  views: readonly TargetView[],
): ServerName | undefined {
  const nowMs = performance.now();
  const requirements = requirementsOf(owner, job, nowMs);
  if (!requirements) return undefined;
  const allowed = viewsFor(owner, job, views);
  // Runs for each statement, where pattern matching by closures is measurable.
  switch (owner.environment.readDistribution) {
    case 'nearest':
      return chooseNearestTarget(allowed, requirements, nowMs);
    case 'even':
      return chooseTarget(allowed, requirements, nowMs, Math.random());
  }
}

/**
 * Statements with the same key may run on the same servers: if none of these has a free slot for one of them, none has
 * for the others.
 */
export function requirementsKeyOf(owner: StatementOwner, job: Job, isDue: boolean): string {
  const { request, attempts } = job;
  const { access, transaction, consistency, maxReadAgeMs, mark } = request;
  const homes = homesOf(owner, job);
  const isFirstTry = attempts === 0;
  const position = mark ? `${mark.term}.${mark.offset}` : '';
  const kind = transaction ? `${transaction.isReadOnly} ${transaction.isFirst}` : access;
  return `${kind} ${consistency} ${maxReadAgeMs} ${position} ${isFirstTry} ${isDue} ${homes?.join() ?? ''}`;
}

/** What a statement requires of its server; `undefined` until the acknowledged positions are known. */
export function requirementsOf(
  owner: StatementOwner,
  { request, attempts }: Job,
  nowMs: number,
): TargetRequirements | undefined {
  const { acknowledgedPositions } = owner;
  if (!acknowledgedPositions) return undefined;
  const { access, transaction, consistency } = request;
  const isRead = transaction ? transaction.isReadOnly : access === 'read';
  const mayMissFormerCommits =
    nowMs - owner.startedAtMs < FORMER_OWNER_COMMIT_MS && consistency === 'newest';
  return {
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
}

function isAnyServerCold(owner: StatementOwner): boolean {
  const nowMs = performance.now();
  for (const server of owner.servers.values()) if (isCold(owner, server, nowMs)) return true;
  return false;
}

/** Servers that may run a statement. Reads use cold ones only if no other has a free slot. */
export function viewsFor(
  owner: StatementOwner,
  job: Job,
  views: readonly TargetView[],
): readonly TargetView[] {
  const isAnyCold = isAnyServerCold(owner);
  const homes = homesOf(owner, job);
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

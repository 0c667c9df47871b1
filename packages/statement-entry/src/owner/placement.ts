/** Where the servers of a group may be used, by the orders and homes that its owner knows. */
import {
  canLead,
  COLD_WINDOW_MS,
  coldAllowance,
  coldLimit,
  HOME_CHANGE_INTERVAL_MS,
  homesInForce,
  type Homes,
  isEvacuationGraceOver,
  isHome,
  type LeaderCandidate,
  type LeaderPlacement,
  leaderPlacement,
  type PlacementRules,
  type PlannedChangeReason,
  plannedChangeReason,
  recordColdStarts,
  recordEvacuations,
} from '@bramleykeel/core';
import { isLost } from './is-lost.js';
import { type Job, primaryOf, type ServerState, type StatementOwner } from './owner-state.js';
import { dropTransaction } from './transactions.js';

function rulesOf({ environment }: StatementOwner): PlacementRules {
  const { regionOf, evacuatedZones, homeRegions } = environment;
  return { evacuatedZones: evacuatedZones(), homes: homeRegions(), regionOf };
}

function candidateOf({ announcement, failingSinceMs }: ServerState): LeaderCandidate {
  const { zone, isLeaving } = announcement;
  return { zone, isLeaving, isFailing: failingSinceMs !== undefined };
}

function candidatesBeside({ servers }: StatementOwner, server: ServerState): LeaderCandidate[] {
  return [...servers.values()].filter((other) => other !== server).map(candidateOf);
}

/** How well a server's zone suits the primary of its group. */
export function placementOf(owner: StatementOwner, server: ServerState): LeaderPlacement {
  return leaderPlacement(server.announcement.zone, rulesOf(owner));
}

/** Whether nothing starts on a server, because its zone is evacuated. */
export function isEvacuated({ environment }: StatementOwner, server: ServerState): boolean {
  return environment.evacuatedZones().has(server.announcement.zone);
}

/** Why the primary is to be replaced as planned now, if it is. */
export function plannedReasonFor(
  owner: StatementOwner,
  primary: ServerState,
): PlannedChangeReason | undefined {
  const candidate = candidateOf(primary);
  const rules = rulesOf(owner);
  // The usual case, checked first because this runs with each check of a primary.
  if (!candidate.isLeaving && leaderPlacement(candidate.zone, rules) === 'suitable')
    return undefined;
  const reason = plannedChangeReason(candidate, candidatesBeside(owner, primary), rules);
  const isTooSoon = performance.now() - owner.homeChangeMs < HOME_CHANGE_INTERVAL_MS;
  return reason === 'outside-homes' && isTooSoon ? undefined : reason;
}

/** Whether a server is leaving or evacuated while another one could lead. As primary it is replaced at once. */
export function isToBeReplaced(owner: StatementOwner, server: ServerState): boolean {
  if (!server.announcement.isLeaving && !isEvacuated(owner, server)) return false;
  const reason = plannedReasonFor(owner, server);
  return reason === 'leaving' || reason === 'evacuated';
}

/** Whether the primary is evacuated and no other server could lead, so that nothing that needs a primary can start. */
export function lacksPlaceForPrimary(owner: StatementOwner): boolean {
  const primary = primaryOf(owner);
  if (!primary || !isEvacuated(owner, primary)) return false;
  const rules = rulesOf(owner);
  return !candidatesBeside(owner, primary).some((other) => canLead(other, rules));
}

/** Whether all servers of the group are in evacuated zones. */
export function isWhollyEvacuated(owner: StatementOwner): boolean {
  const servers = [...owner.servers.values()];
  return servers.length > 0 && servers.every((server) => isEvacuated(owner, server));
}

/** The homes of a statement or transaction by the settings in force now. */
export function homesOf(
  { environment }: StatementOwner,
  { homesClaim }: Pick<Job, 'homesClaim'>,
): Homes {
  return homesInForce(homesClaim, environment.homeRules());
}

/** Aborts idle transactions on servers that are no home of theirs any more, after a change of settings. */
export function abortMisplacedTransactions(owner: StatementOwner): void {
  const { environment } = owner;
  if (environment.homeRules()?.isLimited !== true) return;
  for (const transaction of [...owner.transactions.values()]) {
    const { pooled, isBusy, key } = transaction;
    if (!pooled || isBusy || isHomeOf(owner, homesOf(owner, transaction), pooled.server)) continue;
    environment.log(`transaction ${key} aborted: its server is no home any more`);
    dropTransaction(owner, transaction);
  }
}

/** Whether a server is in a home of a statement. */
export function isHomeOf({ environment }: StatementOwner, homes: Homes, server: ServerState) {
  return homes === null || isHome(homes, environment.regionOf(server.announcement.zone));
}

/**
 * Whether no server may run a statement because of its homes: none that is there can be used, or the statement needs the
 * primary, which is elsewhere.
 */
export function lacksHomeServer(owner: StatementOwner, homes: Homes, isForPrimary: boolean) {
  if (homes === null || owner.servers.size === 0 || owner.leadership.kind === 'unknown')
    return false;
  const isUsable = (server: ServerState) =>
    isHomeOf(owner, homes, server) && !isEvacuated(owner, server) && !isLost(server);
  if (![...owner.servers.values()].some(isUsable)) return true;
  const primary = primaryOf(owner);
  return isForPrimary && primary !== undefined && !isHomeOf(owner, homes, primary);
}

/** Whether open transactions on a server start no further statements. */
export function isGraceOver(owner: StatementOwner, server: ServerState): boolean {
  const { environment, evacuationsLearntAtMs } = owner;
  const { zone } = server.announcement;
  const nowMs = performance.now();
  return isEvacuationGraceOver(evacuationsLearntAtMs, zone, nowMs, environment.placementBounds);
}

/** Whether the number of requests to a server is limited because it has just started. */
export function isCold(
  { environment }: StatementOwner,
  { coldUntilMs }: ServerState,
  nowMs = performance.now(),
): boolean {
  if (nowMs >= coldUntilMs) return false;
  return (environment.groupSettings()?.coldRatePerSecond ?? 0) > 0;
}

/** How many requests a server may get now because of its limit while it is cold; infinite without one. */
export function coldAllowanceOf(
  owner: StatementOwner,
  server: ServerState,
  nowMs = performance.now(),
): number {
  if (!isCold(owner, server, nowMs)) return Number.POSITIVE_INFINITY;
  const { environment, startedAtMs, epoch } = owner;
  // What a former owner has sent in its last second counts as well.
  const formerEndedForMs = environment.formerOwner()?.endedForMs ?? 0;
  if (epoch > 1 && nowMs - startedAtMs + formerEndedForMs < COLD_WINDOW_MS) return 0;
  const ratePerSecond = environment.groupSettings()?.coldRatePerSecond ?? 0;
  const limit = coldLimit(ratePerSecond, environment.placementBounds);
  return coldAllowance(server.coldStartsMs, limit, nowMs);
}

/** The requests that a statement causes: the first of a transaction is sent after a BEGIN. */
export function requestCountOf({ request: { transaction } }: Pick<Job, 'request'>): number {
  return transaction?.isFirst === true ? 2 : 1;
}

/** Counts the requests of a statement that starts on a server towards its limit while it is cold. */
export function recordStart(owner: StatementOwner, server: ServerState, job: Job): void {
  if (isCold(owner, server))
    recordColdStarts(server.coldStartsMs, requestCountOf(job), performance.now());
}

/**
 * Follows the evacuations, and aborts the transactions that are still open in evacuated zones after their grace. A
 * statement that has been sent may finish first.
 */
export function followEvacuations(owner: StatementOwner): void {
  const { environment, evacuationsLearntAtMs } = owner;
  recordEvacuations(evacuationsLearntAtMs, environment.evacuatedZones(), performance.now());
  if (evacuationsLearntAtMs.size === 0) return;
  for (const transaction of [...owner.transactions.values()]) {
    const { pooled, isBusy, key } = transaction;
    if (!pooled || isBusy || !isGraceOver(owner, pooled.server)) continue;
    environment.log(`transaction ${key} aborted: the zone of its server is evacuated`);
    dropTransaction(owner, transaction);
  }
}

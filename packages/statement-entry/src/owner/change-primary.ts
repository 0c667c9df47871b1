/** Replaces the primary: fences servers, promotes a successor, and ends work on the former primary. */
import { setTimeout as delay } from 'node:timers/promises';
import {
  chooseSuccessor,
  comparePositions,
  coversMark,
  hasUncoveredCommits,
  type LogPosition,
  type SuccessorContext,
  ZERO_POSITION,
} from '@bramleykeel/core';
import { closeIdleConnections } from '../target/connection-pool.js';
import {
  resumePausedReplicas,
  sendControlOrderToAll,
  sendControlOrder,
  type ServerStatus,
} from '../target/server-control.js';
import {
  type ChangingLeadership,
  isActiveOwner,
  primaryOf,
  type ServerState,
  type StatementOwner,
} from './owner-state.js';
import { endOfDemotedPrimary, recordedPrimary } from './former-primary.js';
import { mayHaveUnknownReplicas, newestAcknowledgedOf } from './membership.js';
import { placementOf } from './placement.js';
import { dropTransaction } from './transactions.js';
import { newestPrimary, setPrimary } from './set-primary.js';
import { orderPromotion, awaitPrimaryRole } from './order-promotion.js';

/** Time that open transactions get to commit before a leaving primary is replaced, in milliseconds. */
const PLANNED_DRAIN_MS = 250;
/** Time that commits then get to end before the leaving primary is fenced like a failed one, in milliseconds. */
const PLANNED_COMMIT_MS = 150;
/** The same for a primary that is replaced for its place alone; longer than the users' statements run. */
const PLACEMENT_COMMIT_MS = 2_000;
const DRAIN_POLL_MS = 5;
const CHANGE_RETRY_MS = 80;
/** Interval at which a change that keeps waiting for the same reason is logged, in milliseconds. */
const WAIT_LOG_INTERVAL_MS = 1_000;
/** A change that still finds no successor after this time waits for a server to return, in milliseconds. */
const BLOCKED_AFTER_MS = 500;

interface PrimaryChange {
  readonly former: ServerState | undefined;
  /** Whether the primary leaves as planned; it keeps its role until the successor takes over. */
  readonly isPlanned: boolean;
  /** Whether the primary is replaced only because of its place, so that a withdrawn order cancels the change. */
  readonly isForPlacement: boolean;
  /** Whether the change is cancelled if the primary answers again before the fence. */
  readonly isRevocable: boolean;
  /** Whether servers may already have been fenced. */
  hasFenced: boolean;
  /** Servers that were told to give up the primary role, with the end of their logs before. */
  readonly demoted: Map<ServerState, LogPosition>;
  /** The reason to wait that was logged last, and when. */
  loggedWait: { readonly reason: string; readonly atMs: number } | undefined;
}

/** Replaces the primary; statements that need the primary wait in the queue meanwhile. */
export async function changePrimary(
  owner: StatementOwner,
  reason: string,
  isPlanned: boolean,
  isStalled = false,
): Promise<void> {
  if (owner.leadership.kind === 'changing') return;
  const former = primaryOf(owner) ?? recordedPrimary(owner);
  const sinceMs = performance.now();
  owner.leadership = {
    kind: 'changing',
    sinceMs,
    reason,
    former: former?.announcement.server,
    holdsTransactions: false,
    chosenPosition: undefined,
    isBlocked: false,
  };
  owner.environment.log(`change of primary of ${owner.group} starts: ${reason}`);
  owner.environment.counters.count('failover.started');
  const change: PrimaryChange = {
    former,
    isPlanned,
    isForPlacement: isPlanned && former !== undefined && isMisplaced(owner, former),
    isRevocable: !isStalled,
    hasFenced: false,
    demoted: new Map(),
    loggedWait: undefined,
  };
  if (isPlanned && former) await drainPrimary(owner, former);
  while (isActiveOwner(owner)) {
    const promoted = await tryChange(owner, change);
    if (promoted && isActiveOwner(owner)) {
      finishChange(owner, change, promoted, sinceMs);
      return;
    }
    await delay(CHANGE_RETRY_MS);
  }
  if (!owner.isClosed) owner.leadership = { kind: 'unknown', sinceMs: performance.now() };
}

function finishChange(
  owner: StatementOwner,
  { former, isPlanned, hasFenced }: PrimaryChange,
  promoted: ServerStatus,
  sinceMs: number,
): void {
  const elapsedMs = performance.now() - sinceMs;
  owner.lastPromotionMs = performance.now();
  owner.releasedByReader.clear();
  owner.stalledCommits = [];
  owner.environment.counters.timing('failover.duration', Math.round(elapsedMs));
  setPrimary(owner, promoted, `promoted after ${Math.round(elapsedMs)} ms`);
  if (former && former !== promoted.server)
    endFormerPrimaryWork(owner, former, isPlanned && !hasFenced);
}

function updateChange(owner: StatementOwner, update: Partial<ChangingLeadership>): void {
  const { leadership } = owner;
  if (leadership.kind === 'changing') owner.leadership = { ...leadership, ...update };
}

/** Lets open transactions commit, then holds those that remain while their running commits end. */
async function drainPrimary(owner: StatementOwner, former: ServerState): Promise<void> {
  await waitWhile(() => isWriting(owner, former), PLANNED_DRAIN_MS);
  updateChange(owner, { holdsTransactions: true });
  await waitWhile(() => isCommitting(owner, former), PLANNED_COMMIT_MS);
}

async function waitWhile(condition: () => boolean, maxMs: number): Promise<void> {
  const untilMs = performance.now() + maxMs;
  while (condition() && performance.now() < untilMs) await delay(DRAIN_POLL_MS);
}

function isWriting(owner: StatementOwner, former: ServerState): boolean {
  return [...owner.running].some(({ request, transaction }) => {
    if (request.access === 'read' && !transaction) return false;
    return transaction?.pooled === undefined || transaction.pooled.server === former;
  });
}

/** Whether a commit is running on the primary, so that it may still be acknowledged. */
function isCommitting(owner: StatementOwner, former: ServerState): boolean {
  return [...owner.running].some(({ request, transaction }) => {
    if (transaction === undefined) return request.access === 'write';
    return request.access === 'commit' && transaction.pooled?.server === former;
  });
}

async function tryChange(
  owner: StatementOwner,
  change: PrimaryChange,
): Promise<ServerStatus | undefined> {
  const { former } = change;
  const statuses = await sendControlOrderToAll(owner, () => ({ kind: 'status' }));
  if (!isActiveOwner(owner)) return undefined;
  const currentPrimary = newestPrimary(statuses);
  if (currentPrimary && currentPrimary.server !== former) {
    // An earlier promotion order was carried out in the meantime; what that server holds of the former term is unknown.
    updateChange(owner, { chosenPosition: ZERO_POSITION });
    const isConfirmed = await orderPromotion(owner, currentPrimary.server.announcement.server);
    if (!isConfirmed) return undefined;
    const confirmed = await sendControlOrder(owner, currentPrimary.server, { kind: 'status' });
    return confirmed?.status.role === 'primary' ? confirmed : undefined;
  }
  if (currentPrimary && mayLeadOn(owner, change, currentPrimary)) return currentPrimary;
  if (currentPrimary && mayAwaitCommits(owner, change, currentPrimary)) return undefined;
  const isPlanned =
    change.isPlanned &&
    !change.hasFenced &&
    currentPrimary !== undefined &&
    !isCommitting(owner, currentPrimary.server);
  const fenced = isPlanned ? statuses : await fenceAll(owner, statuses, change);
  if (!isActiveOwner(owner)) return undefined;
  const context = successorContext(owner, change, fenced, isPlanned);
  const choice = chooseSuccessor(context);
  if (choice.kind === 'wait') {
    reportWait(owner, change, choice.reason, context);
    // The pause of a former owner's fence keeps replicas from following a primary that still leads.
    if (isPlanned) resumePausedReplicas(owner, fenced);
    return undefined;
  }
  owner.environment.log(`${choice.server} chosen as primary of ${owner.group}`, {
    ground: choice.ground,
    servers: describeStatuses(fenced),
    ...describeContext(context),
  });
  updateChange(owner, {
    chosenPosition: earliestChoice(owner, choice.position),
    holdsTransactions: true,
    isBlocked: false,
  });
  if (former) endOpenTransactions(owner, former);
  const isOrdered = await orderPromotion(owner, choice.server);
  return isOrdered ? awaitPrimaryRole(owner, choice.server) : undefined;
}

/** A primary that is replaced for its place alone is not fenced while its commits end, which were sent before. */
function mayAwaitCommits(
  owner: StatementOwner,
  { isForPlacement, hasFenced }: PrimaryChange,
  { server }: ServerStatus,
): boolean {
  const waitedMs = performance.now() - owner.leadership.sinceMs;
  return (
    isForPlacement && !hasFenced && waitedMs < PLACEMENT_COMMIT_MS && isCommitting(owner, server)
  );
}

/** An order for a server chosen before may still be carried out, so the shorter log limits what is passed on. */
function earliestChoice({ leadership }: StatementOwner, position: LogPosition): LogPosition {
  const former = leadership.kind === 'changing' ? leadership.chosenPosition : undefined;
  return former && comparePositions(former, position) < 0 ? former : position;
}

/** Whether the primary answers again, and neither it was told to give up its role nor was a successor chosen. */
function mayLeadOn(
  owner: StatementOwner,
  { isPlanned, isForPlacement, isRevocable, hasFenced, demoted }: PrimaryChange,
  { server, status }: ServerStatus,
): boolean {
  const { leadership } = owner;
  const hasChosen = leadership.kind === 'changing' && leadership.chosenPosition !== undefined;
  if (!isRevocable || hasChosen || demoted.has(server)) return false;
  const isCancelled = !isMisplaced(owner, server) || isMovePostponed(owner, server);
  if (isPlanned && (!isForPlacement || hasFenced || !isCancelled)) return false;
  const acknowledged = newestAcknowledgedOf(owner);
  return !acknowledged || coversMark(status.position, acknowledged);
}

/** A primary outside its homes serves the other routes, so it leads on if no server in a home is ready to follow it. */
function isMovePostponed(owner: StatementOwner, primary: ServerState): boolean {
  const waitedMs = performance.now() - owner.leadership.sinceMs;
  return placementOf(owner, primary) === 'outside-homes' && waitedMs >= BLOCKED_AFTER_MS;
}

/** Whether a server that stays is no place for the primary. */
function isMisplaced(owner: StatementOwner, server: ServerState): boolean {
  return !server.announcement.isLeaving && placementOf(owner, server) !== 'suitable';
}

function reportWait(
  owner: StatementOwner,
  change: PrimaryChange,
  reason: string,
  context: SuccessorContext,
): void {
  const { leadership } = owner;
  if (leadership.kind !== 'changing') return;
  const nowMs = performance.now();
  const waitedMs = Math.round(nowMs - leadership.sinceMs);
  const isEvacuatedPrimary =
    change.former !== undefined && placementOf(owner, change.former) === 'evacuated';
  const isNoPlaceLeft = change.isForPlacement && isEvacuatedPrimary && reason === 'no-candidate';
  if (waitedMs >= BLOCKED_AFTER_MS || isNoPlaceLeft) updateChange(owner, { isBlocked: true });
  const { loggedWait } = change;
  if (loggedWait?.reason === reason && nowMs - loggedWait.atMs < WAIT_LOG_INTERVAL_MS) return;
  change.loggedWait = { reason, atMs: nowMs };
  owner.environment.log(`change of primary of ${owner.group} waits: ${reason}`, {
    waitedMs,
    ...describeContext(context),
  });
}

function describeContext(context: SuccessorContext) {
  const { unfenced, mayPrimaryReturn, acknowledged } = context;
  return {
    unfenced: unfenced.join(' '),
    mayPrimaryReturn,
    mayHaveUnknownReplicas: context.mayHaveUnknownReplicas,
    hasUncoveredCommits: context.hasUncoveredCommits,
    acknowledged: acknowledged && `${acknowledged.term}.${acknowledged.offset}`,
  };
}

function describeStatuses(statuses: readonly ServerStatus[]): string {
  return statuses
    .map(({ server, status: { role, position, heldTerm } }) => {
      const name = server.announcement.server;
      return `${name} ${role} ${position.term}.${position.offset} held term ${heldTerm}`;
    })
    .join(', ');
}

/** Fences every reachable server, so that it acknowledges nothing more under the current term. */
async function fenceAll(
  owner: StatementOwner,
  statuses: readonly ServerStatus[],
  change: PrimaryChange,
): Promise<ServerStatus[]> {
  change.hasFenced = true;
  const terms = statuses.flatMap(({ status }) => [
    status.term,
    status.heldTerm,
    status.position.term,
  ]);
  const acknowledgedTerm = newestAcknowledgedOf(owner)?.term ?? 0;
  const term = Math.max(0, acknowledgedTerm, ...terms) + 1;
  for (const { server, status } of statuses)
    if (status.role === 'primary') change.demoted.set(server, status.position);
  // An owner that has led knows what was acknowledged; for another one the log of the primary tells.
  const demotedBefore = newestAcknowledgedOf(owner)
    ? undefined
    : endOfDemotedPrimary(owner, statuses);
  if (demotedBefore) change.demoted.set(demotedBefore.server, demotedBefore.position);
  const primaries = new Set(
    statuses.filter(({ status }) => status.role === 'primary').map(({ server }) => server),
  );
  const answers = await sendControlOrderToAll(owner, (server) =>
    primaries.has(server) ? { kind: 'demote', term } : { kind: 'pause', term },
  );
  return answers.filter(
    ({ server, status }) =>
      status.role === 'replica' && (status.heldTerm >= term || primaries.has(server)),
  );
}

function successorContext(
  owner: StatementOwner,
  { former, demoted }: PrimaryChange,
  fenced: readonly ServerStatus[],
  isPlanned: boolean,
): SuccessorContext {
  const reached = new Set(fenced.map(({ server }) => server));
  const unreached = [...owner.servers.values()].filter((server) => !reached.has(server));
  return {
    fenced: fenced
      .filter(({ status }) => status.role === 'replica')
      .filter(({ server }) => !isPlanned || maySucceedAsPlanned(owner, former, server))
      .map(({ server, status }) => {
        const endAsPrimary = demoted.get(server);
        return {
          server: server.announcement.server,
          position: status.position,
          isLeaving: server.announcement.isLeaving,
          // A server whose log has become shorter has lost it in a restart.
          placement: placementOf(owner, server),
          wasPrimary: endAsPrimary !== undefined && coversMark(status.position, endAsPrimary),
        };
      }),
    unfenced: unreached
      .filter((server) => server !== former)
      .map(({ announcement }) => announcement.server),
    mayPrimaryReturn: former !== undefined && unreached.includes(former),
    hasUncoveredCommits: hasUncoveredCommits(owner.coverage),
    mayHaveUnknownReplicas: mayHaveUnknownReplicas(owner),
    acknowledged: newestAcknowledgedOf(owner),
    isPlanned,
  };
}

/** A primary that works is not replaced by one that would have to be replaced again. */
function maySucceedAsPlanned(
  owner: StatementOwner,
  former: ServerState | undefined,
  server: ServerState,
): boolean {
  const placement = placementOf(owner, server);
  if (server.announcement.isLeaving || placement === 'evacuated') return false;
  const isMove =
    former?.announcement.isLeaving === false && placementOf(owner, former) === 'outside-homes';
  return !isMove || placement === 'suitable';
}

/** Ends work on the former primary; in a planned change its running statements may finish. */
function endFormerPrimaryWork(
  owner: StatementOwner,
  former: ServerState,
  isPlanned: boolean,
): void {
  closeIdleConnections(former, () => true);
  endOpenTransactions(owner, former);
  if (isPlanned) return;
  for (const job of owner.running) {
    const pooled = job.transaction?.pooled;
    if (pooled?.server === former) pooled.connection.close();
  }
}

/** Ends transactions that could not commit on the former primary any more, so that their callers start them again. */
function endOpenTransactions(owner: StatementOwner, former: ServerState): void {
  for (const transaction of [...owner.transactions.values()]) {
    const isOnFormer = transaction.pooled?.server === former;
    if (!isOnFormer || transaction.isReadOnly || transaction.isBusy) continue;
    dropTransaction(owner, transaction);
  }
}

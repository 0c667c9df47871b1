/**
 * Finds the group's primary when an owner starts, suspects it, and lets the platform promote another
 * server in its place.
 */
import { setTimeout as delay } from 'node:timers/promises';
import {
  chooseSuccessor,
  comparePositions,
  createOwedPositions,
  type FencedServer,
  newestAcknowledged,
  type ServerName,
  ZERO_POSITION,
} from '@bramleykeel/core';
import { match } from 'ts-pattern';
import { dropIdle } from '../target/connection-pool.js';
import { warmConnections } from '../target/connection-warmup.js';
import {
  closeControlConnection,
  orderAll,
  orderStatus,
  probeServer,
  type ServerStatus,
} from '../target/server-control.js';
import { dispatch } from './dispatch.js';
import { primaryOf, type ServerState, type StatementOwner } from './owner-state.js';
import { dropTransaction } from './run-job.js';

/** A silent primary is given up once probes have failed for this long, in milliseconds. */
const SILENT_FOR_MS = 550;
/** Refused connections in a row that prove a process gone. */
const REFUSALS_FOR_PROOF = 2;
const SUSPECT_PROBE_MS = 80;
const IDLE_PROBE_MS = 500;
/** An answer that is outstanding for this long makes the owner probe the server, in milliseconds. */
const UNANSWERED_PROBE_MS = 500;
/** Commits that hang for this long while the server answers otherwise: its replicas are out of reach. */
const COMMIT_STALL_MS = 1_500;
/** Time between two changes of primary because of stalled commits, in milliseconds. */
const STALL_CHANGE_EVERY_MS = 6_000;
/** A group without any primary is watched for this long before a server is chosen, in milliseconds. */
const ADOPTION_PATIENCE_MS = 3_000;
/** Writes that run on a leaving primary may take this long before it is replaced, in milliseconds. */
const PLANNED_DRAIN_MS = 250;
const CHANGE_RETRY_MS = 80;
/** Time between two looks at what the replicas receive, in milliseconds. */
const REPLICA_CHECK_MS = 2_000;
const PROMOTED_POLL_MS = 50;
/** A promoted server that does not say that it leads in this time is given up, in milliseconds. */
const PROMOTED_WITHIN_MS = 2_500;
/** An unanswered call to the platform is repeated this often under one token. */
const PROMOTE_ATTEMPTS = 4;
/** A server that is not heard of for this long, and not reached, is forgotten, in milliseconds. */
const FORGET_AFTER_MS = 12_000;

/** Looks at a server again at once if it is the primary. */
export function suspectPrimary(owner: StatementOwner, server: ServerState): void {
  if (primaryOf(owner) === server && !server.isProbing) void watchLed(owner, server, true);
}

/** Called regularly. */
export function watchPrimary(owner: StatementOwner): void {
  if (owner.isClosed || !owner.environment.holdsLease()) return;
  forgetServers(owner);
  for (const server of owner.servers.values()) {
    if (server.failingSinceMs !== undefined && server !== primaryOf(owner)) reprobe(owner, server);
  }
  match(owner.leadership)
    .with({ kind: 'unknown' }, () => {
      void takeOver(owner);
    })
    .with({ kind: 'led' }, ({ server }) => {
      const primary = owner.servers.get(server);
      void checkReplicas(owner);
      void warmConnections(owner);
      if (primary) void watchLed(owner, primary, false);
      else void changePrimary(owner, 'it is gone', false);
    })
    .with({ kind: 'changing' }, () => undefined)
    .exhaustive();
}

function reprobe(owner: StatementOwner, server: ServerState): void {
  const nowMs = performance.now();
  if (server.isProbing || nowMs - server.lastAnswerMs < IDLE_PROBE_MS) return;
  if (nowMs - (server.failingSinceMs ?? nowMs) > IDLE_PROBE_MS && Math.random() > 0.2) return;
  void probeServer(owner, server);
}

function forgetServers(owner: StatementOwner): void {
  const nowMs = performance.now();
  for (const [name, server] of owner.servers) {
    const isGone =
      nowMs - server.heardAtMs > FORGET_AFTER_MS && server.failingSinceMs !== undefined;
    if (isGone) forgetServer(owner, name);
  }
}

/** Takes a server out of the group: it left, or was not heard of for long. */
export function forgetServer(owner: StatementOwner, name: ServerName): void {
  const server = owner.servers.get(name);
  if (!server) return;
  owner.environment.log(`server ${name} of ${owner.group} is gone`);
  owner.servers.delete(name);
  dropIdle(server, () => true);
  closeControlConnection(server);
}

const takingOver = new WeakSet<StatementOwner>();

/** Starts to serve from what the primary itself says, so that nothing acknowledged is missed. */
async function takeOver(owner: StatementOwner): Promise<void> {
  if (takingOver.has(owner) || owner.servers.size === 0) return;
  takingOver.add(owner);
  try {
    const statuses = await orderAll(owner, () => ({ kind: 'status' }));
    if (!mayAct(owner) || owner.leadership.kind !== 'unknown') return;
    const primary = newestPrimary(statuses);
    if (primary) await adopt(owner, primary);
    else if (isPrimaryMissing(owner)) await changePrimary(owner, 'no server is primary', false);
  } finally {
    takingOver.delete(owner);
  }
}

function newestPrimary(statuses: readonly ServerStatus[]): ServerStatus | undefined {
  return statuses
    .filter(({ status }) => status.role === 'primary')
    .sort((left, right) => right.status.term - left.status.term)[0];
}

function isPrimaryMissing(owner: StatementOwner): boolean {
  if (owner.servers.size < 2) return false;
  const nowMs = performance.now();
  const announced = [...owner.servers.values()].find(
    ({ announcement }) => announcement.role === 'primary',
  );
  if (announced?.failingSinceMs !== undefined) {
    return (
      announced.refusedCount >= REFUSALS_FOR_PROOF ||
      nowMs - announced.failingSinceMs >= SILENT_FOR_MS
    );
  }
  return nowMs - owner.startedAtMs >= ADOPTION_PATIENCE_MS;
}

/**
 * An earlier owner may have ordered a promotion that is carried out late. A confirmation of the
 * present primary under a higher token makes all such orders void.
 */
async function adopt(owner: StatementOwner, primary: ServerStatus): Promise<void> {
  const { environment } = owner;
  const record = environment.groupRecord();
  const name = primary.server.announcement.server;
  const isUnresolved = record.proposedTerm > record.term;
  if (isUnresolved || (record.primary !== undefined && record.primary !== name)) {
    const isConfirmed = await orderPromotion(owner, name);
    if (!isConfirmed || !mayAct(owner)) return;
    const again = await orderStatus(owner, primary.server, { kind: 'status' });
    if (again?.status.role !== 'primary' || !mayAct(owner)) return;
    lead(owner, again, 'it was confirmed');
    return;
  }
  lead(owner, primary, 'it says so');
  if (record.primary !== undefined) return;
  const { group, epoch: ownerEpoch } = owner;
  await environment.propose({ kind: 'primary/commit', group, ownerEpoch, term: 1, server: name });
}

function lead(owner: StatementOwner, { server, status }: ServerStatus, why: string): void {
  const nowMs = performance.now();
  const name = server.announcement.server;
  server.position = status.position;
  owner.owed = createOwedPositions(status.position, nowMs);
  owner.leadership = { kind: 'led', server: name, sinceMs: nowMs };
  owner.replicasCheckedMs = Number.NEGATIVE_INFINITY;
  const { term, position } = status;
  owner.environment.log(
    `${name} leads ${owner.group} in term ${term} at ${position.term}.${position.offset}: ${why}`,
  );
  dispatch(owner);
}

function mayAct(owner: StatementOwner): boolean {
  return !owner.isClosed && owner.environment.holdsLease();
}

/** Decides from announcements, outstanding answers and probes whether the primary has to be replaced. */
async function watchLed(
  owner: StatementOwner,
  primary: ServerState,
  isSuspected: boolean,
): Promise<void> {
  const { leadership } = owner;
  if (leadership.kind !== 'led') return;
  const { announcement, heardAtMs } = primary;
  if (announcement.isLeaving && hasSuccessor(owner, primary)) {
    await changePrimary(owner, 'it is leaving', true);
    return;
  }
  const saysReplica = announcement.role === 'replica' && heardAtMs > leadership.sinceMs;
  const rival = [...owner.servers.values()].find(
    (server) =>
      server !== primary &&
      server.announcement.role === 'primary' &&
      server.heardAtMs > leadership.sinceMs,
  );
  if (saysReplica || rival) {
    await verifyLead(owner, primary);
    return;
  }
  if (hasStalledCommits(owner, primary)) {
    owner.stalledCommits = [];
    await examineStall(owner, primary);
    return;
  }
  if (!isSuspected && primary.failingSinceMs === undefined && !isUnanswered(primary)) return;
  if (primary.isProbing) return;
  const isAlive = await probeServer(owner, primary);
  if (isAlive) {
    if (isSuspected) await verifyLead(owner, primary);
    return;
  }
  if (isLost(primary)) {
    await changePrimary(owner, 'it does not answer', false);
    return;
  }
  await delay(SUSPECT_PROBE_MS);
  if (mayAct(owner)) await watchLed(owner, primary, false);
}

function hasSuccessor(owner: StatementOwner, primary: ServerState): boolean {
  return [...owner.servers.values()].some(
    (server) =>
      server !== primary && !server.announcement.isLeaving && server.failingSinceMs === undefined,
  );
}

function isLost({ failingSinceMs, refusedCount }: ServerState): boolean {
  if (failingSinceMs === undefined) return false;
  if (refusedCount >= REFUSALS_FOR_PROOF) return true;
  return performance.now() - failingSinceMs >= SILENT_FOR_MS;
}

function isUnanswered(primary: ServerState): boolean {
  const nowMs = performance.now();
  if (nowMs - primary.lastAnswerMs < UNANSWERED_PROBE_MS) return false;
  const isWaiting = primary.runningCount > 0;
  const isQuiet = nowMs - primary.heardAtMs > IDLE_PROBE_MS * 6;
  return isWaiting || isQuiet;
}

function hasStalledCommits(owner: StatementOwner, primary: ServerState): boolean {
  const nowMs = performance.now();
  if (nowMs - owner.lastPromotionMs < STALL_CHANGE_EVERY_MS) return false;
  owner.stalledCommits = owner.stalledCommits.filter(
    ({ server, atMs }) => server === primary && nowMs - atMs < COMMIT_STALL_MS,
  );
  return owner.stalledCommits.length > 0;
}

/**
 * Commits hang: either replicas were kept from receiving and have to be let go on, or the primary
 * does not reach any replica, and one that this owner reaches has to take over.
 */
async function examineStall(owner: StatementOwner, primary: ServerState): Promise<void> {
  const statuses = await orderAll(owner, () => ({ kind: 'status' }));
  if (!mayAct(owner) || owner.leadership.kind !== 'led') return;
  const own = statuses.find(({ server }) => server === primary);
  const replicas = statuses.filter(({ server }) => server !== primary);
  if (resumePaused(owner, replicas) || replicas.length === 0) return;
  const isBehind = ({ status }: ServerStatus) =>
    !own || comparePositions(status.position, own.status.position) < 0;
  if (replicas.every(isBehind)) {
    await changePrimary(owner, 'its commits reach no replica', false, true);
  }
}

/** Lets replicas receive again that a fence has stopped; returns whether there were any. */
function resumePaused(owner: StatementOwner, replicas: readonly ServerStatus[]): boolean {
  const paused = replicas.filter(({ status }) => status.role === 'replica' && status.heldTerm > 0);
  for (const { server } of paused) {
    owner.environment.log(`${server.announcement.server} of ${owner.group} may receive again`);
    void orderStatus(owner, server, { kind: 'resume' });
  }
  return paused.length > 0;
}

/** A replica may have been stopped by an earlier owner, or by an order that was carried out late. */
async function checkReplicas(owner: StatementOwner): Promise<void> {
  const { leadership } = owner;
  if (leadership.kind !== 'led') return;
  const nowMs = performance.now();
  if (nowMs - owner.replicasCheckedMs < REPLICA_CHECK_MS) return;
  owner.replicasCheckedMs = nowMs;
  const replicas = [...owner.servers.values()].filter(
    (server) =>
      server.announcement.server !== leadership.server && server.failingSinceMs === undefined,
  );
  const asked = replicas.map((server) => orderStatus(owner, server, { kind: 'status' }));
  const statuses = (await Promise.all(asked)).filter((status) => status !== undefined);
  if (mayAct(owner) && owner.leadership === leadership) resumePaused(owner, statuses);
}

const verifying = new WeakSet<StatementOwner>();

async function verifyLead(owner: StatementOwner, primary: ServerState): Promise<void> {
  if (verifying.has(owner)) return;
  verifying.add(owner);
  const statuses = await orderAll(owner, () => ({ kind: 'status' }));
  verifying.delete(owner);
  if (!mayAct(owner) || owner.leadership.kind !== 'led') return;
  const newest = newestPrimary(statuses);
  if (newest?.server === primary) return;
  const own = statuses.find(({ server }) => server === primary);
  if (newest && newest.status.term > (own?.status.term ?? 0)) {
    owner.environment.log(`${newest.server.announcement.server} leads ${owner.group} instead`);
    owner.leadership = { kind: 'unknown', sinceMs: performance.now() };
    await takeOver(owner);
    return;
  }
  if (own?.status.role === 'replica') await changePrimary(owner, 'it lost its role', false);
}

interface ChangeProgress {
  /** Whether servers were already kept from acknowledging anything. */
  hasFenced: boolean;
  /** Whether a primary that answers again may simply go on. */
  readonly isRevocable: boolean;
}

/** Replaces the primary; statements for it wait meanwhile. */
async function changePrimary(
  owner: StatementOwner,
  reason: string,
  isPlanned: boolean,
  isStalled = false,
): Promise<void> {
  if (owner.leadership.kind === 'changing') return;
  const former = primaryOf(owner) ?? recordedPrimary(owner);
  const sinceMs = performance.now();
  owner.leadership = { kind: 'changing', sinceMs, reason };
  owner.environment.log(`change of primary of ${owner.group} starts: ${reason}`);
  owner.environment.counters.count('failover.started');
  if (isPlanned && former) await awaitWrites(owner, former);
  const change: ChangeProgress = { hasFenced: false, isRevocable: !isStalled };
  while (mayAct(owner)) {
    const promoted = await tryChange(owner, former, isPlanned, change);
    if (promoted && mayAct(owner)) {
      owner.lastPromotionMs = performance.now();
      owner.stalledCommits = [];
      lead(owner, promoted, `promoted after ${Math.round(performance.now() - sinceMs)} ms`);
      if (former && former !== promoted.server) abandon(owner, former, isPlanned);
      return;
    }
    await delay(CHANGE_RETRY_MS);
  }
  if (!owner.isClosed) owner.leadership = { kind: 'unknown', sinceMs: performance.now() };
}

/** The primary as control and the servers themselves last knew it. */
function recordedPrimary(owner: StatementOwner): ServerState | undefined {
  const { primary } = owner.environment.groupRecord();
  const announced = [...owner.servers.values()].find(
    ({ announcement }) => announcement.role === 'primary',
  );
  return announced ?? (primary === undefined ? undefined : owner.servers.get(primary));
}

async function awaitWrites(owner: StatementOwner, former: ServerState): Promise<void> {
  const untilMs = performance.now() + PLANNED_DRAIN_MS;
  const isWriting = () =>
    [...owner.running].some(({ request, transaction }) => {
      if (request.access === 'read' && !transaction) return false;
      return transaction?.pooled === undefined || transaction.pooled.server === former;
    });
  while (isWriting() && performance.now() < untilMs) await delay(5);
}

async function tryChange(
  owner: StatementOwner,
  former: ServerState | undefined,
  isPlanned: boolean,
  change: ChangeProgress,
): Promise<ServerStatus | undefined> {
  const statuses = await orderAll(owner, () => ({ kind: 'status' }));
  if (!mayAct(owner)) return undefined;
  const present = newestPrimary(statuses);
  if (present && present.server !== former) {
    // A promotion that was ordered earlier has been carried out meanwhile.
    const isConfirmed = await orderPromotion(owner, present.server.announcement.server);
    return isConfirmed ? orderStatus(owner, present.server, { kind: 'status' }) : undefined;
  }
  if (present && !isPlanned && !change.hasFenced && change.isRevocable) return present;
  change.hasFenced = true;
  const fenced = isPlanned ? statuses : await fenceAll(owner, statuses);
  if (!mayAct(owner)) return undefined;
  const choice = chooseSuccessor(successorContext(owner, former, fenced, isPlanned));
  if (choice.kind === 'wait') {
    owner.environment.log(`change of primary of ${owner.group} waits: ${choice.reason}`);
    return undefined;
  }
  owner.environment.log(`${choice.server} is to lead ${owner.group}: ${describe(fenced)}`);
  const isOrdered = await orderPromotion(owner, choice.server);
  return isOrdered ? awaitLead(owner, choice.server) : undefined;
}

function describe(statuses: readonly ServerStatus[]): string {
  return statuses
    .map(({ server, status: { role, position, heldTerm } }) => {
      const name = server.announcement.server;
      return `${name} ${role} ${position.term}.${position.offset} held ${heldTerm}`;
    })
    .join(', ');
}

/** Keeps every server in reach from acknowledging anything more under the present term. */
async function fenceAll(
  owner: StatementOwner,
  statuses: readonly ServerStatus[],
): Promise<ServerStatus[]> {
  const terms = statuses.flatMap(({ status }) => [
    status.term,
    status.heldTerm,
    status.position.term,
  ]);
  const known = owner.owed ? newestAcknowledged(owner.owed).term : 0;
  const term = Math.max(0, known, ...terms) + 1;
  const roles = new Map(statuses.map(({ server, status }) => [server, status.role]));
  const answers = await orderAll(owner, (server) =>
    roles.get(server) === 'primary' ? { kind: 'demote', term } : { kind: 'pause', term },
  );
  return answers.filter(({ status }) => status.role === 'replica');
}

function successorContext(
  owner: StatementOwner,
  former: ServerState | undefined,
  fenced: readonly ServerStatus[],
  isPlanned: boolean,
) {
  const nowMs = performance.now();
  const reached = new Set(fenced.map(({ server }) => server));
  const unfenced = isPlanned
    ? []
    : [...owner.servers.values()].filter((server) => server !== former && !reached.has(server));
  const servers: FencedServer[] = fenced
    .filter(({ status }) => status.role === 'replica')
    .filter(({ server }) => !isPlanned || !server.announcement.isLeaving)
    .map(({ server, status }) => ({
      server: server.announcement.server,
      position: status.position,
      isLeaving: server.announcement.isLeaving,
      wasPrimary: server === former,
    }));
  const silences = unfenced.map(({ failingSinceMs }) => nowMs - (failingSinceMs ?? nowMs));
  return {
    fenced: servers,
    unfenced: unfenced.map(({ announcement }) => announcement.server),
    acknowledged: owner.owed ? newestAcknowledged(owner.owed) : ZERO_POSITION,
    unfencedSilentMs: Math.min(...silences, Number.MAX_SAFE_INTEGER),
    isQuiet: isPlanned,
  };
}

/**
 * Orders the promotion under a token that control has committed for it. A token serves one server
 * only, so an order that is carried out late can never undo a newer one.
 */
async function orderPromotion(owner: StatementOwner, server: ServerName): Promise<boolean> {
  const { environment, group, epoch: ownerEpoch } = owner;
  const token = environment.groupRecord().proposedTerm + 1;
  const proposed = await environment.propose({
    kind: 'primary/propose',
    group,
    ownerEpoch,
    term: token,
  });
  if (proposed.kind !== 'done' || !mayAct(owner)) {
    environment.log(`control did not take token ${token} for ${group}: ${proposed.kind}`);
    return false;
  }
  for (let attempt = 0; attempt < PROMOTE_ATTEMPTS && mayAct(owner); attempt += 1) {
    const holder = environment.entryId;
    const outcome = await environment.promoteServer({ group, server, holder, token });
    environment.log(`promotion of ${server} under token ${token}: ${outcome}`);
    if (outcome === 'accepted') {
      void commitPrimary(owner, token, server);
      return true;
    }
    if (outcome === 'refused') return false;
    await delay(CHANGE_RETRY_MS);
  }
  return false;
}

async function commitPrimary(
  owner: StatementOwner,
  term: number,
  server: ServerName,
): Promise<void> {
  const { group, epoch: ownerEpoch } = owner;
  const command = { kind: 'primary/commit', group, ownerEpoch, term, server } as const;
  const result = await owner.environment.propose(command);
  if (result.kind === 'done') return;
  owner.environment.log(`control did not record ${server} as primary of ${group}: ${result.kind}`);
}

async function awaitLead(
  owner: StatementOwner,
  name: ServerName,
): Promise<ServerStatus | undefined> {
  const untilMs = performance.now() + PROMOTED_WITHIN_MS;
  while (mayAct(owner) && performance.now() < untilMs) {
    const server = owner.servers.get(name);
    if (!server) return undefined;
    const answer = await orderStatus(owner, server, { kind: 'status' });
    if (answer?.status.role === 'primary') return answer;
    await delay(PROMOTED_POLL_MS);
  }
  return undefined;
}

/** Ends what still waits for the former primary; one that is leaving answers for itself. */
function abandon(owner: StatementOwner, former: ServerState, isPlanned: boolean): void {
  dropIdle(former, () => true);
  for (const transaction of [...owner.transactions.values()]) {
    const isThere = transaction.pooled?.server === former;
    if (!isThere || transaction.isReadOnly || transaction.isBusy) continue;
    dropTransaction(owner, transaction);
  }
  if (isPlanned) return;
  for (const job of owner.running) {
    const pooled = job.transaction?.pooled;
    if (pooled?.server === former) pooled.connection.close();
  }
}

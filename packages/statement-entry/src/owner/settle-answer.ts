/** Maps a server's answer to the outcome for the caller, and releases or discards the connection. */
import {
  latestPosition,
  type LogPosition,
  mayAcknowledge,
  recordAcknowledged,
  type ServerName,
  type StatementOutcome,
} from '@bramleykeel/core';
import {
  discardConnection,
  closeIdleConnections,
  recordAnswer,
  recordFailure,
  releaseConnection,
} from '../target/connection-pool.js';
import type { ConnectionState, TargetAnswer, TargetRefusal } from '../types/target-port.js';
import { endJob, notRun } from './end-job.js';
import { holdCommit } from './hold-commits.js';
import { requeueJob } from './job-queue.js';
import {
  isActiveOwner,
  type Job,
  type Leadership,
  type OpenTransaction,
  type PooledConnection,
  type ServerState,
  type StatementOwner,
} from './owner-state.js';
import { recordServerPlaces } from './server-places.js';
import { dropTransaction } from './transactions.js';

/** Part of the deadline reserved for returning the answer to the caller, in milliseconds. */
export const ANSWER_MARGIN_MS = 5;
/** A primary and two replicas: what each of them has left without an answer is not tried again. */
const MAX_UNANSWERED_RUNS = 3;
/** A server that answered `busy`, or refused a write as read-only, gets no statements for this long, in milliseconds. */
const BUSY_PAUSE_MS = 15;
/**
 * A replica that refused a read because it lags gets no reads that require as new a position for this long, in
 * milliseconds. The pause doubles with each further refusal, up to the interval at which owners request the
 * status of replicas.
 */
const LAGGING_PAUSE_MS = 100;
const MAX_LAGGING_PAUSE_MS = 1_600;

type DoneOutcome = Extract<StatementOutcome, { readonly kind: 'done' }>;

/** Handles the answer to a statement outside of transactions. */
export function settleStatement(
  owner: StatementOwner,
  job: Job,
  pooled: PooledConnection,
  answer: TargetAnswer,
): void {
  const { access } = job.request;
  // A plain switch, because this runs for each statement and patterns allocate a closure for each case.
  switch (answer.kind) {
    case 'done': {
      const { rows, signature, position } = answer;
      const isFromReplica = isReplica(owner, pooled.server);
      if (isFromReplica) pooled.server.laggingPauseMs = 0;
      const outcome = { kind: 'done', rows, signature, position, isFromReplica } as const;
      if (access === 'write') {
        endCommit(owner, job, pooled, outcome, 'idle');
        return;
      }
      releaseConnection(pooled);
      endJob(owner, job, outcome);
      return;
    }
    case 'refused': {
      const { code } = answer;
      handleRefusal(owner, job, pooled.server, code);
      discardConnection(pooled);
      if (code === 'malformed') endJob(owner, job, { kind: 'failed', text: 'malformed statement' });
      else requeueRefused(owner, job, pooled.server, code);
      return;
    }
    case 'failed':
      discardConnection(pooled);
      endJob(owner, job, { kind: 'failed', text: answer.text });
      return;
    case 'timed-out':
      discardConnection(pooled);
      endJob(owner, job, { kind: 'timed-out' });
      return;
    case 'unknown':
      discardConnection(pooled);
      if (recordUnansweredRun(job)) requeueJob(owner, job);
      else endJob(owner, job, { kind: 'unknown', reason: 'the server does not know the outcome' });
      return;
    case 'foreign':
      handleBrokenConnection(owner, job, pooled, answer);
      discardConnection(pooled);
      if (recordUnansweredRun(job)) requeueJob(owner, job);
      else endJob(owner, job, brokenOutcome(answer));
      return;
    case 'lost':
    case 'overdue':
      handleBrokenConnection(owner, job, pooled, answer);
      discardConnection(pooled);
      if (recordUnansweredRun(job) && answer.kind === 'lost') requeueJob(owner, job);
      else endJob(owner, job, brokenOutcome(answer));
  }
}

/**
 * Handles the answer to a statement of a transaction; any answer but success ends the transaction.
 *
 * @param isCommit whether the answer is that to COMMIT; one to an order before it leaves nothing committed
 */
export function settleTransactionStatement(
  owner: StatementOwner,
  job: Job,
  transaction: OpenTransaction,
  pooled: PooledConnection,
  answer: TargetAnswer,
  isCommit = job.request.access === 'commit',
): void {
  transaction.isBusy = false;
  transaction.lastUsedMs = performance.now();
  const isFromReplica = isReplica(owner, pooled.server);
  switch (answer.kind) {
    case 'done': {
      const { rows, signature, position, state } = answer;
      const outcome = { kind: 'done', rows, signature, position, isFromReplica } as const;
      transaction.hasBegun = true;
      if (isCommit) owner.transactions.delete(transaction.key);
      if (isCommit && !transaction.isReadOnly) {
        endCommit(owner, job, pooled, outcome, state);
        return;
      }
      if (isCommit) releaseIfIdle(pooled, state);
      endJob(owner, job, outcome);
      return;
    }
    case 'refused':
      handleRefusal(owner, job, pooled.server, answer.code);
      dropTransaction(owner, transaction);
      endJob(owner, job, { kind: 'aborted', reason: answer.code });
      return;
    case 'failed':
      dropTransaction(owner, transaction);
      endJob(owner, job, { kind: 'failed', text: answer.text });
      return;
    case 'timed-out':
    case 'unknown': {
      const { kind } = answer;
      dropTransaction(owner, transaction);
      const ended: StatementOutcome = { kind: 'aborted', reason: kind };
      endJob(owner, job, isCommit ? { kind: 'unknown', reason: kind } : ended);
      return;
    }
    case 'lost':
    case 'overdue': {
      handleBrokenConnection(owner, job, pooled, answer);
      dropTransaction(owner, transaction);
      // The server rolls back an uncommitted transaction when the connection is closed.
      const ended: StatementOutcome = { kind: 'aborted', reason: 'the connection was lost' };
      endJob(owner, job, isCommit ? brokenOutcome(answer) : ended);
      return;
    }
    case 'foreign':
      handleBrokenConnection(owner, job, pooled, answer);
      dropTransaction(owner, transaction);
      // Without its transaction, a write was committed at once.
      if (transaction.isReadOnly || (transaction.hasBegun && !isCommit))
        endJob(owner, job, { kind: 'aborted', reason: answer.kind });
      else endJob(owner, job, brokenOutcome(answer));
  }
}

/** Counts a run without an answer; returns whether the statement may run again. */
function recordUnansweredRun(job: Job): boolean {
  job.mayHaveRun = true;
  job.unansweredRuns += 1;
  return job.request.access === 'read' && job.unansweredRuns < MAX_UNANSWERED_RUNS;
}

/**
 * Handles the answer to an order that prepares a connection for a statement. Each further attempt takes a new connection,
 * so that one which the servers do not carry out must not be made without a limit. On a connection that has carried
 * statements before, the right answer may look like an earlier one.
 */
export function requeueUnprepared(
  owner: StatementOwner,
  job: Job,
  { server, lastUsedMs, openedAtMs }: PooledConnection,
  answer: TargetAnswer,
): void {
  const wasUsed = lastUsedMs > openedAtMs;
  if (answer.kind === 'refused') {
    requeueRefused(owner, job, server, answer.code);
    return;
  }
  const isBroken = answer.kind === 'lost' || answer.kind === 'overdue';
  if (isBroken || (answer.kind === 'foreign' && wasUsed)) requeueJob(owner, job);
  else requeueAfterFailedPreparation(owner, job);
}

function requeueRefused(
  owner: StatementOwner,
  job: Job,
  server: ServerState,
  code: TargetRefusal,
): void {
  // It is sent statements as the primary until the owner knows another one.
  if (code === 'read-only')
    server.busyUntilMs = Math.max(server.busyUntilMs, performance.now() + BUSY_PAUSE_MS);
  if (code === 'read-only' || code === 'busy' || code === 'lagging') requeueJob(owner, job);
  else requeueAfterFailedPreparation(owner, job);
}

function requeueAfterFailedPreparation(owner: StatementOwner, job: Job): void {
  job.failedPreparations += 1;
  if (job.failedPreparations < MAX_UNANSWERED_RUNS) requeueJob(owner, job);
  else endJob(owner, job, notRun('queue-timeout'));
}

function brokenOutcome(broken: TargetAnswer): StatementOutcome {
  if (broken.kind === 'overdue') return { kind: 'timed-out' };
  if (broken.kind === 'foreign')
    return { kind: 'unknown', reason: 'the server sent an answer that does not fit' };
  return { kind: 'unknown', reason: 'the connection to the server was lost' };
}

function isReplica(owner: StatementOwner, server: ServerState): boolean {
  const { leadership } = owner;
  return leadership.kind !== 'led' || leadership.server !== server.announcement.server;
}

/** Answers a commit, once a server on control's record is known to have it. */
function endCommit(
  owner: StatementOwner,
  job: Job,
  pooled: PooledConnection,
  outcome: DoneOutcome,
  state: ConnectionState,
): void {
  const { position } = outcome;
  const held = holdCommit(owner, position, job.deadlineMs - ANSWER_MARGIN_MS);
  if (held) {
    recordServerPlaces(owner);
    releaseIfIdle(pooled, state);
    job.confirmation = held.then((isKnown) => {
      const isPassedOn = isKnown && acknowledgeCommit(owner, job, position);
      endJob(owner, job, isPassedOn ? outcome : unconfirmedOutcome());
    });
    return;
  }
  const isPassedOn = acknowledgeCommit(owner, job, position);
  if (isPassedOn) releaseIfIdle(pooled, state);
  else discardConnection(pooled);
  endJob(owner, job, isPassedOn ? outcome : unconfirmedOutcome());
}

function releaseIfIdle(pooled: PooledConnection, state: ConnectionState): void {
  if (state === 'idle') releaseConnection(pooled);
  else discardConnection(pooled);
}

/**
 * Records the acknowledgement of a commit; returns whether it may be passed on. Otherwise the commit may be rolled back by
 * a change of primary.
 */
function acknowledgeCommit(
  owner: StatementOwner,
  { committedUnder, transaction }: Job,
  position: LogPosition | null,
): boolean {
  const { leadership, leadershipNumber, acknowledgedPositions, environment } = owner;
  const isUnderThis = committedUnder === leadershipNumber;
  const hasSuccessor = leadership.kind === 'changing' && leadership.chosenPosition !== undefined;
  const wasReplaced = hasSuccessor ? isUnderThis : committedUnder === leadershipNumber - 1;
  const isPassedOn = mayAcknowledge({
    // A closed owner's lease may have been renewed since, for another owner under the same epoch.
    holdsLease: isActiveOwner(owner),
    isFromPrimary: isUnderThis && leadership.kind !== 'unknown' && !hasSuccessor,
    position,
    successorPosition:
      wasReplaced && leadership.kind !== 'unknown' ? leadership.chosenPosition : undefined,
  });
  // A commit without a write waits for no replica, so its position may include commits that are in no other log.
  const isReplicated = transaction?.mayHaveWritten !== false;
  if (!isPassedOn) environment.counters.count('commit.unconfirmed');
  else if (position && acknowledgedPositions && isReplicated)
    recordAcknowledged(acknowledgedPositions, position, performance.now());
  return isPassedOn;
}

/** The leadership under which a commit that is sent to the server counts; `undefined` if the server does not lead. */
export function leadershipNumberOf(
  { leadership, leadershipNumber, servers }: StatementOwner,
  server: ServerState,
): number | undefined {
  const leader = leaderOf(leadership);
  return leader !== undefined && servers.get(leader) === server ? leadershipNumber : undefined;
}

function leaderOf(leadership: Leadership): ServerName | undefined {
  switch (leadership.kind) {
    case 'led':
      return leadership.server;
    case 'changing':
      return leadership.former;
    case 'unknown':
      return undefined;
  }
}

function unconfirmedOutcome(): StatementOutcome {
  return { kind: 'unknown', reason: 'the commit was not confirmed' };
}

/** Records a successful answer and the log position that it reports. */
export function recordSuccessfulAnswer(
  pooled: PooledConnection,
  position: LogPosition | null,
): void {
  recordAnswer(pooled.server);
  if (position) pooled.server.position = latestPosition(pooled.server.position, position);
}

/** Logs and counts a refusal, and updates the state of the server. */
export function handleRefusal(
  owner: StatementOwner,
  job: Job,
  server: ServerState,
  code: TargetRefusal,
): void {
  const nowMs = performance.now();
  owner.environment.counters.count(`retry.${code}`);
  owner.environment.log('server refused the order', {
    request: job.request.tag,
    group: owner.group,
    server: server.announcement.server,
    code,
    position: `${server.position.term}.${server.position.offset}`,
    heardAgoMs: Math.round(nowMs - server.lastAnnouncementMs),
  });
  if (code === 'busy') server.busyUntilMs = nowMs + BUSY_PAUSE_MS;
  if (code === 'lagging') pauseLagging(server, nowMs);
  if (code === 'lagging' || code === 'read-only') owner.suspect(server);
}

/** Statements sent together may be refused together, so refusals during a pause do not extend it. */
function pauseLagging(server: ServerState, nowMs: number): void {
  if (nowMs < server.laggingUntilMs) return;
  const pauseMs = Math.max(LAGGING_PAUSE_MS, server.laggingPauseMs * 2);
  server.laggingPauseMs = Math.min(MAX_LAGGING_PAUSE_MS, pauseMs);
  server.laggingUntilMs = nowMs + server.laggingPauseMs;
}

/** Handles a connection that was closed; other connections to the server may be dead as well. */
export function handleBrokenConnection(
  owner: StatementOwner,
  job: Job,
  pooled: PooledConnection,
  broken: TargetAnswer,
): void {
  const { server } = pooled;
  owner.environment.log('connection to server lost, or its answer overdue or foreign', {
    request: job.request.tag,
    group: owner.group,
    server: server.announcement.server,
    how: broken.kind,
    openForMs: Math.round(performance.now() - pooled.openedAtMs),
    lastAnswerAgoMs: Math.round(performance.now() - server.lastAnswerMs),
  });
  owner.environment.counters.count(`target.connection-${broken.kind}`);
  if (broken.kind === 'overdue') {
    closeIdleConnections(server, ({ lastUsedMs }) => lastUsedMs <= pooled.lastUsedMs);
  }
  // The server is there, but this connection to it is out of step.
  if (broken.kind === 'foreign') return;
  if (broken.kind === 'lost') recordFailure(server, 'closed', performance.now());
  owner.suspect(server);
}

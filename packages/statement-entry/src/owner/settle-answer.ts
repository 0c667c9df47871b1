/** Maps a server's answer to the outcome for the caller, and releases or discards the connection. */
import {
  latestPosition,
  type LogPosition,
  mayAcknowledge,
  recordAcknowledged,
  type StatementOutcome,
} from '@bramleykeel/core';
import { match } from 'ts-pattern';
import {
  discardConnection,
  closeIdleConnections,
  recordAnswer,
  recordFailure,
  releaseConnection,
} from '../target/connection-pool.js';
import type { TargetAnswer, TargetRefusal } from '../types/target-port.js';
import { endJob, requeueJob } from './dispatch.js';
import type {
  Job,
  OpenTransaction,
  PooledConnection,
  ServerState,
  StatementOwner,
} from './owner-state.js';
import { dropTransaction } from './transactions.js';
import { suspectPrimary } from './watch-primary.js';

/** A server that answered `busy` gets no statements for this long, in milliseconds. */
const BUSY_PAUSE_MS = 15;
/**
 * A replica that refused a read because it lags gets no reads that require as new a position for this long, in
 * milliseconds. The pause doubles with each further refusal, up to the interval at which owners request the
 * status of replicas.
 */
const LAGGING_PAUSE_MS = 100;
const MAX_LAGGING_PAUSE_MS = 1_600;

/** Handles the answer to a statement outside of transactions. */
export function settleStatement(
  owner: StatementOwner,
  job: Job,
  pooled: PooledConnection,
  answer: TargetAnswer,
): void {
  const { access } = job.request;
  match(answer)
    .with({ kind: 'done' }, ({ rows, signature, position }) => {
      if (access === 'write' && !acknowledgeCommit(owner, job, position)) {
        discardConnection(pooled);
        endJob(owner, job, unconfirmedOutcome());
        return;
      }
      releaseConnection(pooled);
      const isFromReplica = isReplica(owner, pooled.server);
      if (isFromReplica) pooled.server.laggingPauseMs = 0;
      endJob(owner, job, { kind: 'done', rows, signature, position, isFromReplica });
    })
    .with({ kind: 'refused' }, ({ code, state }) => {
      handleRefusal(owner, job, pooled.server, code);
      if (code === 'unknown-statement') pooled.prepared.clear();
      if (state === 'idle') releaseConnection(pooled);
      else discardConnection(pooled);
      if (code === 'malformed') endJob(owner, job, { kind: 'failed', text: 'malformed statement' });
      else requeueJob(owner, job);
    })
    .with({ kind: 'failed' }, ({ text, state }) => {
      if (state === 'idle') releaseConnection(pooled);
      else discardConnection(pooled);
      endJob(owner, job, { kind: 'failed', text });
    })
    .with({ kind: 'timed-out' }, () => {
      discardConnection(pooled);
      endJob(owner, job, { kind: 'timed-out' });
    })
    .with({ kind: 'unknown' }, () => {
      discardConnection(pooled);
      endJob(owner, job, { kind: 'unknown', reason: 'the server does not know the outcome' });
    })
    .with({ kind: 'lost' }, { kind: 'overdue' }, (broken) => {
      handleBrokenConnection(owner, job, pooled, broken);
      discardConnection(pooled);
      job.mayHaveRun = true;
      if (access === 'read' && broken.kind === 'lost') requeueJob(owner, job);
      else endJob(owner, job, brokenOutcome(broken));
    })
    .exhaustive();
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
  match(answer)
    .with({ kind: 'done' }, ({ rows, signature, position, state }) => {
      if (isCommit) {
        owner.transactions.delete(transaction.key);
        if (!transaction.isReadOnly && !acknowledgeCommit(owner, job, position)) {
          discardConnection(pooled);
          endJob(owner, job, unconfirmedOutcome());
          return;
        }
        if (state === 'idle') releaseConnection(pooled);
        else discardConnection(pooled);
      }
      endJob(owner, job, { kind: 'done', rows, signature, position, isFromReplica });
    })
    .with({ kind: 'refused' }, ({ code }) => {
      handleRefusal(owner, job, pooled.server, code);
      dropTransaction(owner, transaction);
      endJob(owner, job, { kind: 'aborted', reason: code });
    })
    .with({ kind: 'failed' }, ({ text }) => {
      dropTransaction(owner, transaction);
      endJob(owner, job, { kind: 'failed', text });
    })
    .with({ kind: 'timed-out' }, { kind: 'unknown' }, ({ kind }) => {
      dropTransaction(owner, transaction);
      const ended: StatementOutcome = { kind: 'aborted', reason: kind };
      endJob(owner, job, isCommit ? { kind: 'unknown', reason: kind } : ended);
    })
    .with({ kind: 'lost' }, { kind: 'overdue' }, (broken) => {
      handleBrokenConnection(owner, job, pooled, broken);
      dropTransaction(owner, transaction);
      // The server rolls back an uncommitted transaction when the connection is closed.
      const ended: StatementOutcome = { kind: 'aborted', reason: 'the connection was lost' };
      endJob(owner, job, isCommit ? brokenOutcome(broken) : ended);
    })
    .exhaustive();
}

function brokenOutcome(broken: TargetAnswer): StatementOutcome {
  if (broken.kind === 'overdue') return { kind: 'timed-out' };
  return { kind: 'unknown', reason: 'the connection to the server was lost' };
}

function isReplica(owner: StatementOwner, server: ServerState): boolean {
  const { leadership } = owner;
  return leadership.kind !== 'led' || leadership.server !== server.announcement.server;
}

/**
 * Records the acknowledgement of a commit; returns whether it may be passed on. Otherwise the commit may be rolled back by
 * a change of primary.
 */
function acknowledgeCommit(
  owner: StatementOwner,
  { committedUnder }: Job,
  position: LogPosition | null,
): boolean {
  const { leadership, leadershipNumber, acknowledgedPositions, environment } = owner;
  const isUnderThis = committedUnder === leadershipNumber;
  const hasSuccessor = leadership.kind === 'changing' && leadership.chosenPosition !== undefined;
  const wasReplaced = hasSuccessor ? isUnderThis : committedUnder === leadershipNumber - 1;
  const isPassedOn = mayAcknowledge({
    holdsLease: environment.holdsLease(),
    isFromPrimary: isUnderThis && leadership.kind !== 'unknown' && !hasSuccessor,
    position,
    successorPosition:
      wasReplaced && leadership.kind !== 'unknown' ? leadership.chosenPosition : undefined,
  });
  if (!isPassedOn) environment.counters.count('commit.unconfirmed');
  else if (position && acknowledgedPositions)
    recordAcknowledged(acknowledgedPositions, position, performance.now());
  return isPassedOn;
}

/** The leadership under which a commit that is sent to the server counts; `undefined` if the server does not lead. */
export function leadershipNumberOf(
  { leadership, leadershipNumber, servers }: StatementOwner,
  server: ServerState,
): number | undefined {
  const leader = match(leadership)
    .with({ kind: 'led' }, (led) => led.server)
    .with({ kind: 'changing' }, ({ former }) => former)
    .with({ kind: 'unknown' }, () => undefined)
    .exhaustive();
  return leader !== undefined && servers.get(leader) === server ? leadershipNumber : undefined;
}

function unconfirmedOutcome(): StatementOutcome {
  return { kind: 'unknown', reason: 'the primary was replaced before the commit was confirmed' };
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
  if (code === 'lagging' || code === 'read-only') suspectPrimary(owner, server);
}

/** Statements sent together may be refused together, so refusals during a pause do not extend it. */
function pauseLagging(server: ServerState, nowMs: number): void {
  if (nowMs < server.laggingUntilMs) return;
  const pauseMs = Math.max(LAGGING_PAUSE_MS, server.laggingPauseMs * 2);
  server.laggingPauseMs = Math.min(MAX_LAGGING_PAUSE_MS, pauseMs);
  server.laggingUntilMs = nowMs + server.laggingPauseMs;
}

/** Handles a lost connection or an overdue answer; other connections to the server may be dead as well. */
export function handleBrokenConnection(
  owner: StatementOwner,
  job: Job,
  pooled: PooledConnection,
  broken: TargetAnswer,
): void {
  const { server } = pooled;
  owner.environment.log('connection to server lost or answer overdue', {
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
  if (broken.kind === 'lost') recordFailure(server, 'closed', performance.now());
  suspectPrimary(owner, server);
}

/** Answers statements. */
import { newestAcknowledged, type StatementOutcome } from '@bramleykeel/core';
import type { LogFields } from '@bramleykeel/link';
import type { Job, StatementOwner } from './owner-state.js';

/** Retry delay sent to callers with refusals, in milliseconds. */
export const RETRY_AFTER_MS = 200;

export function isOverloadControlled({ environment }: StatementOwner): boolean {
  return environment.overloadControl === true;
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
export function describeJob(owner: StatementOwner, job: Job): LogFields {
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

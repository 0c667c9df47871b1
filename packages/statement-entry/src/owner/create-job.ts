/** Creates the owner's state of a statement. */
import {
  createHomesClaim,
  type GroupName,
  homesSubjectOf,
  type StatementRequest,
} from '@bramleykeel/core';
import { valuesKeyOf } from '../target/connection-setup.js';
import type { Job, OwnerChannel } from './owner-state.js';

/** The state of a statement that arrives now. */
export function createJob(group: GroupName, channel: OwnerChannel, request: StatementRequest): Job {
  const nowMs = performance.now();
  return {
    channel,
    request,
    valuesKey: valuesKeyOf(request.values),
    homesClaim: createHomesClaim(homesSubjectOf(group, request), request.homes),
    arrivedAtMs: nowMs,
    deadlineMs: nowMs + request.budgetMs,
    startByMs: nowMs + request.startWithinMs,
    mayHaveRun: false,
    hasReachedTarget: false,
    committedUnder: undefined,
    transaction: undefined,
    attempts: 0,
    unansweredRuns: 0,
    failedPreparations: 0,
    isWithdrawn: false,
    isEnded: false,
  };
}

/** Bounds how often a request runs whose answers are lost or cannot be read. */
import type { Refusal } from '@bramleykeel/core';
import { isRepeatable } from './cancel-request.js';
import type { GroupOwner, OwnerRequest } from './owner-state.js';

/** A primary and two replicas: a read that each of them has left without an answer is not run again. */
const MAX_RUNS_OF_READ = 3;

/**
 * Counts and logs a run without an answer that can be passed on.
 *
 * @param refusal what the caller receives if the request does not run again
 * @returns whether the request may run again
 */
export function recordUnansweredRun(
  owner: GroupOwner,
  request: OwnerRequest,
  refusal: Refusal,
): boolean {
  const { session, number, intent, attempts, running, enqueuedAtMs, hasForwardedAnswer } = request;
  request.unansweredRuns += 1;
  const { unansweredRuns } = request;
  const isRetried =
    isRepeatable(request) && !hasForwardedAnswer && unansweredRuns < MAX_RUNS_OF_READ;
  if (isRetried) request.unansweredRefusal = refusal;
  const { reason } = refusal;
  const isClosedByServer = reason === 'target-connection-lost' && !owner.isClosed;
  owner.environment.log('request left without an answer', {
    ...{ group: owner.group, server: running?.server, processId: running?.connection.processId },
    ...{ session: session.id, number, intent, reason },
    closedBy: isClosedByServer ? 'server' : 'owner',
    ...{ attempts, unansweredRuns, isRetried },
    ageMs: Math.round(performance.now() - enqueuedAtMs),
  });
  return isRetried;
}

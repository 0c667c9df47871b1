/** Finds the primary among the answers of servers, and has it lead. */
import { createAcknowledgedPositions, recordPrimaryStart } from '@bramleykeel/core';
import type { ServerStatus } from '../target/server-control.js';
import { dispatch } from './dispatch.js';
import type { StatementOwner } from './owner-state.js';

export function newestPrimary(statuses: readonly ServerStatus[]): ServerStatus | undefined {
  return statuses
    .filter(({ status }) => status.role === 'primary')
    .sort((left, right) => right.status.term - left.status.term)[0];
}

/** Has a server lead that reports the primary role, from the position that it reports. */
export function setPrimary(
  owner: StatementOwner,
  { server, status }: ServerStatus,
  why: string,
): void {
  const nowMs = performance.now();
  const name = server.announcement.server;
  server.position = status.position;
  owner.acknowledgedPositions = createAcknowledgedPositions(status.position, nowMs);
  owner.lastLedMs = nowMs;
  const { leadership } = owner;
  const chosenPosition = leadership.kind === 'changing' ? leadership.chosenPosition : undefined;
  // Within one term no other server can have led in between.
  if (status.term !== owner.leadershipTerm) owner.leadershipNumber += 1;
  owner.leadershipTerm = status.term;
  owner.leadership = { kind: 'led', server: name, sinceMs: nowMs, chosenPosition };
  recordPrimaryStart(owner.coverage, status.position, nowMs);
  owner.replicasCheckedMs = Number.NEGATIVE_INFINITY;
  const { term, position } = status;
  owner.environment.log(
    `${name} is primary of ${owner.group} in term ${term} at ${position.term}.${position.offset}: ${why}`,
  );
  dispatch(owner);
}

/** Cancels requests that run, and tells what is left of them. */
import type { ServerName } from '@bramleykeel/core';
import { cancelRunning } from '../target/target-connection.js';
import type { GroupOwner, OwnerRequest } from './owner-state.js';

/** SQLSTATE of a statement that was cancelled; its effects are rolled back. */
const CANCELLED_SQLSTATE = '57014';

/** Whether a request outside of transactions was cancelled before any of its statements had completed or committed. */
export function isUndone({
  isCancelledForChange,
  filter,
  session,
  hasForwardedAnswer,
}: OwnerRequest) {
  const isCancelled = isCancelledForChange && filter.firstSqlState === CANCELLED_SQLSTATE;
  const leftNothing = !filter.hasCompleted && !filter.position && !hasForwardedAnswer;
  return isCancelled && leftNothing && !session.pinned;
}

/** The requests that a server runs and that cannot be run elsewhere instead once their connection is cut. */
export function statementsOn({ sessions }: GroupOwner, server: ServerName): OwnerRequest[] {
  return [...sessions.values()].flatMap(({ request }) => {
    const isRunning = request?.stage === 'running' && request.running?.server === server;
    return isRunning && !isRepeatable(request) ? [request] : [];
  });
}

/** Whether a request changes nothing and depends on no open transaction. */
export function isRepeatable({ intent, mayCommit, session }: OwnerRequest): boolean {
  return intent === 'read' && !mayCommit && session.pinned === undefined;
}

/** Cancels a request whose server is replaced as primary; if the server says that it did, nothing has run. */
export function cancelForChange(owner: GroupOwner, request: OwnerRequest): void {
  request.isCancelledForChange = true;
  cancelRequest(owner, request);
}

/** Cancels a request if it is still running on its connection. */
export function cancelRequest(owner: GroupOwner, request: OwnerRequest): void {
  const { running } = request;
  if (request.stage !== 'running' || !running) return;
  if (running.connection.consumer === undefined) return;
  owner.environment.counters.count('request.cancelled');
  cancelRunning(running.connection);
}

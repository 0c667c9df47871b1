/** Messages that the entry itself sends to callers: refusals, ReadyForQuery, session marks. */
import { formatPosition, type LogPosition, type Refusal } from '@bramleykeel/core';
import {
  buildErrorResponse,
  buildParameterStatus,
  buildReadyForQuery,
} from '@bramleykeel/postgres-wire';
import { writeBatched } from '@bramleykeel/link';
import type { CallerSession } from './caller-state.js';

/** Name of the parameter that carries a session's mark, its position in the group's log. */
export const SESSION_PARAMETER = 'bramleykeel.session';

/** Builds the ErrorResponse for a refusal; `isFatal` if the connection is closed after it. */
export function buildRefusal(refusal: Refusal, isFatal: boolean): Buffer {
  const { sqlState, message, reason, hint } = refusal;
  const severity = isFatal ? 'FATAL' : 'ERROR';
  const detail = `reason: ${reason}`;
  return buildErrorResponse({ severity, sqlState, message, detail, ...(hint ? { hint } : {}) });
}

/** Counts a refusal by this entry and sends it; the connection stays open. */
export function sendRefusal(session: CallerSession, refusal: Refusal): void {
  session.environment.counters.count(`refusal.${refusal.reason}`);
  writeBatched(session.socket, buildRefusal(refusal, false));
}

export function sendReady(session: CallerSession): void {
  writeBatched(session.socket, buildReadyForQuery(session.status));
}

/** Reports a changed mark, which the caller can pass on to another connection. */
export function reportMark(session: CallerSession, mark: LogPosition): void {
  const text = formatPosition(mark);
  if (session.mark && formatPosition(session.mark) === text) return;
  session.mark = mark;
  writeBatched(session.socket, buildParameterStatus(SESSION_PARAMETER, text));
}

/**
 * Closes the connection with a refusal. The refusal is flushed together with anything written in
 * the same event loop turn, so the caller receives it before it can send its next request.
 */
export function endWithRefusal(session: CallerSession, refusal: Refusal): void {
  if (session.isClosed) return;
  session.environment.counters.count(`refusal.${refusal.reason}`);
  session.socket.end(buildRefusal(refusal, true));
}

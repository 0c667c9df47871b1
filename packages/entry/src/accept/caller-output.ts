/** What a caller is told by the entry itself: refusals, ends of requests, and goodbyes. */
import { formatPosition, type LogPosition, type Refusal } from '@bramleykeel/core';
import {
  buildErrorResponse,
  buildParameterStatus,
  buildReadyForQuery,
} from '@bramleykeel/postgres-wire';
import { writeBatched } from '@bramleykeel/link';
import type { CallerSession } from './caller-state.js';

/** Name of the parameter that carries a session's mark. */
export const SESSION_PARAMETER = 'bramleykeel.session';

/** Builds the error for a refusal; `isFatal` when the connection ends with it. */
export function buildRefusal(refusal: Refusal, isFatal: boolean): Buffer {
  const { sqlState, message, reason, hint } = refusal;
  const severity = isFatal ? 'FATAL' : 'ERROR';
  const detail = `reason: ${reason}`;
  return buildErrorResponse({ severity, sqlState, message, detail, ...(hint ? { hint } : {}) });
}

/** Sends an error for a request that the entry itself refused. */
export function sendRefusal(session: CallerSession, refusal: Refusal): void {
  session.environment.counters.count(`refusal.${refusal.reason}`);
  writeBatched(session.socket, buildRefusal(refusal, false));
}

export function sendReady(session: CallerSession): void {
  writeBatched(session.socket, buildReadyForQuery(session.status));
}

/** Reports a new mark, so that the caller can carry it to another connection. */
export function reportMark(session: CallerSession, mark: LogPosition): void {
  const text = formatPosition(mark);
  if (session.mark && formatPosition(session.mark) === text) return;
  session.mark = mark;
  writeBatched(session.socket, buildParameterStatus(SESSION_PARAMETER, text));
}

/**
 * Ends the connection with a refusal. What was written in the same turn goes out together with it, so
 * that a caller sees the goodbye before it can send its next request.
 */
export function endWithRefusal(session: CallerSession, refusal: Refusal): void {
  if (session.isClosed) return;
  session.environment.counters.count(`refusal.${refusal.reason}`);
  session.socket.end(buildRefusal(refusal, true));
}

/** What the entry tells about requests that it has answered: to the caller, the counters and the log. */
import type { CustomerName } from '@bramleykeel/core';
import type { CallerPort } from '../types/caller-port.js';
import type { CallerSession } from './session-state.js';

/** One success of this many is written to the log: a few lines a second at the users' load. */
const SUCCESS_SAMPLE = 64;

/** Tells a caller that its request has no result, and writes down what decided. */
export function refuse(
  session: CallerSession,
  error: Parameters<CallerPort['refuse']>[0],
  tag = '-',
  customer: CustomerName | undefined = session.transaction?.customer,
): void {
  const { environment } = session;
  const { counters, log } = environment;
  counters.count(error.kind === 'not-run' ? `refusal.${error.reason}` : `refusal.${error.kind}`);
  log('the request got no result', {
    request: tag,
    database: session.database,
    group: environment.settings()?.routes.get(session.database)?.group,
    customer,
    outcome: error.kind,
    reason: 'reason' in error ? error.reason : undefined,
    retryAfterMs: error.kind === 'not-run' ? error.retryAfterMs : undefined,
    tookMs: tookMs(session),
    settingsVersion: environment.settings()?.version,
    areSettingsFresh: environment.hasFreshSettings(),
  });
  if (!session.isClosed) session.port.refuse(error, session.state);
}

/** Successes are counted all, and written one in many: a failed request is what somebody looks for. */
export function noteSuccess(session: CallerSession, isFromReplica: boolean, tag: string): void {
  const { environment } = session;
  const { counters, log } = environment;
  const place = isFromReplica ? 'replica' : 'primary';
  counters.count(`statement.at-${place}`);
  counters.timing(`request.${place}`, tookMs(session));
  environment.successCount += 1;
  if (environment.successCount % SUCCESS_SAMPLE !== 1) return;
  log('the request was answered', {
    request: tag,
    database: session.database,
    place,
    tookMs: tookMs(session),
  });
}

/** Time since the request in hand was taken up, in milliseconds. */
function tookMs({ requestSinceMs }: Pick<CallerSession, 'requestSinceMs'>): number {
  return Math.round(performance.now() - requestSinceMs);
}

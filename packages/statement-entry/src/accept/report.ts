/** Records the results of requests in counters and log, and sends refusals to callers. */
import type { CustomerName } from '@bramleykeel/core';
import type { CallerPort } from '../types/caller-port.js';
import type { CallerSession } from './session-state.js';

/** One of this many successes is logged, which gives a few lines per second at the users' load. */
const SUCCESS_LOG_INTERVAL = 64;

/** Tells a caller that its request has no result, and logs the state that the decision depends on. */
export function refuseRequest(
  session: CallerSession,
  error: Parameters<CallerPort['refuse']>[0],
  tag = '-',
  customer: CustomerName | undefined = session.transaction?.customer,
): void {
  const { environment } = session;
  const { counters, log } = environment;
  counters.count(error.kind === 'not-run' ? `refusal.${error.reason}` : `refusal.${error.kind}`);
  log('request ended without a result', {
    request: tag,
    database: session.database,
    group: environment.settings()?.routes.get(session.database)?.group,
    customer,
    outcome: error.kind,
    reason: 'reason' in error ? error.reason : undefined,
    retryAfterMs: error.kind === 'not-run' ? error.retryAfterMs : undefined,
    tookMs: elapsedMs(session),
    settingsVersion: environment.settings()?.version,
    areSettingsFresh: environment.hasFreshSettings(),
  });
  if (!session.isClosed) session.port.refuse(error, session.state);
}

/** Counts a success; only a sample is logged, since it is failed requests that are investigated. */
export function recordSuccess(session: CallerSession, isFromReplica: boolean, tag: string): void {
  const { environment } = session;
  const { counters, log } = environment;
  const place = isFromReplica ? 'replica' : 'primary';
  counters.count(`statement.at-${place}`);
  counters.timing(`request.${place}`, elapsedMs(session));
  environment.successCount += 1;
  if (environment.successCount % SUCCESS_LOG_INTERVAL !== 1) return;
  log('request answered', {
    request: tag,
    database: session.database,
    place,
    tookMs: elapsedMs(session),
  });
}

/** Time since the current request was started, in milliseconds. */
function elapsedMs({ requestSinceMs }: Pick<CallerSession, 'requestSinceMs'>): number {
  return Math.round(performance.now() - requestSinceMs);
}

/** Admits the operations of a session by route, key, homes and rate, and returns tokens that were not used. */
import type { StatementOutcome, StatementRefusalReason } from '@bramleykeel/core';
import { returnReceipt, takeTokens, type TokenReceipt } from '@bramleykeel/entry-shared';
import { ANONYMOUS_CUSTOMER, type CallerAccess, findAdmission, findHomes } from './access.js';
import { refuseRequest } from './report.js';
import type { CallerSession } from './session-state.js';

/** Retry delay sent to callers whose rate cannot be checked, in milliseconds. */
const RATE_RETRY_AFTER_MS = 500;
/** Retry delay sent to callers with other refusals, in milliseconds. */
export const RETRY_AFTER_MS = 300;

/** An admitted operation; callers without a key have no rate, so their operations have no token. */
export interface Admission extends CallerAccess {
  readonly token: TokenReceipt | undefined;
}

/** Checks the route, the key and the rate of an operation; on refusal it answers the caller. */
export async function admitOperation(
  session: CallerSession,
  tag: string,
): Promise<Admission | undefined> {
  const { environment } = session;
  if (environment.stopPhase() !== 'serving') {
    refuseRequest(session, notRun('entry-stopping', RETRY_AFTER_MS), tag);
    return undefined;
  }
  const admission = findAdmission(environment, session.database, session.key);
  if (typeof admission === 'string') {
    refuseRequest(session, notRun(admission, RETRY_AFTER_MS), tag);
    return undefined;
  }
  const homes = findHomes(environment, session.database, admission.customer);
  if (typeof homes === 'string') {
    refuseRequest(session, notRun(homes, RETRY_AFTER_MS), tag, admission.customer);
    return undefined;
  }
  if (admission.customer === ANONYMOUS_CUSTOMER) return { ...admission, token: undefined };
  const taking = takeTokens(environment.rates, admission.customer, 1, undefined);
  const decision = taking instanceof Promise ? await taking : taking;
  if (decision.kind === 'taken' && session.isClosed) {
    returnToken(session, decision);
    return undefined;
  }
  const { route, customer } = admission;
  if (decision.kind === 'taken') return { route, customer, token: decision };
  const reason =
    decision.refusal.reason === 'rate-exceeded' ? 'rate-exceeded' : 'rate-home-unreachable';
  const retryAfterMs = decision.retryAfterMs ?? RATE_RETRY_AFTER_MS;
  refuseRequest(session, notRun(reason, retryAfterMs), tag, admission.customer);
  return undefined;
}

export function notRun(reason: StatementRefusalReason, retryAfterMs: number) {
  return { kind: 'not-run', reason, retryAfterMs } as const;
}

/** Returns the token of an operation that has certainly reached no target. */
export function returnToken({ environment }: CallerSession, token: TokenReceipt | undefined): void {
  if (!token || !environment.returnsTokens) return;
  environment.counters.count('rate.token-returned');
  returnReceipt(environment.rates, token);
}

export function hasReachedNoTarget(outcome: StatementOutcome): boolean {
  return outcome.kind === 'not-run' && outcome.reachedNoTarget === true;
}

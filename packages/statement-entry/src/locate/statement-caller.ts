/** What owners have of the statements of one caller. */
import type { StatementAccess } from '@bramleykeel/core';
import type { OwnerPort } from './owner-client.js';

/** The caller of a session's statements, which run one at a time. */
export interface StatementCaller {
  isGone: boolean;
  /**
   * The statements that owners have and have not answered, by number: the session's present one, and copies of earlier
   * reads that a reader has answered meanwhile.
   */
  readonly pending: Map<number, { readonly port: OwnerPort; readonly access: StatementAccess }>;
}

export function createStatementCaller(): StatementCaller {
  return { isGone: false, pending: new Map() };
}

/** Withdraws the statements of a caller that has disconnected, unless a server runs them already. */
export function withdrawCaller(caller: StatementCaller): void {
  caller.isGone = true;
  for (const [number, { port }] of caller.pending) port.sendWithdrawal(number);
}

/** Whether an owner has a statement of the caller that may change data, and has not answered it. */
export function hasPendingChange({ pending }: StatementCaller): boolean {
  return [...pending.values()].some(({ access }) => access !== 'read');
}

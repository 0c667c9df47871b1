/** What an owner has at a server, which control asks for while the server's zone is evacuated. */
import type { ServerName, TargetWork } from '@bramleykeel/core';
import type { StatementOwner } from './owner-state.js';

/** The statements and transactions at a server, and whether it acts as primary; `undefined` for an unknown server. */
export function workAtServer(owner: StatementOwner, name: ServerName): TargetWork | undefined {
  const server = owner.servers.get(name);
  if (!server) return undefined;
  const transactions = [...owner.transactions.values()].filter(
    ({ pooled }) => pooled?.server === server,
  );
  const { leadership } = owner;
  const leads = leadership.kind === 'led' && leadership.server === name;
  // The former primary keeps its role until its successor takes over.
  const isReplaced = leadership.kind === 'changing' && leadership.former === name;
  return {
    running: server.runningCount,
    transactions: transactions.length,
    isPrimary: leads || isReplaced,
  };
}
